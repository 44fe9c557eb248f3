// Tests one host's part of the deployment's retry budget.

#include "policy/retry/retry_budget.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::Instant;
using firefly::ServiceId;
using firefly::policy::SharedRetryBudget;

TEST_GROUP(SharedRetryBudgetTest)
{
  const ServiceId service{ "assistant" };
  const ServiceId other{ "desk" };
  SharedRetryBudget budget{ { .allowance = { .ratio = 0.5, .burst = 60 },
                              .usedPart = 1 } };
  Instant now = Instant{} + 100s;

  // Repeats that are left for the service.
  int Spend(const ServiceId& aService)
  {
    int n = 0;
    while (budget.TrySpend(aService)) {
      n++;
    }
    return n;
  }

  void Earn(const ServiceId& aService, int aRequests)
  {
    for (int i = 0; i < aRequests; ++i) {
      budget.OnFirstAttempt(aService);
    }
  }
};

TEST(SharedRetryBudgetTest, HoldsAnEqualPartOfTheBurst)
{
  budget.SetHostCount(10, now);
  Earn(service, 1000);
  LONGS_EQUAL(6, Spend(service));
  Earn(service, 4);
  LONGS_EQUAL(2, Spend(service));
}

TEST(SharedRetryBudgetTest, AServiceDoesNotSpendWhatAnotherHasEarned)
{
  budget.SetHostCount(10, now);
  LONGS_EQUAL(6, Spend(service));
  Earn(other, 1000);
  LONGS_EQUAL(0, Spend(service));
}

// Guards against hosts that can't repeat any request because they are many.
TEST(SharedRetryBudgetTest, HoldsOneRepeatAtLeast)
{
  budget.SetHostCount(1000, now);
  Earn(service, 1000);
  LONGS_EQUAL(1, Spend(service));
}

// Guards against hosts that each take the whole burst while they don't hear
// each other.
TEST(SharedRetryBudgetTest, AHostThatIsCutOffFromTheOthersKeepsItsPart)
{
  budget.SetHostCount(10, now);
  now += 1h;
  budget.SetHostCount(1, now);
  Earn(service, 1000);
  LONGS_EQUAL(6, Spend(service));
  // The others have been gone for long.
  now += 61s;
  budget.SetHostCount(1, now);
  now += 61s;
  budget.SetHostCount(1, now);
  Earn(service, 1000);
  LONGS_EQUAL(60, Spend(service));
}

// Guards against what was saved before the other hosts were known.
TEST(SharedRetryBudgetTest, GivesUpWhatIsMoreThanItsPart)
{
  Earn(service, 1000);
  budget.SetHostCount(10, now);
  LONGS_EQUAL(6, Spend(service));
}

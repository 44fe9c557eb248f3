// Tests how much of its routing table a host sends to others at a time.

#include "policy/table_update/table_serving_budget.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::Instant;
using firefly::policy::TableServingBudget;

TEST_GROUP(TableServingBudgetTest)
{
  TableServingBudget budget{ { .bytesPerSecond = 1000, .burstBytes = 400 } };
  Instant now = Instant{} + 10s;
};

// Guards against a host whose link is filled by all who ask for a table.
TEST(TableServingBudgetTest, SendsABurstAndThenWhatTheRateAllows)
{
  int sent = 0;
  for (int i = 0; i < 100; ++i) {
    sent += budget.TrySend(100, now) ? 1 : 0;
  }
  LONGS_EQUAL(4, sent);
  for (int i = 0; i < 1000; ++i) {
    now += 10ms;
    sent += budget.TrySend(100, now) ? 1 : 0;
  }
  CHECK_TRUE(sent >= 100 && sent <= 104);
}

// Guards against a table that no host ever sends because of its size.
TEST(TableServingBudgetTest, SendsATableThatIsLargerThanTheBurst)
{
  CHECK_TRUE(budget.TrySend(2000, now));
  now += 1s;
  CHECK_FALSE(budget.TrySend(2000, now));
  now += 1100ms;
  CHECK_TRUE(budget.TrySend(2000, now));
}

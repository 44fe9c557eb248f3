#include "servers/relay/confirmation_waiter.h"

#include <optional>

#include "core/virtual_executor.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::ConfirmationWaiter;
using firefly::Instant;
using firefly::VirtualExecutor;

TEST_GROUP(ConfirmationWaiterTest)
{
  VirtualExecutor executor;
  std::optional<Instant> confirmedAt;
  bool isLost = false;
  int reads = 0;
  int decided = 0;
  ConfirmationWaiter waiter{ { .maxWait = 1s, .maxReadDelay = 100ms },
                             { .executor = &executor,
                               .confirmedAt = [this] { return confirmedAt; },
                               .isLost = [this] { return isLost; },
                               .read = [this] { reads++; } } };

  void setup() override
  {
    executor.RunFor(10s);
  }

  void Await()
  {
    waiter.Await(executor.Now(), [this] { decided++; });
  }
};

// Guards against a decision by what was read before the take-up arrived.
TEST(ConfirmationWaiterTest, DecidesAfterAReadThatWasSentSince)
{
  confirmedAt = executor.Now() - 1ms;
  Await();
  LONGS_EQUAL(0, decided);
  executor.RunFor(100ms);
  LONGS_EQUAL(1, reads);
  waiter.OnRead(); // of a read that was sent earlier
  executor.RunFor(1ms);
  LONGS_EQUAL(0, decided);
  confirmedAt = executor.Now();
  waiter.OnRead();
  executor.RunFor(1ms);
  LONGS_EQUAL(1, decided);
  LONGS_EQUAL(0, waiter.Waiting());
}

// Guards against a read of the log for each of the streams that break at once.
TEST(ConfirmationWaiterTest, DecisionsShareReads)
{
  for (int i = 0; i < 500; ++i) {
    Await();
    executor.RunFor(1ms);
    if (i % 100 == 99) {
      confirmedAt = executor.Now();
      waiter.OnRead();
    }
  }
  executor.RunFor(1ms);
  LONGS_EQUAL(500, decided);
  CHECK_TRUE(reads > 0 && reads < 50);
}

// Guards against a read by each host: another one has told its progress.
TEST(ConfirmationWaiterTest, ProgressOfAnotherHostSavesTheRead)
{
  Await();
  confirmedAt = executor.Now();
  waiter.OnRead();
  executor.RunFor(1s);
  LONGS_EQUAL(1, decided);
  LONGS_EQUAL(0, reads);
}

// Guards against callers that wait for a host that is cut off until their
// deadline, and against those that wait for a log which is known to be lost.
TEST(ConfirmationWaiterTest, DecidesUnconfirmedWhenTheLogDoesNotAnswer)
{
  Await();
  executor.RunFor(999ms);
  LONGS_EQUAL(0, decided);
  executor.RunFor(1ms);
  LONGS_EQUAL(1, decided);
  Await();
  isLost = true;
  waiter.OnRead();
  executor.RunFor(1ms);
  LONGS_EQUAL(2, decided);
  Await();
  LONGS_EQUAL(2, decided); // not within the call
  executor.RunFor(1ms);
  LONGS_EQUAL(3, decided);
}

// Guards against a decision that ends the requests that wait behind it.
TEST(ConfirmationWaiterTest, ADecisionMayCauseAnother)
{
  waiter.Await(executor.Now(), [this] { Await(); });
  confirmedAt = executor.Now() + 10s;
  waiter.OnRead();
  executor.RunFor(10ms);
  LONGS_EQUAL(1, decided);
}

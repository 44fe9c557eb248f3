#include <string>

#include "core/random.h"
#include "core/virtual_executor.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::Instant;
using firefly::Random;
using firefly::VirtualExecutor;

TEST_GROUP(VirtualExecutorTest){};

TEST(VirtualExecutorTest, RunsByDueTimeThenInOrderOfScheduling)
{
  VirtualExecutor executor;
  std::string order;
  auto late = executor.RunAfter(2s, [&] { order += 'c'; });
  auto first = executor.RunAfter(1s, [&] { order += 'a'; });
  auto second = executor.RunAfter(1s, [&] { order += 'b'; });
  executor.RunFor(3s);
  STRCMP_EQUAL("abc", order.c_str());
  CHECK(executor.Now() == Instant(3s));
}

TEST(VirtualExecutorTest, DestroyedTimerDoesNotFire)
{
  VirtualExecutor executor;
  bool fired = false;
  {
    auto timer = executor.RunAfter(1s, [&] { fired = true; });
    CHECK_TRUE(timer.IsPending());
  }
  executor.RunFor(2s);
  CHECK_FALSE(fired);
}

TEST(VirtualExecutorTest, PostRunsTheCallbackAfterReturning)
{
  VirtualExecutor executor;
  bool ran = false;
  executor.Post([&] { ran = true; });
  CHECK_FALSE(ran);
  executor.RunOne();
  CHECK_TRUE(ran);
}

TEST_GROUP(RandomTest){};

TEST(RandomTest, SameSeedReturnsSameNumbers)
{
  Random left(7);
  Random right(7);
  for (int i = 0; i < 100; ++i) {
    CHECK(left.Next() == right.Next());
  }
}

TEST(RandomTest, ExponentialHasTheGivenMean)
{
  Random random(3);
  double sum = 0;
  constexpr int kDraws = 100000;
  for (int i = 0; i < kDraws; ++i) {
    sum += random.Exponential(2.0);
  }
  DOUBLES_EQUAL(2.0, sum / kDraws, 0.05);
}

#include "policy/request_queue.h"

#include <string>

#include "core/random.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::Instant;
using firefly::Random;
using firefly::RequestId;
using firefly::policy::Lane;
using firefly::policy::QueuedRequest;
using firefly::policy::WorthQueue;

namespace {

QueuedRequest
Waiting(const std::string& aId,
        double aWorth,
        Instant aDeadline,
        Lane aLane = Lane::kNormal)
{
  return { RequestId(aId), aLane, aWorth, aDeadline };
}

bool
Any(const QueuedRequest& /*aRequest*/)
{
  return true;
}

} // namespace

TEST_GROUP(RequestQueueTest){};

TEST(RequestQueueTest, TakesTheWorthiestThenTheMostUrgent)
{
  WorthQueue queue;
  queue.Push(Waiting("cheap", 1, Instant(1s)));
  queue.Push(Waiting("late", 9, Instant(3s)));
  queue.Push(Waiting("soon", 8, Instant(2s)));
  STRCMP_EQUAL("soon", queue.Pop(Any)->requestId.Value().c_str());
  STRCMP_EQUAL("late", queue.Pop(Any)->requestId.Value().c_str());
  STRCMP_EQUAL("cheap", queue.Pop(Any)->requestId.Value().c_str());
  CHECK_FALSE(queue.Pop(Any).has_value());
}

TEST(RequestQueueTest, ABlockedLaneDoesNotHoldUpAnother)
{
  WorthQueue queue;
  queue.Push(Waiting("long", 100, Instant(1s), Lane::kStraggler));
  queue.Push(Waiting("short", 1, Instant(1s), Lane::kShort));
  const auto popped = queue.Pop([](const QueuedRequest& aRequest) {
    return aRequest.lane != Lane::kStraggler;
  });
  STRCMP_EQUAL("short", popped->requestId.Value().c_str());
  LONGS_EQUAL(1, queue.Size());
}

TEST(RequestQueueTest, NeverGrowsPastItsBoundAndShedsTheLeastWorthy)
{
  constexpr std::size_t kBound = 16;
  Random random(5);
  WorthQueue queue(WorthQueue::Options{ .bound = kBound });
  int shed = 0;
  for (int i = 0; i < 2000; ++i) {
    const auto worth = 1.0 + static_cast<double>(random.Below(1000));
    const Instant deadline(std::chrono::milliseconds(random.Below(5000)));
    const auto lane = static_cast<Lane>(random.Below(3));
    const auto gone =
      queue.Push(Waiting(std::to_string(i), worth, deadline, lane));
    CHECK(queue.Size() <= kBound);
    if (gone) {
      shed++;
      // All that stay are worth at least half as much: one step.
      while (const auto kept = queue.Pop(Any)) {
        CHECK(kept->worthPerSecond * 2 >= gone->worthPerSecond);
      }
    }
  }
  CHECK(shed > 0);
}

TEST(RequestQueueTest, ExpiresWhatCannotBeInTime)
{
  WorthQueue queue;
  queue.Push(Waiting("gone", 1, Instant(1s)));
  queue.Push(Waiting("stays", 1, Instant(3s)));
  const auto late = queue.Expire(Instant(2s));
  LONGS_EQUAL(1, late.size());
  STRCMP_EQUAL("gone", late[0].requestId.Value().c_str());
  CHECK_TRUE(queue.Remove(RequestId("stays")));
  CHECK_FALSE(queue.Remove(RequestId("stays")));
}

#include "policy/prompt_queues.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::Duration;
using firefly::Instant;
using firefly::ToSeconds;
using firefly::policy::BackendSlot;
using firefly::policy::PromptQueues;

namespace {

constexpr BackendSlot kEngine(0);

} // namespace

TEST_GROUP(PromptQueuesTest)
{
  PromptQueues queues;

  void CheckWait(Duration aExpected, Instant aNow)
  {
    DOUBLES_EQUAL(
      ToSeconds(aExpected), ToSeconds(queues.WaitAt(kEngine, aNow)), 0.001);
  }
};

TEST(PromptQueuesTest, PromptsWaitForThoseBeforeThem)
{
  CheckWait(0ms, Instant{});
  queues.Add(kEngine, 0.2, Instant{});
  queues.Add(kEngine, 0.1, Instant(50ms));
  CheckWait(250ms, Instant(50ms));
  CheckWait(0ms, Instant(400ms));
}

TEST(PromptQueuesTest, ALatePromptDelaysThoseBehindIt)
{
  const auto first = queues.Add(kEngine, 0.2, Instant{});
  const auto second = queues.Add(kEngine, 0.2, Instant{});
  queues.OnRead(kEngine, first, Instant(300ms));
  // 100 ms late, and so is all that was there.
  CheckWait(200ms, Instant(300ms));
  queues.OnRead(kEngine, second, Instant(500ms));
  CheckWait(0ms, Instant(500ms));
}

TEST(PromptQueuesTest, APromptThatIsNotReadMakesRoom)
{
  queues.Add(kEngine, 0.2, Instant{});
  const auto gone = queues.Add(kEngine, 0.3, Instant{});
  queues.Remove(kEngine, gone, Instant(10ms));
  CheckWait(190ms, Instant(10ms));
}

// Load: an engine that takes twice as long as rated, seen by a process that
// gets one prompt in ten read there and is told of the others. Without the
// pace, its estimate would fall behind by half of the work.
TEST(PromptQueuesTest, ThePaceIsLearnedFromAFewPromptsOfMany)
{
  constexpr double kWork = 0.05;
  Instant engineIdle{};
  PromptQueues::Place own;
  Instant ownRead{};
  double worst = 0;
  for (int i = 0; i < 400; ++i) {
    const Instant now(i * 90ms);
    if (own.work > 0 && now >= ownRead) {
      queues.OnRead(kEngine, own, ownRead);
      own = {};
    }
    engineIdle = std::max(engineIdle, now) + 100ms;
    if (i > 200) {
      const double truth = ToSeconds(engineIdle - now) - 2 * kWork;
      const double guess = ToSeconds(queues.WaitAt(kEngine, now));
      worst = std::max(worst, std::abs(truth - guess) / (truth + 0.1));
    }
    const auto place = queues.Add(kEngine, kWork, now);
    if (i % 10 == 0 && own.work == 0) {
      own = place;
      ownRead = engineIdle;
    }
  }
  DOUBLES_EQUAL(2.0, queues.PaceOf(kEngine), 0.1);
  CHECK(worst < 0.2);
  // A new engine is expected to be like the others.
  CHECK(queues.PaceOf(BackendSlot(1)) > 1.3);
}

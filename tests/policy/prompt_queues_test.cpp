#include "policy/prompt_queues.h"

#include <deque>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::Duration;
using firefly::Instant;
using firefly::ToSeconds;
using firefly::policy::BackendSlot;
using firefly::policy::EngineUrgency;
using firefly::policy::PromptQueues;

namespace {

constexpr BackendSlot kEngine(0);
constexpr EngineUrgency kUrgent(0);
constexpr EngineUrgency kUsual(4);
constexpr EngineUrgency kLast(9);

} // namespace

TEST_GROUP(PromptQueuesTest)
{
  PromptQueues queues;

  void CheckWait(Duration aExpected, EngineUrgency aUrgency, Instant aNow)
  {
    DOUBLES_EQUAL(ToSeconds(aExpected),
                  ToSeconds(queues.WaitAt(kEngine, aUrgency, aNow)),
                  0.001);
  }
};

TEST(PromptQueuesTest, PromptsWaitForThoseBeforeThem)
{
  CheckWait(0ms, kUsual, Instant{});
  queues.AddOfPeer(kEngine, kUsual, 0.2, Instant{});
  queues.AddOfPeer(kEngine, kUsual, 0.1, Instant(50ms));
  CheckWait(250ms, kUsual, Instant(50ms));
  CheckWait(0ms, kUsual, Instant(400ms));
}

TEST(PromptQueuesTest, AnUrgentPromptWaitsOnlyForWhatIsBeingRead)
{
  queues.AddOfPeer(kEngine, kLast, 0.2, Instant{});
  queues.AddOfPeer(kEngine, kLast, 0.4, Instant{});
  queues.AddOfPeer(kEngine, kUsual, 0.3, Instant{});
  CheckWait(200ms, kUrgent, Instant{});
  CheckWait(500ms, kUsual, Instant{});
  CheckWait(900ms, kLast, Instant{});
}

TEST(PromptQueuesTest, AnOverduePromptHoldsUpThoseBehindIt)
{
  const auto own = queues.Add(kEngine, kUsual, 0.2, Instant{});
  queues.AddOfPeer(kEngine, kUsual, 0.1, Instant{});
  // The engine is slower than it was taken for: its answer has not come.
  CheckWait(100ms, kUsual, Instant(350ms));
  queues.OnRead(kEngine, own, Instant(400ms));
  CHECK(queues.WaitAt(kEngine, kUsual, Instant(400ms)) >= 100ms);
}

TEST(PromptQueuesTest, APromptThatWasReadEarlyMakesRoom)
{
  queues.AddOfPeer(kEngine, kUsual, 0.5, Instant{});
  const auto own = queues.Add(kEngine, kUsual, 0.1, Instant{});
  queues.AddOfPeer(kEngine, kUsual, 0.1, Instant{});
  queues.OnRead(kEngine, own, Instant(100ms));
  CHECK(queues.WaitAt(kEngine, kUsual, Instant(100ms)) <= 100ms);
}

TEST(PromptQueuesTest, APromptThatIsNotReadMakesRoom)
{
  queues.AddOfPeer(kEngine, kUsual, 0.2, Instant{});
  const auto gone = queues.Add(kEngine, kUsual, 0.3, Instant{});
  queues.Remove(kEngine, gone, Instant(10ms));
  CheckWait(190ms, kUsual, Instant(10ms));
}

TEST(PromptQueuesTest, AnEngineThatFellSilentIsNotWaitedForForever)
{
  queues.Add(kEngine, kUsual, 0.2, Instant{});
  queues.AddOfPeer(kEngine, kUsual, 0.1, Instant{});
  CheckWait(0ms, kUsual, Instant(5s));
}

// Load: an engine that takes twice as long as rated, seen by a process that
// gets one prompt in ten read there and is told of the others. Without the
// pace, its estimate would fall behind by half of the work.
TEST(PromptQueuesTest, ThePaceIsLearnedFromAFewPromptsOfMany)
{
  constexpr double kWork = 0.05;
  struct Own
  {
    PromptQueues::Ticket ticket;
    Instant read{};
  };
  std::deque<Own> own;
  Instant engineIdle{};
  double worst = 0;
  for (int i = 0; i < 400; ++i) {
    const Instant now(i * 110ms);
    while (!own.empty() && own.front().read <= now) {
      queues.OnRead(kEngine, own.front().ticket, own.front().read);
      own.pop_front();
    }
    // Three prompts come at once, then a pause.
    const int count = i % 3 == 0 ? 3 : 0;
    for (int n = 0; n < count; ++n) {
      const double truth = ToSeconds(std::max(engineIdle - now, Duration{}));
      if (i > 200) {
        const double guess = ToSeconds(queues.WaitAt(kEngine, kUsual, now));
        worst = std::max(worst, std::abs(truth - guess));
      }
      engineIdle = std::max(engineIdle, now) + 100ms;
      if ((i + n) % 10 == 0) {
        own.push_back({ queues.Add(kEngine, kUsual, kWork, now), engineIdle });
      } else {
        queues.AddOfPeer(kEngine, kUsual, kWork, now);
      }
    }
  }
  DOUBLES_EQUAL(2.0, queues.PaceOf(kEngine), 0.1);
  CHECK(worst < 0.05);
  // A new engine is expected to be like the others.
  CHECK(queues.PaceOf(BackendSlot(1)) > 1.3);
}

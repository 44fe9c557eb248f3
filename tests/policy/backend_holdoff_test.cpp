#include "policy/backend_holdoff.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::BackendId;
using firefly::Instant;
using firefly::policy::BackendHoldoff;
using firefly::policy::BackendRun;
using firefly::policy::HoldoffState;

TEST_GROUP(BackendHoldoffTest)
{
  BackendHoldoff holdoff;
  const Instant now{ 100s };
  const BackendRun run{ .id = BackendId("b"), .startedAt = 1 };
  const BackendRun restarted{ .id = BackendId("b"), .startedAt = 2 };
};

TEST(BackendHoldoffTest, ALeavingServerStaysClosedButNotItsNextRun)
{
  holdoff.OnLeaving(run, now);
  holdoff.OnAccepted(run, now + 1s);
  CHECK(holdoff.StateOf(run, now + 3600s) == HoldoffState::kLeaving);
  CHECK(holdoff.StateOf(restarted, now) == HoldoffState::kNone);
}

TEST(BackendHoldoffTest, AServerIsOnProbationAfterTheTimeThatItAskedFor)
{
  holdoff.OnAskedToWait(run, 2s, now);
  CHECK(holdoff.StateOf(run, now + 1999ms) == HoldoffState::kWaiting);
  CHECK(holdoff.StateOf(run, now + 2s) == HoldoffState::kProbation);
  holdoff.OnAccepted(run, now + 3s);
  CHECK(holdoff.StateOf(run, now + 3s) == HoldoffState::kNone);
}

TEST(BackendHoldoffTest, AnAnswerToAnEarlierRequestDoesNotEndTheWait)
{
  holdoff.OnAskedToWait(run, 2s, now);
  holdoff.OnAccepted(run, now + 1s);
  CHECK(holdoff.StateOf(run, now + 1s) == HoldoffState::kWaiting);
}

TEST(BackendHoldoffTest, AShorterWaitDoesNotEndALongerOne)
{
  holdoff.OnAskedToWait(run, 10s, now);
  holdoff.OnAskedToWait(run, 1s, now + 1s);
  CHECK(holdoff.StateOf(run, now + 9s) == HoldoffState::kWaiting);
}

TEST(BackendHoldoffTest, NoValueClosesAServerForGood)
{
  holdoff.OnAskedToWait(run, -5s, now);
  holdoff.OnAskedToWait(run, 0s, now);
  CHECK(holdoff.StateOf(run, now) == HoldoffState::kNone);
  holdoff.OnAskedToWait(run, std::chrono::hours(1'000'000), now);
  CHECK(holdoff.StateOf(run, now + 10min) == HoldoffState::kProbation);
}

TEST(BackendHoldoffTest, ForgetsAServer)
{
  holdoff.OnLeaving(run, now);
  holdoff.OnAskedToWait(restarted, 5s, now);
  holdoff.Forget(BackendId("b"));
  CHECK(holdoff.StateOf(run, now) == HoldoffState::kNone);
  CHECK(holdoff.StateOf(restarted, now) == HoldoffState::kNone);
}

TEST(BackendHoldoffTest, RemembersABoundedNumberOfRuns)
{
  BackendHoldoff small({ .maxRecords = 2 });
  for (std::uint64_t i = 0; i < 5; ++i) {
    small.OnLeaving({ .id = BackendId("b"), .startedAt = i },
                    now + std::chrono::seconds(i));
  }
  CHECK(small.StateOf({ .id = BackendId("b"), .startedAt = 2 }, now) ==
        HoldoffState::kNone);
  CHECK(small.StateOf({ .id = BackendId("b"), .startedAt = 4 }, now) ==
        HoldoffState::kLeaving);
}

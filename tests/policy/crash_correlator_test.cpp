#include "policy/crash_correlator.h"

#include <string>
#include <vector>

#include "tests/policy/builders.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::CustomerId;
using firefly::Instant;
using firefly::ModelId;
using firefly::policy::CrashSuspicion;
using firefly::policy::CrashVerdict;
using firefly::policy::Fingerprint;
using firefly::policy::RequestInfo;
using firefly::policy::TraitCrashCorrelator;
using firefly::policy::test::MakeRequest;

namespace {

constexpr std::uint64_t kCommon = 1;
constexpr std::uint64_t kDeadly = 2;
constexpr std::uint64_t kOther = 3;

int madeRequests = 0;

// A request that differs from all others in its fingerprint.
RequestInfo
MakeWithParts(const std::vector<std::uint64_t>& aParts)
{
  auto info = MakeRequest("r" + std::to_string(madeRequests++));
  info.SetCrashTraits("", aParts);
  return info;
}

} // namespace

TEST_GROUP(CrashCorrelatorTest)
{
  TraitCrashCorrelator correlator;
  Instant now{ 100s };

  // The request is sent, and its backend server crashes.
  void Crash(const RequestInfo& aRequest)
  {
    const auto sent = now;
    now += 500ms;
    correlator.OnCrash(aRequest, sent, now);
  }

  void Finish(const RequestInfo& aRequest)
  {
    const auto begun = now;
    now += 100ms;
    correlator.OnHarmless(aRequest, begun, now);
  }

  void CrashRepeatedly(const std::vector<std::uint64_t>& aParts, int aCrashes)
  {
    for (int i = 0; i < aCrashes; ++i) {
      Crash(MakeWithParts(aParts));
      Finish(MakeWithParts({ kOther }));
    }
  }

  CrashVerdict VerdictOf(const RequestInfo& aRequest)
  {
    return correlator.Decide(aRequest, now).verdict;
  }

  CrashVerdict VerdictOf(const std::vector<std::uint64_t>& aParts)
  {
    return VerdictOf(MakeWithParts(aParts));
  }
};

TEST(CrashCorrelatorTest, HoldsWhatThreeCrashesHaveInCommon)
{
  CrashRepeatedly({ kDeadly }, 2);
  CHECK(VerdictOf({ kDeadly }) == CrashVerdict::kClear);
  CrashRepeatedly({ kDeadly }, 1);
  CHECK(VerdictOf({ kDeadly }) == CrashVerdict::kHeld);
  CHECK(VerdictOf({ kDeadly, kOther }) == CrashVerdict::kHeld);
  CHECK(VerdictOf({ kOther }) == CrashVerdict::kClear);
}

TEST(CrashCorrelatorTest, SoundRequestsWithTheSameFirstPartAreNotHeld)
{
  CrashRepeatedly({ kCommon, kDeadly }, 5);
  CHECK(VerdictOf({ kCommon, kDeadly }) == CrashVerdict::kHeld);
  CHECK(VerdictOf({ kCommon }) == CrashVerdict::kClear);
  CHECK(VerdictOf({ kCommon, kOther }) == CrashVerdict::kClear);
}

// One of them may run beside a request that crashes its backend server.
TEST(CrashCorrelatorTest, SoundRequestsThatWereAtACrashAreNotHeld)
{
  for (int i = 0; i < 3; ++i) {
    const auto sent = now;
    now += 500ms;
    correlator.OnCrash(MakeWithParts({ kCommon, kDeadly }), sent, now);
    correlator.OnCrash(MakeWithParts({ kCommon }), sent, now);
    Finish(MakeWithParts({ kCommon }));
  }
  CHECK(VerdictOf({ kCommon, kDeadly }) == CrashVerdict::kHeld);
  CHECK(VerdictOf({ kCommon }) == CrashVerdict::kClear);
}

TEST(CrashCorrelatorTest, FindsAPartThatComesWithDifferentOthers)
{
  for (std::uint64_t i = 0; i < 3; ++i) {
    CrashRepeatedly({ 100 + i, kDeadly }, 1);
  }
  CHECK(VerdictOf({ 200, kDeadly }) == CrashVerdict::kHeld);
  CHECK(VerdictOf({ 100 }) == CrashVerdict::kClear);
}

TEST(CrashCorrelatorTest, BackendServersThatFailTogetherCountOnce)
{
  const auto sent = now;
  now += 100ms;
  for (int i = 0; i < 10; ++i) {
    correlator.OnCrash(MakeWithParts({ kCommon }), sent, now);
  }
  Finish(MakeWithParts({ kOther }));
  CHECK(VerdictOf({ kCommon }) == CrashVerdict::kClear);
}

TEST(CrashCorrelatorTest, ARequestThatAnotherOneProvesHarmlessIsFree)
{
  CrashRepeatedly({ kDeadly }, 2);
  Finish(MakeWithParts({ kDeadly }));
  now += 5s;
  CrashRepeatedly({ kDeadly }, 4);
  CHECK(VerdictOf({ kDeadly }) == CrashVerdict::kClear);
  CrashRepeatedly({ kDeadly }, 1);
  CHECK(VerdictOf({ kDeadly }) == CrashVerdict::kHeld);
}

// It may have begun before the part became harmful.
TEST(CrashCorrelatorTest, AnAnswerThatBeganBeforeTheCrashesProvesNothing)
{
  const auto begun = now;
  CrashRepeatedly({ kDeadly }, 3);
  correlator.OnHarmless(MakeWithParts({ kDeadly }), begun, now);
  CHECK(VerdictOf({ kDeadly }) == CrashVerdict::kHeld);
}

TEST(CrashCorrelatorTest, ComesFreeOnceATrialWasHarmless)
{
  CrashRepeatedly({ kDeadly }, 3);
  now += 20s;
  const auto trial = MakeWithParts({ kDeadly });
  CHECK(VerdictOf(trial) == CrashVerdict::kTrial);
  correlator.OnTrial(trial, now);
  CHECK(VerdictOf({ kDeadly }) == CrashVerdict::kHeld);
  Finish(trial);
  CHECK(VerdictOf({ kDeadly }) == CrashVerdict::kClear);
}

TEST(CrashCorrelatorTest, AFailedTrialDoublesTheTimeUntilTheNextOne)
{
  CrashRepeatedly({ kDeadly }, 3);
  const auto first = correlator.Decide(MakeWithParts({ kDeadly }), now);
  now += first.retryAfter;
  const auto trial = MakeWithParts({ kDeadly });
  correlator.OnTrial(trial, now);
  Crash(trial);
  const auto second = correlator.Decide(MakeWithParts({ kDeadly }), now);
  CHECK(second.verdict == CrashVerdict::kHeld);
  CHECK(second.retryAfter >= 20s);
}

TEST(CrashCorrelatorTest, CrashesThatSeveralProcessesSawAddUp)
{
  std::vector<TraitCrashCorrelator> processes(3);
  for (auto& process : processes) {
    const auto sent = now;
    now += 500ms;
    process.OnCrash(MakeWithParts({ kCommon, kDeadly }), sent, now);
    const auto changes = process.TakeChanges();
    for (auto& peer : processes) {
      if (&peer != &process) {
        peer.OnPeerReport(changes, now);
      }
      peer.OnHarmless(MakeWithParts({ kOther }), now, now + 100ms);
    }
    now += 100ms;
  }
  for (const auto& process : processes) {
    CHECK(process.Decide(MakeWithParts({ kCommon, kDeadly }), now).verdict ==
          CrashVerdict::kHeld);
    CHECK(process.Decide(MakeWithParts({ kCommon }), now).verdict ==
          CrashVerdict::kClear);
  }
}

TEST(CrashCorrelatorTest, AProcessWithoutAnswersOfItsOwnHoldsWhatPeersHold)
{
  CrashRepeatedly({ kDeadly }, 3);
  TraitCrashCorrelator peer;
  peer.OnPeerReport(correlator.TakeChanges(), now);
  CHECK(peer.Decide(MakeWithParts({ kDeadly }), now).verdict ==
        CrashVerdict::kHeld);
  CHECK(peer.Decide(MakeWithParts({ kOther }), now).verdict ==
        CrashVerdict::kClear);
}

TEST(CrashCorrelatorTest, AnAnswerAfterTheLastCrashIsToldToPeers)
{
  TraitCrashCorrelator peer;
  for (int i = 0; i < 3; ++i) {
    Crash(MakeWithParts({ kDeadly }));
  }
  peer.OnPeerReport(correlator.TakeChanges(), now);
  CHECK_FALSE(peer.HoldsAny(now));
  Finish(MakeWithParts({ kOther }));
  peer.OnPeerReport(correlator.TakeChanges(), now);
  CHECK_TRUE(peer.HoldsAny(now));
}

TEST(CrashCorrelatorTest, TheSameCrashSeenByTwoProcessesCountsOnce)
{
  TraitCrashCorrelator peer;
  const auto sent = now;
  now += 500ms;
  peer.OnCrash(MakeWithParts({ kDeadly }), sent, now);
  correlator.OnPeerReport(peer.TakeChanges(), now);
  correlator.OnCrash(MakeWithParts({ kDeadly }), sent, now);
  Finish(MakeWithParts({ kOther }));
  CrashRepeatedly({ kDeadly }, 1);
  CHECK(VerdictOf({ kDeadly }) == CrashVerdict::kClear);
}

TEST(CrashCorrelatorTest, OldNewsDoesNotBringBackADisprovedSuspicion)
{
  CrashRepeatedly({ kDeadly }, 3);
  const auto old = correlator.Strongest(now);
  CHECK_FALSE(old.empty());
  Finish(MakeWithParts({ kDeadly }));
  const auto cleared = correlator.Strongest(now);
  correlator.OnPeerReport(old, now);
  CHECK(VerdictOf({ kDeadly }) == CrashVerdict::kClear);

  TraitCrashCorrelator peer;
  peer.OnPeerReport(cleared, now);
  peer.OnPeerReport(old, now);
  peer.OnHarmless(MakeWithParts({ kOther }), now, now);
  CHECK(peer.Decide(MakeWithParts({ kDeadly }), now + 5s).verdict ==
        CrashVerdict::kClear);
}

TEST(CrashCorrelatorTest, AWholeRequestThatComesAgainIsHeldWithoutItsParts)
{
  const auto request = MakeWithParts({ kCommon });
  for (int i = 0; i < 3; ++i) {
    Crash(request);
    Finish(MakeWithParts({ kOther }));
  }
  CHECK(VerdictOf(request) == CrashVerdict::kHeld);
  CHECK(VerdictOf({ kCommon }) == CrashVerdict::kClear);
}

TEST(CrashCorrelatorTest, FindsATeamAndAModelThatCrashEngines)
{
  const auto make = [](const char* aTeam, const char* aModel) {
    auto info = MakeRequest("r" + std::to_string(madeRequests++));
    info.customer = CustomerId(aTeam);
    info.model = ModelId(aModel);
    info.SetCrashTraits("", {});
    return info;
  };
  for (int i = 0; i < 3; ++i) {
    Crash(make("t1", "m1"));
    Finish(make("t2", "m1"));
    Crash(make("t3", "m2"));
    Crash(make("t4", "m2"));
  }
  CHECK(VerdictOf(make("t1", "m1")) == CrashVerdict::kHeld);
  CHECK(VerdictOf(make("t5", "m2")) == CrashVerdict::kHeld);
  CHECK(VerdictOf(make("t5", "m1")) == CrashVerdict::kClear);
}

// A process that is cut off sees each attempt fail.
TEST(CrashCorrelatorTest, NothingIsHeldWhileNoRequestIsAnswered)
{
  for (int i = 0; i < 20; ++i) {
    Crash(MakeWithParts({ kCommon }));
  }
  CHECK(VerdictOf({ kCommon }) == CrashVerdict::kClear);
  CHECK_FALSE(correlator.HoldsAny(now));
}

TEST(CrashCorrelatorTest, IgnoresInvalidReports)
{
  using firefly::policy::CrashTrait;
  const CrashTrait one(1);
  const CrashTrait two(2);
  std::vector<CrashTrait> many;
  for (std::uint64_t i = 0; i < 1000; ++i) {
    many.emplace_back(i);
  }
  correlator.OnPeerReport(
    { CrashSuspicion{ .traits = {}, .crashes = 9 },
      CrashSuspicion{ .traits = { two, one }, .crashes = 9 },
      CrashSuspicion{ .traits = many, .crashes = 9 } },
    now);
  LONGS_EQUAL(0, correlator.Strongest(now).size());
}

TEST(CrashCorrelatorTest, RemembersABoundedNumberOfSets)
{
  for (std::uint64_t i = 0; i < 2000; ++i) {
    Crash(MakeWithParts({ i, i + 1, i + 2 }));
    CHECK(correlator.TakeChanges().size() <= 512);
  }
  CrashRepeatedly({ kDeadly }, 3);
  CHECK(VerdictOf({ kDeadly }) == CrashVerdict::kHeld);
}

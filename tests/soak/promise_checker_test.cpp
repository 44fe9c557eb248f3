// Broken promises are reported, and kept ones are not. Promise::kStaysUp has no
// test here.

#include "tests/soak/promise_checker.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::Instant;
using firefly::RequestId;
using firefly::soak::Promise;
using firefly::soak::PromiseChecker;
using firefly::soak::RelayIndex;
using firefly::soak::RequestKind;
using firefly::soak::SentRequest;
using firefly::soak::ToString;

namespace {

const RequestId kId("r1");
constexpr RelayIndex kRelay(0);

// The time that is aMillis after the start of the soak.
Instant
At(int aMillis)
{
  return Instant(std::chrono::milliseconds(aMillis));
}

} // namespace

TEST_GROUP(PromiseCheckerTest)
{
  PromiseChecker checker;

  void Send(RequestKind aKind, int aMillis = 0, const char* aRoute = "book")
  {
    SentRequest sent;
    sent.id = kId;
    sent.kind = aKind;
    sent.route = aRoute;
    sent.method = "POST";
    sent.target = "/book/1";
    sent.body = "b";
    sent.at = At(aMillis);
    sent.deadline = 2s;
    sent.maxAttempts = aKind == RequestKind::kIdempotent ? 2 : 1;
    checker.OnSent(sent);
  }
  void Configure(
    std::uint64_t aVersion, const std::set<std::string>& aRoutes, int aMillis)
  {
    checker.OnConfiguration(aVersion, aRoutes, At(aMillis));
  }
  void Arrive(int aMillis, const char* aBody = "b", const RequestId& aId = kId)
  {
    checker.OnArrival({ .backend = "s1",
                        .id = aId,
                        .method = "POST",
                        .target = "/book/1",
                        .body = aBody,
                        .deadline = 1s },
                      At(aMillis));
  }
  void Run(const char* aBackend, int aMillis)
  {
    checker.OnRunBegan(aBackend, kId, At(aMillis));
  }
  void Answer(int aStatus,
              const char* aStamp,
              const std::string& aBody,
              bool aWhole,
              int aMillis)
  {
    checker.OnAnswer(kId,
                     { .status = aStatus,
                       .stamp = aStamp,
                       .whole = aWhole,
                       .body = aBody,
                       .left = false },
                     At(aMillis));
  }
  void Served(int aMillis)
  {
    Answer(200, "s1", PromiseChecker::PlainBody(kId), true, aMillis);
  }
  void CheckBroken(Promise aPromise)
  {
    LONGS_EQUAL(1, checker.Violations().size());
    STRCMP_EQUAL(
      std::string(ToString(aPromise)).c_str(),
      std::string(ToString(checker.Violations()[0].promise)).c_str());
  }
  void CheckKept()
  {
    LONGS_EQUAL(0, checker.Violations().size());
  }
};

TEST(PromiseCheckerTest, ServedRequestIsAccepted)
{
  Configure(1, { "book" }, 0);
  Send(RequestKind::kOnce);
  Arrive(5);
  Run("s1", 6);
  checker.OnRunEnded("s1", kId, false, At(20));
  Served(22);
  CheckKept();
}

TEST(PromiseCheckerTest, AnswerOfAnotherRequestIsReported)
{
  Configure(1, { "book" }, 0);
  Send(RequestKind::kOnce);
  Answer(200, "s1", PromiseChecker::PlainBody(RequestId("r2")), true, 10);
  CheckBroken(Promise::kOwnWholeAnswer);
}

TEST(PromiseCheckerTest, TruncatedStreamThatEndsNormallyIsReported)
{
  Configure(1, { "ask" }, 0);
  Send(RequestKind::kStream, 0, "ask");
  Answer(200, "s1", PromiseChecker::Event(kId, 1), true, 10);
  CheckBroken(Promise::kOwnWholeAnswer);
}

TEST(PromiseCheckerTest, StreamWithLostConnectionIsAccepted)
{
  Configure(1, { "ask" }, 0);
  Send(RequestKind::kStream, 0, "ask");
  Answer(200, "s1", PromiseChecker::Event(kId, 1), false, 10);
  CheckKept();
}

TEST(PromiseCheckerTest, DuplicateStreamEventIsReported)
{
  Configure(1, { "ask" }, 0);
  Send(RequestKind::kStream, 0, "ask");
  Answer(200,
         "s1",
         PromiseChecker::Event(kId, 1) + PromiseChecker::Event(kId, 1),
         false,
         10);
  CheckBroken(Promise::kOwnWholeAnswer);
}

TEST(PromiseCheckerTest, SuccessWithoutBackendStampIsReported)
{
  Configure(1, { "book" }, 0);
  Send(RequestKind::kOnce);
  Answer(200, "", PromiseChecker::PlainBody(kId), true, 10);
  CheckBroken(Promise::kOwnWholeAnswer);
}

TEST(PromiseCheckerTest, RefusalAfterARunIsReported)
{
  Send(RequestKind::kOnce);
  Run("s1", 5);
  Answer(503, "", "", true, 10);
  CheckBroken(Promise::kTrueRefusal);
}

TEST(PromiseCheckerTest, RunAfterARefusalIsReported)
{
  Send(RequestKind::kOnce);
  Answer(503, "", "", true, 10);
  Run("s1", 15);
  CheckBroken(Promise::kTrueRefusal);
}

TEST(PromiseCheckerTest, SecondRunOfANonIdempotentRequestIsReported)
{
  Send(RequestKind::kOnce);
  Run("s1", 5);
  checker.OnRunEnded("s1", kId, true, At(6));
  checker.OnRunBegan("s2", kId, At(7));
  // The second run also exceeds the attempts that the route allows.
  LONGS_EQUAL(2, checker.Violations().size());
  CHECK(checker.Violations()[0].promise == Promise::kAtMostOnce);
}

TEST(PromiseCheckerTest, MoreRunsThanMaxAttemptsAreReported)
{
  Send(RequestKind::kIdempotent);
  Run("s1", 5);
  Run("s2", 6);
  CheckKept();
  Run("s3", 7);
  CheckBroken(Promise::kAsSent);
}

TEST(PromiseCheckerTest, RequestThatNoCallerSentIsReported)
{
  Arrive(5, "b", RequestId("smuggled"));
  CheckBroken(Promise::kAsSent);
}

TEST(PromiseCheckerTest, ChangedBodyIsReported)
{
  Send(RequestKind::kOnce);
  Arrive(5, "c");
  CheckBroken(Promise::kAsSent);
}

TEST(PromiseCheckerTest, DeadlineBeyondTheRemainingTimeIsReported)
{
  Send(RequestKind::kOnce);
  Arrive(1600);
  CheckBroken(Promise::kAsSent);
}

TEST(PromiseCheckerTest, WorkForALeavingBackendServerIsReported)
{
  checker.OnLeaving("s1", At(0));
  Send(RequestKind::kOnce, 1900);
  Arrive(1910);
  CheckKept();
  Send(RequestKind::kOnce, 2500);
  Arrive(2510);
  CheckBroken(Promise::kNoWorkForLeaving);
}

TEST(PromiseCheckerTest, DisturbedRelayMaySendToALeavingBackendServer)
{
  checker.OnLeaving("s1", At(0));
  checker.OnRelayDisturbed(kRelay, At(500), At(600));
  Send(RequestKind::kOnce, 2500);
  Arrive(2510);
  CheckKept();
}

TEST(PromiseCheckerTest, OldConfigurationAfterTheApplyTimeIsReported)
{
  Configure(1, { "book" }, 0);
  Configure(4, { "look-up" }, 1000);
  Send(RequestKind::kOnce, 3000);
  Served(3010);
  CheckKept();
  Send(RequestKind::kOnce, 3500);
  Served(3510);
  CheckBroken(Promise::kConfiguration);
}

TEST(PromiseCheckerTest, ConfigurationRollbackIsReported)
{
  checker.OnRelayStarted(kRelay, At(0));
  Configure(1, { "book" }, 0);
  Configure(4, { "book", "extra" }, 1000);
  Send(RequestKind::kOnce, 1500, "extra");
  Served(1510);
  CheckKept();
  Send(RequestKind::kOnce, 2000, "extra");
  Answer(404, "", "", true, 2010);
  CheckBroken(Promise::kConfiguration);
}

TEST(PromiseCheckerTest, RequestInterruptedByAPlannedStopIsReported)
{
  Send(RequestKind::kStream, 0, "ask");
  Run("s1", 5);
  checker.OnStopSignal(kRelay, At(10));
  checker.OnRunEnded("s1", kId, false, At(50));
  Answer(200, "", "", false, 50);
  LONGS_EQUAL(2, checker.Violations().size());
  CHECK(checker.Violations()[1].promise == Promise::kUncutByPlannedStop);
}

// A stopping relay may abandon a request that a slow engine is still processing
// `abandonAfterStop` after SIGTERM, which is before the end of the stop grace.
TEST(PromiseCheckerTest, RunLongerThanTheAbandonTimeIsAccepted)
{
  Send(RequestKind::kStream, 0, "ask");
  Run("s1", 5);
  checker.OnStopSignal(kRelay, At(10));
  checker.OnRunEnded("s1", kId, false, At(7650));
  Answer(200, "", "", false, 7650);
  for (const auto& it : checker.Violations()) {
    CHECK(it.promise != Promise::kUncutByPlannedStop);
  }
}

TEST(PromiseCheckerTest, RequestInterruptedWithinTheAbandonTimeIsReported)
{
  Send(RequestKind::kStream, 0, "ask");
  Run("s1", 5);
  checker.OnStopSignal(kRelay, At(10));
  checker.OnRunEnded("s1", kId, false, At(6600));
  Answer(200, "", "", false, 6600);
  bool found = false;
  for (const auto& it : checker.Violations()) {
    found = found || it.promise == Promise::kUncutByPlannedStop;
  }
  CHECK_TRUE(found);
}

TEST(PromiseCheckerTest, WorkAfterTheCallerLeftIsReported)
{
  Send(RequestKind::kIdempotent);
  Run("s1", 5);
  checker.OnAnswer(kId, { .left = true }, At(100));
  checker.OnRunEnded("s1", kId, false, At(1200));
  CheckBroken(Promise::kStoppedForGoneCaller);
}

TEST(PromiseCheckerTest, OrdersOfTwoHoldersWithinTheLeaseAreReported)
{
  checker.OnOrder({ .backend = "e1", .holder = "a", .fence = 1 }, At(0));
  checker.OnOrder({ .backend = "e1", .holder = "b", .fence = 2 }, At(4000));
  CheckKept();
  checker.OnOrder({ .backend = "e1", .holder = "a", .fence = 3 }, At(5000));
  CheckBroken(Promise::kOneHolder);
}

TEST(PromiseCheckerTest, MissingRecoveryIsReported)
{
  checker.OnLastFault(At(1000));
  Configure(1, { "book" }, 0);
  Send(RequestKind::kOnce, 2000);
  Answer(503, "", "", true, 2010);
  checker.Finish(At(3000));
  CheckBroken(Promise::kRecovers);
}

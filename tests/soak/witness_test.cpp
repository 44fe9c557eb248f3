// Each promise is found broken when it is, and kept when it is kept.

#include "tests/soak/witness.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::Instant;
using firefly::RequestId;
using firefly::soak::Promise;
using firefly::soak::RelayIndex;
using firefly::soak::RequestKind;
using firefly::soak::SentRequest;
using firefly::soak::ToString;
using firefly::soak::Witness;

namespace {

const RequestId kId("r1");
constexpr RelayIndex kRelay(0);

// A moment of the soak, in milliseconds.
Instant
At(int aMillis)
{
  return Instant(std::chrono::milliseconds(aMillis));
}

} // namespace

TEST_GROUP(WitnessTest)
{
  Witness witness;

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
    witness.OnSent(sent);
  }
  void Configure(
    std::uint64_t aVersion, const std::set<std::string>& aRoutes, int aMillis)
  {
    witness.OnConfiguration(aVersion, aRoutes, At(aMillis));
  }
  void Arrive(int aMillis, const char* aBody = "b", const RequestId& aId = kId)
  {
    witness.OnArrival({ .backend = "s1",
                        .id = aId,
                        .method = "POST",
                        .target = "/book/1",
                        .body = aBody,
                        .deadline = 1s },
                      At(aMillis));
  }
  void Run(const char* aBackend, int aMillis)
  {
    witness.OnRunBegan(aBackend, kId, At(aMillis));
  }
  void Answer(int aStatus,
              const char* aStamp,
              const std::string& aBody,
              bool aWhole,
              int aMillis)
  {
    witness.OnAnswer(kId,
                     { .status = aStatus,
                       .stamp = aStamp,
                       .whole = aWhole,
                       .body = aBody,
                       .left = false },
                     At(aMillis));
  }
  void Served(int aMillis)
  {
    Answer(200, "s1", Witness::PlainBody(kId), true, aMillis);
  }
  void CheckBroken(Promise aPromise)
  {
    LONGS_EQUAL(1, witness.Violations().size());
    STRCMP_EQUAL(
      std::string(ToString(aPromise)).c_str(),
      std::string(ToString(witness.Violations()[0].promise)).c_str());
  }
  void CheckKept()
  {
    LONGS_EQUAL(0, witness.Violations().size());
  }
};

TEST(WitnessTest, AServedRequestBreaksNothing)
{
  Configure(1, { "book" }, 0);
  Send(RequestKind::kOnce);
  Arrive(5);
  Run("s1", 6);
  witness.OnRunEnded("s1", kId, false, At(20));
  Served(22);
  CheckKept();
}

TEST(WitnessTest, AnAnswerOfAnotherRequest)
{
  Configure(1, { "book" }, 0);
  Send(RequestKind::kOnce);
  Answer(200, "s1", Witness::PlainBody(RequestId("r2")), true, 10);
  CheckBroken(Promise::kOwnWholeAnswer);
}

TEST(WitnessTest, ACutStreamThatLooksWhole)
{
  Configure(1, { "ask" }, 0);
  Send(RequestKind::kStream, 0, "ask");
  Answer(200, "s1", Witness::Event(kId, 1), true, 10);
  CheckBroken(Promise::kOwnWholeAnswer);
}

TEST(WitnessTest, ACutStreamThatIsSeenToBeCut)
{
  Configure(1, { "ask" }, 0);
  Send(RequestKind::kStream, 0, "ask");
  Answer(200, "s1", Witness::Event(kId, 1), false, 10);
  CheckKept();
}

TEST(WitnessTest, AStreamWithAnEventTwice)
{
  Configure(1, { "ask" }, 0);
  Send(RequestKind::kStream, 0, "ask");
  Answer(200, "s1", Witness::Event(kId, 1) + Witness::Event(kId, 1), false, 10);
  CheckBroken(Promise::kOwnWholeAnswer);
}

TEST(WitnessTest, ASuccessThatNobodySigned)
{
  Configure(1, { "book" }, 0);
  Send(RequestKind::kOnce);
  Answer(200, "", Witness::PlainBody(kId), true, 10);
  CheckBroken(Promise::kOwnWholeAnswer);
}

TEST(WitnessTest, ARefusalAfterARun)
{
  Send(RequestKind::kOnce);
  Run("s1", 5);
  Answer(503, "", "", true, 10);
  CheckBroken(Promise::kTrueRefusal);
}

TEST(WitnessTest, ARunAfterARefusal)
{
  Send(RequestKind::kOnce);
  Answer(503, "", "", true, 10);
  Run("s1", 15);
  CheckBroken(Promise::kTrueRefusal);
}

TEST(WitnessTest, ASecondRunOfWhatMayRunOnce)
{
  Send(RequestKind::kOnce);
  Run("s1", 5);
  witness.OnRunEnded("s1", kId, true, At(6));
  witness.OnRunBegan("s2", kId, At(7));
  // It is also more than the route allows.
  LONGS_EQUAL(2, witness.Violations().size());
  CHECK(witness.Violations()[0].promise == Promise::kAtMostOnce);
}

TEST(WitnessTest, MoreRunsThanTheRouteAllows)
{
  Send(RequestKind::kIdempotent);
  Run("s1", 5);
  Run("s2", 6);
  CheckKept();
  Run("s3", 7);
  CheckBroken(Promise::kAsSent);
}

TEST(WitnessTest, ARequestThatNobodySent)
{
  Arrive(5, "b", RequestId("smuggled"));
  CheckBroken(Promise::kAsSent);
}

TEST(WitnessTest, AChangedBody)
{
  Send(RequestKind::kOnce);
  Arrive(5, "c");
  CheckBroken(Promise::kAsSent);
}

TEST(WitnessTest, MoreTimeThanIsLeft)
{
  Send(RequestKind::kOnce);
  Arrive(1600);
  CheckBroken(Promise::kAsSent);
}

TEST(WitnessTest, WorkForALeavingBackendServer)
{
  witness.OnLeaving("s1", At(0));
  Send(RequestKind::kOnce, 1900);
  Arrive(1910);
  CheckKept();
  Send(RequestKind::kOnce, 2500);
  Arrive(2510);
  CheckBroken(Promise::kNoWorkForLeaving);
}

TEST(WitnessTest, ADisturbedRelayMayBeLate)
{
  witness.OnLeaving("s1", At(0));
  witness.OnDisturbed(kRelay, At(500), At(600));
  Send(RequestKind::kOnce, 2500);
  Arrive(2510);
  CheckKept();
}

TEST(WitnessTest, AnOldConfigurationLongAfterANewOne)
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

TEST(WitnessTest, AConfigurationThatReverts)
{
  witness.OnRelayStarted(kRelay, At(0));
  Configure(1, { "book" }, 0);
  Configure(4, { "book", "extra" }, 1000);
  Send(RequestKind::kOnce, 1500, "extra");
  Served(1510);
  CheckKept();
  Send(RequestKind::kOnce, 2000, "extra");
  Answer(404, "", "", true, 2010);
  CheckBroken(Promise::kConfiguration);
}

TEST(WitnessTest, ARequestThatAPlannedStopCuts)
{
  Send(RequestKind::kStream, 0, "ask");
  Run("s1", 5);
  witness.OnStopSignal(kRelay, At(10));
  witness.OnRunEnded("s1", kId, false, At(50));
  Answer(200, "", "", false, 50);
  LONGS_EQUAL(2, witness.Violations().size());
  CHECK(witness.Violations()[1].promise == Promise::kUncutByPlannedStop);
}

// A slow engine may still be at work when the grace is over.
TEST(WitnessTest, AnEngineThatOutlastsAPlannedStop)
{
  Send(RequestKind::kStream, 0, "ask");
  Run("s1", 5);
  witness.OnStopSignal(kRelay, At(10));
  witness.OnRunEnded("s1", kId, false, At(7650));
  Answer(200, "", "", false, 7650);
  for (const auto& it : witness.Violations()) {
    CHECK(it.promise != Promise::kUncutByPlannedStop);
  }
}

TEST(WitnessTest, ARequestThatAPlannedStopCutsBeforeItsGraceIsOver)
{
  Send(RequestKind::kStream, 0, "ask");
  Run("s1", 5);
  witness.OnStopSignal(kRelay, At(10));
  witness.OnRunEnded("s1", kId, false, At(6600));
  Answer(200, "", "", false, 6600);
  bool found = false;
  for (const auto& it : witness.Violations()) {
    found = found || it.promise == Promise::kUncutByPlannedStop;
  }
  CHECK_TRUE(found);
}

TEST(WitnessTest, WorkThatGoesOnWithoutItsCaller)
{
  Send(RequestKind::kIdempotent);
  Run("s1", 5);
  witness.OnAnswer(kId, { .left = true }, At(100));
  witness.OnRunEnded("s1", kId, false, At(1200));
  CheckBroken(Promise::kStoppedForGoneCaller);
}

TEST(WitnessTest, OrdersOfTwoHolders)
{
  witness.OnOrder({ .backend = "e1", .holder = "a", .fence = 1 }, At(0));
  witness.OnOrder({ .backend = "e1", .holder = "b", .fence = 2 }, At(4000));
  CheckKept();
  witness.OnOrder({ .backend = "e1", .holder = "a", .fence = 3 }, At(5000));
  CheckBroken(Promise::kOneHolder);
}

TEST(WitnessTest, ASystemThatDoesNotRecover)
{
  witness.OnLastFault(At(1000));
  Configure(1, { "book" }, 0);
  Send(RequestKind::kOnce, 2000);
  Answer(503, "", "", true, 2010);
  witness.Finish(At(3000));
  CheckBroken(Promise::kRecovers);
}

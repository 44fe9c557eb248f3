// Tests that a stream goes on only at the software version that began it, when
// the relay resumes it and when its caller does.

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "tests/helpers/raw_tcp_client.h"
#include "tests/servers/relay/relay_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::BackendId;
using firefly::LastChunk;
using firefly::ServiceId;
using firefly::policy::EngineRole;
using firefly::policy::RouteKind;
using firefly::testing::AfterReply;
using firefly::testing::HasHeader;
using firefly::testing::MakeAnswer;
using firefly::testing::MakePromptRequest;
using firefly::testing::MakeRoute;
using firefly::testing::MakeStream;
using firefly::testing::RawTcpClient;
using firefly::testing::ScriptedReply;
using firefly::testing::ScriptedRequest;

namespace {

const std::string kPrompt = "Fireflyrouter-Model: m\r\n"
                            "Fireflyrouter-Token-Count: 9000,80\r\n"
                            "Fireflyrouter-Prompt-Prefix: a1:6000,b2:3000\r\n";

struct StreamVersionFixture : firefly::testing::RelayFixture
{
  // Sends the first event and then nothing, or the rest of a resumed stream.
  static ScriptedReply StallOrGoOn(const ScriptedRequest& aRequest)
  {
    if (HasHeader(aRequest, "Last-Event-Id")) {
      return { MakeStream("id: 2\ndata: b\n\n", true) };
    }
    return { MakeStream("id: 1\ndata: a\n\n", false) };
  }

  static std::string MakeStreamRequest(const std::string& aTarget,
                                       const std::string& aId,
                                       const std::string& aHeaders = "")
  {
    return "GET " + aTarget +
           " HTTP/1.1\r\nHost: h.example\r\n"
           "Fireflyrouter-Request-Id: " +
           aId + "\r\nFireflyrouter-Deadline-Ms: 5000\r\n" + aHeaders + "\r\n";
  }

  static std::string Resume(const std::string& aFirst)
  {
    return "Last-Event-Id: 1\r\nResumes: " + aFirst + "\r\n";
  }

  // Begins a stream, and leaves after its first event.
  void Begin(const std::string& aTarget,
             const std::string& aId,
             const std::string& aHeaders = "")
  {
    RawTcpClient caller(executor, callers.Port());
    caller.Send(MakeStreamRequest(aTarget, aId, aHeaders));
    Await([&] { return caller.HasReceived("data: a\n\n"); });
    caller.Close();
    Await([&] { return relay.LiveRequests() == 0; });
  }

  // Serves one version, begins the stream q1 there, and keeps the reads of the
  // log that a take-up waits for.
  void BeginWithOneVersion()
  {
    first = StartBackend(StallOrGoOn);
    second = StartBackend(StallOrGoOn);
    Register("b1", *first, {}, "v1");
    SetRoutingTable();
    KnowVersions();
    Begin("/events/1", "q1");
    awaitBackends = [this](firefly::Instant aAsOf,
                           std::function<void()> aDone) {
      awaitedAt = aAsOf;
      awaited = std::move(aDone);
    };
  }

  firefly::Instant awaitedAt{};
  std::function<void()> awaited;

  // Returns what a caller gets that resumes the stream.
  std::string TakeUp(const std::string& aTarget,
                     const std::string& aId,
                     const std::string& aFirst,
                     const std::string& aHeaders = "")
  {
    RawTcpClient caller(executor, callers.Port());
    caller.Send(MakeStreamRequest(aTarget, aId, Resume(aFirst) + aHeaders));
    Await([&] {
      return caller.HasReceived(LastChunk()) ||
             caller.HasReceived("HTTP/1.1 503 ");
    });
    Await([&] { return relay.LiveRequests() == 0; });
    return caller.Received();
  }
};

} // namespace

TEST_GROUP_BASE(RelayStreamVersionTest, StreamVersionFixture){};

// Guards against a stream whose parts the relay joins from two versions.
TEST(RelayStreamVersionTest, ABrokenStreamIsResumedOnlyAtItsOwnVersion)
{
  const auto script = [](const ScriptedRequest& aRequest) -> ScriptedReply {
    if (HasHeader(aRequest, "Last-Event-Id")) {
      return { MakeStream("id: 2\ndata: b\n\n", true) };
    }
    return { MakeStream("id: 1\ndata: a\n\n", false), AfterReply::kClose };
  };
  first = StartBackend(script);
  second = StartBackend(script);
  // Two servers of each version.
  Register("e1", *first, EngineRole::kDecode, "v1");
  Register("e2", *first, EngineRole::kDecode, "v1");
  Register("e3", *second, EngineRole::kDecode, "v2");
  Register("e4", *second, EngineRole::kDecode, "v2");
  SetRoutingTable();
  RawTcpClient caller(executor, callers.Port());
  caller.Send(MakePromptRequest("/resume/1"));
  Await([&] { return caller.HasReceived(LastChunk()); });
  LONGS_EQUAL(0, std::min(first->Requests().size(), second->Requests().size()));
}

// Guards against the same when no server of the version is left.
TEST(RelayStreamVersionTest, ABrokenStreamEndsWithTheLastServerOfItsVersion)
{
  const auto script = [this](const std::string& aId) {
    return [this, aId](const ScriptedRequest&) -> ScriptedReply {
      executor.Post([this, aId] { backendRegistry.Remove(BackendId(aId)); });
      return { MakeStream("id: 1\ndata: a\n\n", false), AfterReply::kClose };
    };
  };
  first = StartBackend(script("e1"));
  second = StartBackend(script("e2"));
  Register("e1", *first, EngineRole::kDecode, "v1");
  Register("e2", *second, EngineRole::kDecode, "v2");
  SetRoutingTable();
  RawTcpClient caller(executor, callers.Port());
  caller.Send(MakePromptRequest("/resume/1"));
  Await([&] { return caller.IsClosed(); });
  CHECK_FALSE(caller.HasReceived(LastChunk()));
  LONGS_EQUAL(1, first->Requests().size() + second->Requests().size());
}

// Guards against a caller's take-up that reaches another version.
TEST(RelayStreamVersionTest, ACallersStreamGoesOnAtTheVersionThatBeganIt)
{
  first = StartBackend(StallOrGoOn);
  second = StartBackend(StallOrGoOn);
  Register("b1", *first, {}, "v1");
  Register("b2", *second, {}, "v2");
  SetRoutingTable();
  for (int i = 0; i < 16; ++i) {
    const auto id = "q" + std::to_string(i);
    const auto before = first->Requests().size();
    Begin("/events/1", id);
    const bool beganAtFirst = first->Requests().size() > before;
    const auto answer = TakeUp("/events/1", id + "-again", id);
    STRCMP_CONTAINS("data: b\n\n", answer.c_str());
    LONGS_EQUAL(before + (beganAtFirst ? 2 : 0), first->Requests().size());
  }
}

// Guards against a take-up that goes on at the version that is left.
TEST(RelayStreamVersionTest, ATakeUpWithoutAServerOfItsVersionIsRefused)
{
  first = StartBackend(StallOrGoOn);
  second = StartBackend(StallOrGoOn);
  Register("b1", *first, {}, "v1");
  SetRoutingTable();
  Begin("/events/1", "q1");
  backendRegistry.Remove(BackendId("b1"));
  Register("b2", *second, {}, "v2");
  const auto answer = TakeUp("/events/1", "q2", "q1");
  STRCMP_CONTAINS("HTTP/1.1 503 ", answer.c_str());
  STRCMP_CONTAINS("\r\nRetry-After: ", answer.c_str());
  LONGS_EQUAL(0, second->Requests().size());
}

// Guards against a guess: the host that knew of the stream is gone.
TEST(RelayStreamVersionTest, ATakeUpOfAnUnknownStreamIsRefusedWithTwoVersions)
{
  first = StartBackend(StallOrGoOn);
  second = StartBackend(StallOrGoOn);
  Register("b1", *first, {}, "v1");
  Register("b2", *second, {}, "v2");
  SetRoutingTable();
  const auto answer = TakeUp("/events/1", "q2", "q1");
  STRCMP_CONTAINS("HTTP/1.1 503 ", answer.c_str());
  STRCMP_CONTAINS("\r\nRetry-After: ", answer.c_str());
  LONGS_EQUAL(0, first->Requests().size() + second->Requests().size());
}

// Guards against a stream that goes on from a KV cache which another version
// wrote.
TEST(RelayStreamVersionTest, AResumedStreamTakesNoKvCacheOfAnotherVersion)
{
  first = StartBackend([](const ScriptedRequest&) -> ScriptedReply {
    return { MakeAnswer(200,
                        R"({"kvHandle":"ab12","tokens":9000,"version":1})") };
  });
  second = StartBackend(StallOrGoOn);
  Register("p1", *first, EngineRole::kPrefill, "v1");
  Register("d1", *second, EngineRole::kDecode, "v2");
  SetRoutingTable();
  Begin("/resume/1", "q1", kPrompt);
  // The caller has no event yet: any engine may read the prompt.
  LONGS_EQUAL(1, first->Requests().size());
  CHECK_TRUE(HasHeader(second->Requests().at(0), "Fireflyrouter-Kv-Source"));
  TakeUp("/resume/1", "q2", "q1", kPrompt);
  LONGS_EQUAL(1, first->Requests().size());
  CHECK_FALSE(HasHeader(second->Requests().at(1), "Fireflyrouter-Kv-Source"));
}

// Guards against a take-up that a split route sends to another service than the
// request that began the stream.
TEST(RelayStreamVersionTest, AStreamOfASplitRouteGoesOnAtItsService)
{
  first = StartBackend(StallOrGoOn);
  second = StartBackend(StallOrGoOn);
  Register("b1", *first);
  backendRegistry.Apply({ .id = BackendId("b2"),
                          .service = ServiceId("other"),
                          .address = firefly::BackendAddress(second->Address()),
                          .domain = {},
                          .slots = 8,
                          .version = "v1" });
  auto route = MakeRoute("/split/", RouteKind::kResumableStream, 2);
  route.targets = { { .service = ServiceId("desk") },
                    { .service = ServiceId("other") } };
  routing.UpdateIfNewer(firefly::policy::RoutingTable(
                          { .version = firefly::policy::RoutingVersion(4),
                            .routes = { route },
                            .services = { { .id = ServiceId("desk") },
                                          { .id = ServiceId("other") } },
                            .limits = {} }),
                        "test");
  for (int i = 0; i < 16; ++i) {
    const auto id = "q" + std::to_string(i);
    const auto before = first->Requests().size();
    Begin("/split/1", id);
    const bool beganAtFirst = first->Requests().size() > before;
    TakeUp("/split/1", id + "-again", id);
    LONGS_EQUAL(before + (beganAtFirst ? 2 : 0), first->Requests().size());
  }
}

// Guards against a relay that has just started and continues a stream of before
// at the only version that it sees: all hosts were killed at once, and the
// servers that began the stream have left.
TEST(RelayStreamVersionTest, AStartedRelayContinuesNoStreamOfBefore)
{
  first = StartBackend(StallOrGoOn);
  Register("b1", *first, {}, "v2");
  SetRoutingTable();
  ConfirmBackends(executor.Now());
  const auto answer = TakeUp("/events/1", "q2", "q1");
  STRCMP_CONTAINS("HTTP/1.1 503 ", answer.c_str());
  STRCMP_CONTAINS("\r\nRetry-After: ", answer.c_str());
  LONGS_EQUAL(0, first->Requests().size());
}

// Guards against a relay that is out of step for a moment and continues a
// stream at the only version that it knows, while another one has joined and
// begun it.
TEST(RelayStreamVersionTest, ATakeUpWaitsUntilTheVersionsAreConfirmed)
{
  BeginWithOneVersion();
  RawTcpClient caller(executor, callers.Port());
  caller.Send(MakeStreamRequest("/events/1", "q2", Resume("q1")));
  Await([&] { return awaited != nullptr; });
  LONGS_EQUAL(1, relay.LiveRequests());
  LONGS_EQUAL(1, first->Requests().size());
  ConfirmBackends(awaitedAt);
  awaited();
  Await([&] { return caller.HasReceived(LastChunk()); });
  STRCMP_CONTAINS("data: b\n\n", caller.Received().c_str());
  LONGS_EQUAL(2, first->Requests().size());
}

TEST(RelayStreamVersionTest, ATakeUpIsRefusedIfAnotherVersionHasJoined)
{
  BeginWithOneVersion();
  RawTcpClient caller(executor, callers.Port());
  caller.Send(MakeStreamRequest("/events/1", "q2", Resume("q0")));
  Await([&] { return awaited != nullptr; });
  Register("b2", *second, {}, "v2");
  ConfirmBackends(awaitedAt);
  awaited();
  Await([&] { return caller.HasReceived("HTTP/1.1 503 "); });
  STRCMP_CONTAINS("\r\nRetry-After: ", caller.Received().c_str());
  LONGS_EQUAL(1, first->Requests().size());
  LONGS_EQUAL(0, second->Requests().size());
  LONGS_EQUAL(0, relay.LiveRequests());
}

// Guards against a guess when the log does not answer.
TEST(RelayStreamVersionTest, ATakeUpIsRefusedIfTheVersionsAreNotConfirmed)
{
  BeginWithOneVersion();
  RawTcpClient caller(executor, callers.Port());
  caller.Send(MakeStreamRequest("/events/1", "q2", Resume("q1")));
  Await([&] { return awaited != nullptr; });
  awaited();
  Await([&] { return caller.HasReceived("HTTP/1.1 503 "); });
  STRCMP_CONTAINS("\r\nRetry-After: ", caller.Received().c_str());
  LONGS_EQUAL(1, first->Requests().size());
}

// Guards against work for callers that have left, and against an id that stays
// in use.
TEST(RelayStreamVersionTest, ACallerMayLeaveWhileItsTakeUpWaits)
{
  BeginWithOneVersion();
  RawTcpClient caller(executor, callers.Port());
  caller.Send(MakeStreamRequest("/events/1", "q2", Resume("q1")));
  Await([&] { return awaited != nullptr; });
  caller.Close();
  Await([&] { return relay.LiveRequests() == 0; });
  ConfirmBackends(awaitedAt);
  awaited();
  LONGS_EQUAL(1, first->Requests().size());
  awaitBackends = [](firefly::Instant, const std::function<void()>&) {};
  ConfirmBackends(executor.Now() + 1s);
  const auto answer = TakeUp("/events/1", "q2", "q1");
  STRCMP_CONTAINS("data: b\n\n", answer.c_str());
}

// Guards against a stop that leaves waiting callers without an answer.
TEST(RelayStreamVersionTest, AWaitingTakeUpIsAnsweredBeforeTheStop)
{
  BeginWithOneVersion();
  RawTcpClient caller(executor, callers.Port());
  caller.Send(MakeStreamRequest("/events/1", "q2", Resume("q1")));
  Await([&] { return awaited != nullptr; });
  relay.EndRequests();
  Await([&] { return caller.HasReceived("HTTP/1.1 503 "); });
  LONGS_EQUAL(0, relay.LiveRequests());
  ConfirmBackends(awaitedAt);
  awaited();
  LONGS_EQUAL(1, first->Requests().size());
}

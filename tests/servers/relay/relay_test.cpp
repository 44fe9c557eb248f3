// Tests the request path between a raw caller and scripted backend servers on
// loopback, with the dialect of the users' platform.

#include <string>

#include "tests/helpers/raw_tcp_client.h"
#include "tests/servers/relay/relay_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::BackendId;
using firefly::FindHeader;
using firefly::policy::EngineRole;
using firefly::testing::AfterReply;
using firefly::testing::HasHeader;
using firefly::testing::kStamp;
using firefly::testing::MakeAnswer;
using firefly::testing::MakeGet;
using firefly::testing::MakePromptRequest;
using firefly::testing::MakeStream;
using firefly::testing::RawTcpClient;
using firefly::testing::ScriptedReply;
using firefly::testing::ScriptedRequest;

TEST_GROUP_BASE(RelayTest, firefly::testing::RelayFixture){};

TEST(RelayTest, ForwardsACompleteAnswerUnchanged)
{
  StartDeskBackend({ MakeAnswer(200, "held by cart 7", kStamp) });
  RawTcpClient caller(executor, callers.Port());
  caller.Send(MakeGet("/look/7?day=1"));
  Await([&] { return caller.HasReceived("held by cart 7"); });
  CHECK_TRUE(caller.HasReceived("HTTP/1.1 200 X\r\n"));
  CHECK_TRUE(caller.HasReceived(kStamp));
  const auto& sent = first->Requests().at(0);
  STRCMP_EQUAL("/look/7?day=1", sent.head.target.c_str());
  CHECK(FindHeader(sent.head.headers, "Fireflyrouter-Expect-Instance") == "b1");
  const auto left = std::stoi(
    std::string(FindHeader(sent.head.headers, "Fireflyrouter-Deadline-Ms")));
  CHECK_TRUE(left > 0 && left <= 700);
}

TEST(RelayTest, RemovesHeadersThatOnlyTheSystemMaySet)
{
  StartDeskBackend({ MakeAnswer(200, "x", kStamp) });
  RawTcpClient caller(executor, callers.Port());
  caller.Send(MakeGet("/look/7",
                      "Fireflyrouter-Kv-Source: 1.2.3.4:5/x\r\n"
                      "Fireflyrouter-Stage: prefill\r\n"
                      "Connection: X-Mine\r\nX-Mine: 1\r\nX-Other: 2\r\n"));
  Await([&] { return caller.HasReceived("HTTP/1.1 200"); });
  const auto& sent = first->Requests().at(0);
  CHECK_FALSE(HasHeader(sent, "Fireflyrouter-Kv-Source"));
  CHECK_FALSE(HasHeader(sent, "Fireflyrouter-Stage"));
  CHECK_FALSE(HasHeader(sent, "X-Mine"));
  CHECK_TRUE(HasHeader(sent, "X-Other"));
}

TEST(RelayTest, DoesNotRetryABookingWithUnknownOutcome)
{
  StartDeskBackend({ "", AfterReply::kReset });
  RawTcpClient caller(executor, callers.Port());
  caller.Send(MakeGet("/book/7"));
  Await([&] { return caller.HasReceived("HTTP/1.1 502"); });
  LONGS_EQUAL(1, first->Requests().size());
}

TEST(RelayTest, ReportsARejectedBookingAsNotRun)
{
  StartDeskBackend({ MakeAnswer(503, "", "Fireflyrouter-Not-Run: 1\r\n") });
  RawTcpClient caller(executor, callers.Port());
  caller.Send(MakeGet("/book/7"));
  Await([&] { return caller.HasReceived("HTTP/1.1 503"); });
  CHECK_TRUE(caller.HasReceived("Retry-After: "));
}

// The body of a rejection may come without end; its head has said all.
TEST(RelayTest, ReportsARejectionWithAnEndlessBodyAtOnce)
{
  StartDeskBackend({ "HTTP/1.1 503 Busy\r\nFireflyrouter-Not-Run: 1\r\n"
                     "Content-Length: 99999999\r\n\r\n" +
                     std::string(1U << 20U, 'x') });
  RawTcpClient caller(executor, callers.Port());
  caller.Send(MakeGet("/book/7"));
  Await([&] { return caller.HasReceived("HTTP/1.1 503"); });
}

TEST(RelayTest, RetriesALookupElsewhereAfterALostConnection)
{
  int n = 0;
  const auto script = [&n](const ScriptedRequest&) -> ScriptedReply {
    if (n++ == 0) {
      return { "HTTP/1.1 200 OK\r\n" + kStamp + "Content-Length: 9\r\n\r\nhal",
               AfterReply::kClose };
    }
    return { MakeAnswer(200, "whole", kStamp) };
  };
  first = StartBackend(script);
  second = StartBackend(script);
  Register("b1", *first);
  Register("b2", *second);
  SetRoutingTable();
  RawTcpClient caller(executor, callers.Port());
  caller.Send(MakeGet("/look/7"));
  Await([&] { return caller.HasReceived("whole"); });
  CHECK_FALSE(caller.HasReceived("hal\r\n"));
  LONGS_EQUAL(1, first->Requests().size());
  LONGS_EQUAL(1, second->Requests().size());
}

TEST(RelayTest, ForwardsABackendFailureWithItsStatusAndSignature)
{
  StartDeskBackend({ MakeAnswer(500, "broken till", kStamp) });
  RawTcpClient caller(executor, callers.Port());
  caller.Send(MakeGet("/book/7"));
  Await([&] { return caller.HasReceived("broken till"); });
  CHECK_TRUE(caller.HasReceived("HTTP/1.1 500"));
  CHECK_TRUE(caller.HasReceived(kStamp));
}

TEST(RelayTest, RejectsAnAnswerWithoutASignature)
{
  StartDeskBackend({ MakeAnswer(200, "who am I") });
  RawTcpClient caller(executor, callers.Port());
  caller.Send(MakeGet("/book/7"));
  Await([&] { return caller.HasReceived("HTTP/1.1 502"); });
  CHECK_FALSE(caller.HasReceived("who am I"));
}

TEST(RelayTest, SkipsALateAnswerToAnotherRequest)
{
  StartDeskBackend(
    { MakeAnswer(200, "other", kStamp + "Fireflyrouter-Request-Id: q0\r\n") +
      MakeAnswer(200, "mine", kStamp + "Fireflyrouter-Request-Id: q1\r\n") });
  RawTcpClient caller(executor, callers.Port());
  caller.Send(MakeGet("/book/7"));
  Await([&] { return caller.HasReceived("mine"); });
  CHECK_FALSE(caller.HasReceived("other"));
}

TEST(RelayTest, StopsTheBackendWhenTheCallerDisconnects)
{
  StartDeskBackend({}); // never answers
  RawTcpClient caller(executor, callers.Port());
  caller.Send(MakeGet("/book/7"));
  Await([&] { return first->Requests().size() == 1; });
  caller.Close();
  const auto left = executor.Now();
  Await([&] { return first->ClosedConnections() == 1; });
  CHECK_TRUE(executor.Now() - left < 500ms);
  Await([&] { return relay.LiveRequests() == 0; });
}

TEST(RelayTest, EndsAnUnansweredRequestAtItsRoutesTimeout)
{
  StartDeskBackend({});
  RawTcpClient caller(executor, callers.Port());
  const auto sent = executor.Now();
  caller.Send(MakeGet("/book/7"));
  Await([&] { return caller.HasReceived("HTTP/1.1 504"); });
  CHECK_TRUE(executor.Now() - sent >= 700ms);
  CHECK_TRUE(executor.Now() - sent < 1200ms);
}

TEST(RelayTest, KeepsConnectionsOpenOnBothSides)
{
  StartDeskBackend(
    { MakeAnswer(200, "x", kStamp + "Fireflyrouter-Request-Id: q1\r\n") });
  RawTcpClient caller(executor, callers.Port());
  caller.Send(MakeGet("/look/1"));
  Await([&] { return caller.HasReceived("HTTP/1.1 200"); });
  caller.Send("GET /look/2 HTTP/1.1\r\nHost: h.example\r\n"
              "Fireflyrouter-Request-Id: q2\r\n\r\n");
  Await([&] { return first->Requests().size() == 2; });
  LONGS_EQUAL(1, first->AcceptedConnections());
  CHECK_FALSE(caller.IsClosed());
}

TEST(RelayTest, AnswersNotReadyInsteadOfNotFoundWithoutATable)
{
  RawTcpClient caller(executor, callers.Port());
  caller.Send(MakeGet("/look/1"));
  Await([&] { return caller.HasReceived("HTTP/1.1 503"); });
}

TEST(RelayTest, AnswersNotFoundForAnUnknownPath)
{
  StartDeskBackend({});
  RawTcpClient caller(executor, callers.Port());
  caller.Send(MakeGet("/nowhere/1"));
  Await([&] { return caller.HasReceived("HTTP/1.1 404"); });
}

TEST(RelayTest, RefusesASmuggledRequestAndClosesItsConnection)
{
  StartDeskBackend({ MakeAnswer(200, "x", kStamp) });
  RawTcpClient caller(executor, callers.Port());
  caller.Send("POST /book/1 HTTP/1.1\r\nHost: h.example\r\n"
              "Fireflyrouter-Request-Id: q1\r\n"
              "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
              "0\r\n\r\n" +
              MakeGet("/book/2"));
  Await([&] { return caller.IsClosed(); });
  CHECK_TRUE(caller.HasReceived("HTTP/1.1 400"));
  LONGS_EQUAL(0, first->Requests().size());
}

// Guards against accepting a request long after the stop signal: its connection
// was then lost when the process ended. Found with macaskill-rota, mix
// 64977954403.
TEST(RelayTest, RefusesRequestsOnceClosed)
{
  StartDeskBackend({ MakeAnswer(200, "x", kStamp) });
  relay.Close();
  callers.CloseAfterAnswers();
  RawTcpClient caller(executor, callers.Port());
  caller.Send(MakeGet("/book/7"));
  Await([&] { return caller.IsClosed(); });
  CHECK_TRUE(caller.HasReceived("HTTP/1.1 503"));
  CHECK_TRUE(caller.HasReceived("Connection: close"));
  LONGS_EQUAL(0, first->Requests().size());
}

TEST(RelayTest, CompletesALiveRequestWhileRetiring)
{
  StartDeskBackend({ MakeAnswer(200, "whole", kStamp) });
  RawTcpClient caller(executor, callers.Port());
  caller.Send(MakeGet("/book/7"));
  Await([&] { return first->Requests().size() == 1; });
  relay.Close();
  callers.CloseAfterAnswers();
  callers.CloseIdle();
  Await([&] { return caller.IsClosed(); });
  CHECK_TRUE(caller.HasReceived("whole"));
  CHECK_TRUE(caller.HasReceived("Connection: close"));
}

TEST(RelayTest, AnswersRequestsThatOutlastAStop)
{
  StartDeskBackend({}); // never answers
  RawTcpClient booking(executor, callers.Port());
  booking.Send(MakeGet("/book/7"));
  Await([&] { return first->Requests().size() == 1; });
  relay.Close();
  callers.CloseAfterAnswers();
  relay.EndRequests();
  Await([&] { return booking.IsClosed(); });
  CHECK_TRUE(booking.HasReceived("HTTP/1.1 504"));
  LONGS_EQUAL(0, relay.LiveRequests());
}

TEST(RelayTest, ClosesAnIdleConnectionWithoutSendingAnything)
{
  RawTcpClient idle(executor, callers.Port());
  Await([&] { return callers.Connections() == 1; });
  callers.CloseIdle();
  Await([&] { return idle.IsClosed(); });
  STRCMP_EQUAL("", idle.Received().c_str());
}

TEST(RelayTest, ForwardsOnlyCompleteEventsAndAbortsABrokenStream)
{
  first = StartBackend([](const ScriptedRequest&) -> ScriptedReply {
    return { MakeStream("id: 1\ndata: a\n\nid: 2\nda", false),
             AfterReply::kClose };
  });
  Register("e1", *first, EngineRole::kDecode);
  SetRoutingTable();
  RawTcpClient caller(executor, callers.Port());
  caller.Send(MakePromptRequest("/ask/1"));
  Await([&] { return caller.IsClosed(); });
  CHECK_TRUE(caller.HasReceived("data: a\n\n"));
  CHECK_FALSE(caller.HasReceived("id: 2"));
  CHECK_FALSE(caller.HasReceived(firefly::LastChunk()));
}

TEST(RelayTest, ResumesAStreamAfterItsLastCompleteEvent)
{
  const auto script = [](const ScriptedRequest& aRequest) -> ScriptedReply {
    if (!HasHeader(aRequest, "Last-Event-Id")) {
      return { MakeStream("id: 1\ndata: a\n\nid: 2\nda", false),
               AfterReply::kClose };
    }
    return { MakeStream("id: 2\ndata: b\n\n", true) };
  };
  first = StartBackend(script);
  second = StartBackend(script);
  Register("e1", *first, EngineRole::kDecode);
  Register("e2", *second, EngineRole::kDecode);
  SetRoutingTable();
  RawTcpClient caller(executor, callers.Port());
  caller.Send(MakePromptRequest("/resume/1"));
  Await([&] { return caller.HasReceived(firefly::LastChunk()); });
  CHECK_TRUE(caller.HasReceived("id: 1\ndata: a\n\n"));
  CHECK_TRUE(caller.HasReceived("id: 2\ndata: b\n\n"));
  const auto& again = (first->Requests().size() == 1 &&
                       HasHeader(first->Requests()[0], "Last-Event-Id"))
                        ? first->Requests()[0]
                        : second->Requests().at(0);
  CHECK(FindHeader(again.head.headers, "Last-Event-Id") == "1");
  // The resumed stream counts once for the usage.
  LONGS_EQUAL(1, started);
}

TEST(RelayTest, DecodesFromTheKvCacheOfAnotherEngine)
{
  first = StartBackend([](const ScriptedRequest&) -> ScriptedReply {
    return { MakeAnswer(200,
                        R"({"kvHandle":"ab12","tokens":9000,"version":1})") };
  });
  second = StartBackend([](const ScriptedRequest&) -> ScriptedReply {
    return { MakeStream("id: 1\ndata: a\n\n", true) };
  });
  Register("p1", *first, EngineRole::kPrefill);
  Register("d1", *second, EngineRole::kDecode);
  SetRoutingTable();
  RawTcpClient caller(executor, callers.Port());
  caller.Send(MakePromptRequest("/ask/1"));
  Await([&] { return caller.HasReceived(firefly::LastChunk()); });
  const auto& read = first->Requests().at(0);
  const auto& taken = second->Requests().at(0);
  CHECK(FindHeader(read.head.headers, "Fireflyrouter-Stage") == "prefill");
  CHECK(FindHeader(taken.head.headers, "Fireflyrouter-Kv-Source") ==
        first->Address() + "/ab12");
  CHECK_FALSE(HasHeader(taken, "Fireflyrouter-Stage"));
}

TEST(RelayTest, ReleasesAKvCacheThatNoEngineTakes)
{
  first = StartBackend([](const ScriptedRequest& aRequest) -> ScriptedReply {
    if (aRequest.head.method == "DELETE") {
      return { MakeAnswer(200, "") };
    }
    return { MakeAnswer(200, R"({"kvHandle":"ab12"})") };
  });
  second = StartBackend([this](const ScriptedRequest&) -> ScriptedReply {
    return { MakeAnswer(503, "", "Fireflyrouter-Not-Run: 1\r\n") };
  });
  Register("p1", *first, EngineRole::kPrefill);
  Register("d1", *second, EngineRole::kDecode);
  SetRoutingTable();
  // The engine that would decode from the KV cache is removed during the
  // prefill.
  RawTcpClient caller(executor, callers.Port());
  caller.Send(MakePromptRequest("/ask/1"));
  Await([&] { return relay.LiveRequests() == 1; });
  backendRegistry.Remove(BackendId("d1"));
  Await([&] { return first->Requests().size() == 2; });
  STRCMP_EQUAL("/-/kv-handle/ab12", first->Requests()[1].head.target.c_str());
  Await([&] { return caller.HasReceived("HTTP/1.1 503"); });
}

// The records still say that both are open.
TEST(RelayTest, SendsNothingToAServerWhoseAnswerSaidThatItLeaves)
{
  const auto script = [](const std::string& aHeaders) {
    return [aHeaders](const ScriptedRequest&) -> ScriptedReply {
      return { MakeAnswer(200, "whole", kStamp + aHeaders) };
    };
  };
  first = StartBackend(script("Server-Leaving: 1\r\n"));
  second = StartBackend(script(""));
  Register("b1", *first);
  Register("b2", *second);
  SetRoutingTable();
  for (int i = 0; i < 20; ++i) {
    RawTcpClient caller(executor, callers.Port());
    caller.Send(MakeGet("/look/" + std::to_string(i)));
    Await([&] { return caller.HasReceived("whole"); });
    Register("b1", *first);
  }
  LONGS_EQUAL(1, first->Requests().size());
  LONGS_EQUAL(19, second->Requests().size());
}

TEST(RelayTest, LeavesAServerAloneForTheTimeThatItAskedFor)
{
  int rejected = 0;
  first = StartBackend([&rejected](const ScriptedRequest&) -> ScriptedReply {
    if (rejected++ == 0) {
      return { MakeAnswer(
        503, "", "Fireflyrouter-Not-Run: 1\r\nRetry-After: 1.5\r\n") };
    }
    return { MakeAnswer(200, "whole", kStamp) };
  });
  Register("b1", *first);
  SetRoutingTable();
  const auto ask = [&](const std::string& aTarget) {
    RawTcpClient caller(executor, callers.Port());
    caller.Send(MakeGet(aTarget));
    Await([&] { return caller.HasReceived("HTTP/1.1"); });
    return caller.Received();
  };
  ask("/book/0");
  const auto asked = executor.Now();
  const auto refused = ask("/book/1");
  STRCMP_CONTAINS("HTTP/1.1 503", refused.c_str());
  const auto at = refused.find("Retry-After: ");
  CHECK(at != std::string::npos);
  const double wait = std::stod(refused.substr(at + 13));
  CHECK(wait >= 1.4 && wait <= 2.6);
  LONGS_EQUAL(1, first->Requests().size());
  Await([&] { return executor.Now() - asked > 1600ms; });
  STRCMP_CONTAINS("HTTP/1.1 200", ask("/book/2").c_str());
}

namespace {

// An answer with neither a length nor chunks, which ends with its connection.
std::string
MakeUnframed(const std::string& aType, const std::string& aBody)
{
  return "HTTP/1.1 200 OK\r\n" + kStamp + "Content-Type: " + aType +
         "\r\n\r\n" + aBody;
}

} // namespace

TEST(RelayTest, AnswersWithoutLengthEndWithTheirConnection)
{
  first = StartBackend([](const ScriptedRequest&) -> ScriptedReply {
    return { MakeUnframed("text/plain", "whole"), AfterReply::kClose };
  });
  second = StartBackend([](const ScriptedRequest&) -> ScriptedReply {
    return { MakeUnframed("text/event-stream", "id: 1\ndata: a\n\n"),
             AfterReply::kClose };
  });
  Register("b1", *first);
  Register("e1", *second, EngineRole::kDecode);
  SetRoutingTable();
  RawTcpClient plain(executor, callers.Port());
  plain.Send(MakeGet("/book/1"));
  Await([&] { return plain.HasReceived("whole"); });
  RawTcpClient stream(executor, callers.Port());
  stream.Send(MakePromptRequest("/ask/1"));
  Await([&] { return stream.HasReceived(firefly::LastChunk()); });
  CHECK_TRUE(stream.HasReceived("data: a\n\n"));
}

TEST(RelayTest, AStreamWithoutLengthThatEndsInsideAnEventIsBrokenOff)
{
  first = StartBackend([](const ScriptedRequest&) -> ScriptedReply {
    return { MakeUnframed("text/event-stream", "id: 1\ndata: a\n\nid: 2\nd"),
             AfterReply::kClose };
  });
  Register("e1", *first, EngineRole::kDecode);
  SetRoutingTable();
  RawTcpClient caller(executor, callers.Port());
  caller.Send(MakePromptRequest("/ask/1"));
  Await([&] { return caller.IsClosed(); });
  CHECK_TRUE(caller.HasReceived("data: a\n\n"));
  CHECK_FALSE(caller.HasReceived("id: 2"));
  CHECK_FALSE(caller.HasReceived(firefly::LastChunk()));
}

TEST(RelayTest, APlainAnswerWithoutLengthThatIsResetIsNotWhole)
{
  StartDeskBackend(
    { MakeUnframed("text/plain", "not whole"), AfterReply::kReset });
  RawTcpClient caller(executor, callers.Port());
  caller.Send(MakeGet("/book/1"));
  Await([&] { return caller.HasReceived("HTTP/1.1"); });
  CHECK_TRUE(caller.HasReceived("HTTP/1.1 502"));
  CHECK_FALSE(caller.HasReceived("not whole"));
}

// Usage is reported for requests that ran, whatever their answer. Two counts of
// one request, or one of a request that did not run, would be billed wrongly.
TEST(RelayTest, CountsAnsweredAndFailedRequestsOnce)
{
  StartDeskBackend({ MakeAnswer(500, "broken", kStamp) });
  RawTcpClient caller(executor, callers.Port());
  caller.Send(MakeGet("/look/7")); // repeated after a failure
  Await([&] { return caller.HasReceived("broken"); });
  LONGS_EQUAL(1, started);
}

TEST(RelayTest, DoesNotCountARejectedRequest)
{
  StartDeskBackend({ MakeAnswer(503, "", "Fireflyrouter-Not-Run: 1\r\n") });
  RawTcpClient caller(executor, callers.Port());
  caller.Send(MakeGet("/book/7"));
  Await([&] { return caller.HasReceived("HTTP/1.1 503"); });
  LONGS_EQUAL(0, started);
}

// A failed answer to a stream has no event.
TEST(RelayTest, DoesNotCountAStreamWithoutAnEvent)
{
  first = StartBackend([](const ScriptedRequest&) -> ScriptedReply {
    return { MakeAnswer(500, "broken", kStamp) };
  });
  Register("e1", *first, EngineRole::kDecode);
  SetRoutingTable();
  RawTcpClient caller(executor, callers.Port());
  caller.Send(MakePromptRequest("/ask/1"));
  Await([&] { return caller.HasReceived("HTTP/1.1 500"); });
  LONGS_EQUAL(0, started);
}

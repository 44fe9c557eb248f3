// Plays what operators of similar systems met on a relay between raw callers
// and scripted backend servers.

#include <cstdio>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <unistd.h>

#include "tests/helpers/raw_tcp_client.h"
#include "tests/servers/relay/relay_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::Duration;
using firefly::FindHeader;
using firefly::ToSeconds;
using firefly::policy::EngineRole;
using firefly::testing::AfterReply;
using firefly::testing::kStamp;
using firefly::testing::MakeAnswer;
using firefly::testing::MakeGet;
using firefly::testing::MakePromptRequest;
using firefly::testing::RawTcpClient;
using firefly::testing::ScriptedBackend;
using firefly::testing::ScriptedReply;
using firefly::testing::ScriptedRequest;

namespace {

std::string
MakeRequestOf(const std::string& aId, const std::string& aMethod = "GET")
{
  return aMethod + " /look/7 HTTP/1.1\r\nHost: h.example\r\n" +
         "Fireflyrouter-Request-Id: " + aId +
         "\r\nFireflyrouter-Deadline-Ms: 5000\r\n\r\n";
}

std::string
MakeAnswerTo(const std::string& aId,
             const std::string& aBody,
             int aStatus = 200)
{
  return MakeAnswer(
    aStatus, aBody, kStamp + "Fireflyrouter-Request-Id: " + aId + "\r\n");
}

// Resident memory of this process in MB.
double
ResidentMegabytes()
{
  std::ifstream file("/proc/self/statm");
  long size = 0;
  long resident = 0;
  file >> size >> resident;
  constexpr double kBytesPerMegabyte = 1e6;
  return static_cast<double>(resident) *
         static_cast<double>(sysconf(_SC_PAGESIZE)) / kBytesPerMegabyte;
}

} // namespace

TEST_GROUP_BASE(RelayTroubleTest, firefly::testing::RelayFixture){};

// A backend server sends an answer twice on a connection that stays in use.
// Whatever the form and the time of the second copy, the next caller gets its
// own answer.
TEST(RelayTroubleTest, ASecondCopyOfAnAnswerDoesNotReachTheNextCaller)
{
  struct Case
  {
    std::string method;
    std::string firstReply;
    std::string beforeSecondAnswer;
  };
  const auto answer = MakeAnswerTo("q1", "body of q1");
  const auto half = answer.size() - 4;
  const auto id = "Fireflyrouter-Request-Id: q1\r\n";
  const auto empty = [&](const std::string& aStatus) {
    return "HTTP/1.1 " + aStatus + "\r\n" + kStamp + id + "\r\n";
  };
  const auto head =
    "HTTP/1.1 200 OK\r\n" + kStamp + id + "Content-Length: 10\r\n\r\n";
  const std::vector<Case> cases{
    { "GET", answer + answer, "" },
    { "GET", answer, answer },
    { "GET", answer + answer.substr(0, half), answer.substr(half) },
    { "GET", empty("204 None") + answer, "" },
    { "GET", empty("204 None"), answer },
    { "GET", empty("304 Same") + answer, "" },
    { "HEAD", head + answer, "" },
    { "HEAD", head, answer },
  };
  for (const auto& it : cases) {
    const auto script = [&](const ScriptedRequest& aRequest) -> ScriptedReply {
      const std::string asked(
        firefly::FindHeader(aRequest.head.headers, "Fireflyrouter-Request-Id"));
      if (asked == "q1") {
        return { .bytes = it.firstReply };
      }
      // What is left of the second copy comes on the same connection.
      const bool isSame = first->AcceptedConnections() == 1;
      return { .bytes = (isSame ? it.beforeSecondAnswer : "") +
                        MakeAnswerTo(asked, "body of " + asked) };
    };
    first = StartBackend(script);
    Register("b1", *first);
    SetRoutingTable();
    RawTcpClient caller(executor, callers.Port());
    caller.Send(MakeRequestOf("q1", it.method));
    Await([&] { return caller.HasReceived("\r\n\r\n"); });
    RawTcpClient next(executor, callers.Port());
    next.Send(MakeRequestOf("q2"));
    Await([&] { return next.HasReceived("\r\n\r\n"); });
    Await([&] { return relay.LiveRequests() == 0; });
    CHECK_TRUE(next.HasReceived("body of q2"));
    CHECK_FALSE(next.HasReceived("q1"));
  }
}

// A full backend server rejects a booking, sends the rejection a second time
// where the next response is expected, and runs the repeat. Guards against the
// copy being taken for the response to the repeat: the caller would be told
// that a booking did not run while it runs.
TEST(RelayTroubleTest, ALateCopyOfARejectionIsNoAnswerToTheRepeat)
{
  int runs = 0;
  std::string late;
  std::size_t lateConnection = 0;
  first = StartBackend([&](const ScriptedRequest& aRequest) -> ScriptedReply {
    const auto rejection = MakeAnswer(503,
                                      "",
                                      "Fireflyrouter-Request-Id: q1\r\n"
                                      "Fireflyrouter-Not-Run: 1\r\n");
    if (late.empty()) {
      late = rejection;
      lateConnection = aRequest.connection;
      return { .bytes = rejection };
    }
    runs++;
    return { .bytes =
               (aRequest.connection == lateConnection ? late : std::string()) +
               MakeAnswerTo("q1", "booked") };
  });
  Register("b1", *first);
  SetRoutingTable();
  RawTcpClient caller(executor, callers.Port());
  caller.Send(MakeGet("/rebook/7"));
  Await([&] { return caller.HasReceived("HTTP/1.1 "); });
  Await([&] { return relay.LiveRequests() == 0; });
  CHECK_TRUE(caller.HasReceived("booked"));
  LONGS_EQUAL(1, runs);
}

// A server refuses one request, and later, on the same connection, writes a
// refusal without an id before it runs another one. Guards against a refusal
// that belongs to no request being taken for the answer: the caller would be
// told that a booking did not run while it runs, or it would run twice.
TEST(RelayTroubleTest, ARefusalWithoutAnIdOnAKeptConnectionIsNoAnswer)
{
  for (const int status : { 503, 429, 421, 400 }) {
    std::map<std::string, int> runs;
    std::set<std::size_t> carried;
    first = StartBackend([&](const ScriptedRequest& aRequest) -> ScriptedReply {
      const std::string id(
        FindHeader(aRequest.head.headers, "Fireflyrouter-Request-Id"));
      const auto refusal = "Fireflyrouter-Not-Run: 1\r\n";
      const bool isKept = !carried.insert(aRequest.connection).second;
      if (id == "q1" && aRequest.connection == 1) {
        return {
          .bytes = MakeAnswer(
            503, "", "Fireflyrouter-Request-Id: q1\r\n" + std::string(refusal))
        };
      }
      runs[id]++;
      return { .bytes = (id == "q2" && isKept ? MakeAnswer(status, "", refusal)
                                              : std::string()) +
                        MakeAnswerTo(id, "booked") };
    });
    Register("b" + std::to_string(status), *first);
    SetRoutingTable();
    for (const auto* id : { "q1", "q2" }) {
      RawTcpClient caller(executor, callers.Port());
      caller.Send("GET /rebook/" + std::to_string(status) +
                  " HTTP/1.1\r\nHost: h.example\r\n"
                  "Fireflyrouter-Request-Id: " +
                  id + "\r\nFireflyrouter-Deadline-Ms: 5000\r\n\r\n");
      Await([&] { return caller.HasReceived("HTTP/1.1 "); });
      Await([&] { return relay.LiveRequests() == 0; });
      const auto text = std::string(id) + ": " + caller.Received();
      CHECK_TRUE_TEXT(runs[id] <= 1, text.c_str());
      CHECK_TRUE_TEXT(runs[id] == 0 || caller.HasReceived("HTTP/1.1 200") ||
                        caller.HasReceived("HTTP/1.1 502"),
                      text.c_str());
    }
    LONGS_EQUAL(1, runs["q2"]);
    backendRegistry.RemoveAllExcept({});
  }
}

namespace {

// A backend server that rejects some requests and sends second copies of its
// answers, whole or in part, at once or where the next answer is expected.
class CopyingBackend
{
public:
  explicit CopyingBackend(std::uint32_t aSeed, bool aIsEngine = false)
    : mRandom(aSeed)
    , mIsEngine(aIsEngine)
  {
  }

  ScriptedReply operator()(const ScriptedRequest& aRequest)
  {
    const std::string id(
      FindHeader(aRequest.head.headers, "Fireflyrouter-Request-Id"));
    std::string bytes = std::exchange(mLate[aRequest.connection], {});
    const auto answer =
      mIsEngine ? MakeEngineAnswer(aRequest.head, id) : MakeAnswerFor(id);
    bytes += answer;
    switch (mRandom() % 8) {
      case 0:
        return { .bytes = bytes + answer };
      case 1:
        return { .bytes = bytes + answer.substr(0, answer.size() / 2) };
      case 2:
        return { .bytes = bytes,
                 .trickle = answer,
                 .trickleInterval = std::chrono::milliseconds(mRandom() % 4) };
      case 3:
      case 4:
        mLate[aRequest.connection] = answer;
        return { .bytes = bytes };
      case 5:
        return { .bytes = bytes, .after = AfterReply::kClose };
      default:
        return { .bytes = bytes };
    }
  }

  std::map<std::string, int> runs;

private:
  // The handle of a prompt, or a stream of two events.
  std::string MakeEngineAnswer(const firefly::MessageHead& aHead,
                               const std::string& aId)
  {
    const auto header = "Fireflyrouter-Request-Id: " + aId + "\r\n";
    if (mRandom() % 4 == 0) {
      return MakeAnswer(503, "", header + "Fireflyrouter-Not-Run: 1\r\n");
    }
    if (FindHeader(aHead.headers, "Fireflyrouter-Stage") == "prefill") {
      return MakeAnswer(200,
                        R"({"kvHandle":"h)" + aId +
                          R"(","tokens":9,"version":1})",
                        header);
    }
    runs[aId]++;
    return "HTTP/1.1 200 OK\r\n" + kStamp + header +
           "Content-Type: text/event-stream\r\n"
           "Transfer-Encoding: chunked\r\n\r\n" +
           firefly::ComposeChunk("id: 1\ndata: body of " + aId + "\n\n") +
           firefly::ComposeChunk("id: 2\ndata: end of " + aId + "\n\n") +
           std::string(firefly::LastChunk());
  }

  std::string MakeAnswerFor(const std::string& aId)
  {
    const auto header = "Fireflyrouter-Request-Id: " + aId + "\r\n";
    if (mRandom() % 3 == 0) {
      const bool isAnonymous = mRandom() % 4 == 0;
      return MakeAnswer(isAnonymous ? 421 : 503,
                        "",
                        (isAnonymous ? "" : header) +
                          "Fireflyrouter-Not-Run: 1\r\n");
    }
    runs[aId]++;
    if (mRandom() % 8 == 0) {
      return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 None\r\n" + kStamp +
             header + "\r\n";
    }
    return MakeAnswerTo(aId, "body of " + aId);
  }

  std::minstd_rand mRandom;
  bool mIsEngine;
  std::map<std::size_t, std::string> mLate;
};

} // namespace

// Guards against any order of answers and copies that makes a refusal untrue,
// runs a booking twice, or hands a caller the answer to another request.
TEST(RelayTroubleTest, CopiesOfAnswersNeverMakeARefusalUntrue)
{
  constexpr std::uint32_t kSeeds = 12;
  constexpr int kRequests = 24;
  for (std::uint32_t seed = 1; seed <= kSeeds; seed++) {
    CopyingBackend script(seed);
    first = StartBackend(std::ref(script));
    Register("b1", *first);
    SetRoutingTable();
    std::map<std::string, std::unique_ptr<RawTcpClient>> sent;
    for (int i = 1; i <= kRequests; i++) {
      const auto id = std::to_string(seed) + "-" + std::to_string(i);
      const std::string path = i % 3 == 0 ? "/look/" : "/rebook/";
      auto caller = std::make_unique<RawTcpClient>(executor, callers.Port());
      std::string request = "GET ";
      request.append(path).append(id).append(
        " HTTP/1.1\r\nHost: h.example\r\nFireflyrouter-Request-Id: ");
      request.append(id).append("\r\nFireflyrouter-Deadline-Ms: 120\r\n\r\n");
      caller->Send(request);
      // Most requests follow one another, some run at the same time.
      if (i % 4 != 0) {
        Await([&] {
          return caller->HasReceived("HTTP/1.1 ") || caller->IsClosed();
        });
      }
      sent[id] = std::move(caller);
    }
    Await([&] { return relay.LiveRequests() == 0; });
    for (const auto& [id, caller] : sent) {
      const bool isRefusal = caller->HasReceived("HTTP/1.1 503") ||
                             caller->HasReceived("HTTP/1.1 421");
      const auto context = "request " + id;
      CHECK_TRUE_TEXT(!isRefusal || script.runs[id] == 0, context.c_str());
      CHECK_TRUE_TEXT(!caller->HasReceived("HTTP/1.1 200") ||
                        caller->HasReceived("body of " + id),
                      context.c_str());
      const bool isBooking = std::stoi(id.substr(id.find('-') + 1)) % 3 != 0;
      CHECK_TRUE_TEXT(!isBooking || script.runs[id] <= 1, context.c_str());
    }
  }
}

// The same for engines, which get a request's id twice on purpose: once to
// prefill its prompt and once to run it.
TEST(RelayTroubleTest, CopiesOfEnginesAnswersNeverMakeARefusalUntrue)
{
  constexpr std::uint32_t kSeeds = 12;
  constexpr int kRequests = 16;
  for (std::uint32_t seed = 1; seed <= kSeeds; seed++) {
    CopyingBackend firstScript(seed, true);
    CopyingBackend secondScript(seed + kSeeds, true);
    first = StartBackend(std::ref(firstScript));
    second = StartBackend(std::ref(secondScript));
    const bool isSplit = seed % 2 == 0;
    Register("e1", *first, isSplit ? EngineRole::kPrefill : EngineRole::kMixed);
    Register("e2", *second, isSplit ? EngineRole::kDecode : EngineRole::kMixed);
    SetRoutingTable();
    std::map<std::string, std::unique_ptr<RawTcpClient>> sent;
    for (int i = 1; i <= kRequests; i++) {
      const auto id = std::to_string(seed) + "-" + std::to_string(i);
      std::string request = i % 2 == 0 ? "POST /resume/" : "POST /ask/";
      request.append(id).append(
        " HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n"
        "Fireflyrouter-Model: m\r\nFireflyrouter-Token-Count: 900,80\r\n"
        "Fireflyrouter-Prompt-Prefix: a1:600,b2:300\r\n"
        "Fireflyrouter-Deadline-Ms: 150\r\nFireflyrouter-Request-Id: ");
      request.append(id).append("\r\n\r\n");
      auto caller = std::make_unique<RawTcpClient>(executor, callers.Port());
      caller->Send(request);
      if (i % 4 != 0) {
        Await([&] {
          return caller->HasReceived("HTTP/1.1 ") || caller->IsClosed();
        });
      }
      sent[id] = std::move(caller);
    }
    Await([&] { return relay.LiveRequests() == 0; });
    for (const auto& [id, caller] : sent) {
      const auto context = "request " + id;
      const auto runs = firstScript.runs[id] + secondScript.runs[id];
      const bool isRefusal = caller->HasReceived("HTTP/1.1 503");
      CHECK_TRUE_TEXT(!isRefusal || runs == 0, context.c_str());
      CHECK_TRUE_TEXT(!caller->HasReceived("data: ") ||
                        caller->HasReceived("data: body of " + id + "\n"),
                      context.c_str());
      const bool isOnce = std::stoi(id.substr(id.find('-') + 1)) % 2 != 0;
      CHECK_TRUE_TEXT(!isOnce || runs <= 1, context.c_str());
    }
  }
}

// A planned stop closes idle connections. A request that has just arrived on
// one of them, and was not read yet, is told that it has not run.
TEST(RelayTroubleTest, ARequestInTheSocketIsAnsweredDuringAStop)
{
  StartDeskBackend({ MakeAnswer(200, "x", kStamp) });
  RawTcpClient caller(executor, callers.Port());
  caller.Send(MakeRequestOf("q1"));
  Await([&] { return caller.HasReceived("HTTP/1.1 200"); });
  caller.Send(MakeRequestOf("q2"));
  relay.Close();
  callers.CloseAfterAnswers();
  callers.CloseIdle();
  Await([&] { return caller.IsClosed(); });
  CHECK_TRUE(caller.HasReceived("HTTP/1.1 503"));
  CHECK_TRUE(caller.HasReceived("Retry-After: "));
}

TEST(RelayTroubleTest, HalfAHeadIsAnsweredDuringAStop)
{
  StartDeskBackend({ MakeAnswer(200, "x", kStamp) });
  const auto request = MakeRequestOf("q1");
  RawTcpClient caller(executor, callers.Port());
  caller.Send(request.substr(0, 30));
  Await([&] { return callers.BusyConnections() == 1; });
  relay.Close();
  callers.CloseAfterAnswers();
  callers.CloseIdle();
  caller.Send(request.substr(30));
  Await([&] { return caller.IsClosed(); });
  CHECK_TRUE(caller.HasReceived("HTTP/1.1 503"));
}

// The kernel has accepted the connection, the process has not.
TEST(RelayTroubleTest, AConnectionInTheListenBacklogIsAnsweredDuringAStop)
{
  StartDeskBackend({ MakeAnswer(200, "x", kStamp) });
  RawTcpClient caller(executor, callers.Port());
  caller.Send(MakeRequestOf("q1"));
  relay.Close();
  callers.CloseAfterAnswers();
  callers.CloseIdle();
  Await([&] { return caller.IsClosed(); });
  CHECK_TRUE(caller.HasReceived("HTTP/1.1 503"));
}

// Events that arrive slowly, but within the time that the route allows, are all
// forwarded.
TEST(RelayTroubleTest, ASlowButSoundStreamIsNotCut)
{
  first = StartBackend([](const ScriptedRequest&) -> ScriptedReply {
    return { .bytes = firefly::testing::MakeStream("id: 1\ndata: a\n\n", false),
             .trickle = firefly::ComposeChunk("id: 2\ndata: b\n\n"),
             .trickleInterval = 150ms };
  });
  Register("e1", *first, EngineRole::kDecode);
  SetRoutingTable();
  RawTcpClient caller(executor, callers.Port());
  const auto sent = executor.Now();
  caller.Send(MakePromptRequest("/ask/1"));
  Await([&] { return executor.Now() - sent > 550ms; });
  CHECK_FALSE(caller.IsClosed());
  const auto events =
    first->TrickledBytes() / firefly::ComposeChunk("id: 2\ndata: b\n\n").size();
  CHECK(events >= 3);
  std::size_t forwarded = 0;
  for (std::size_t at = 0;
       (at = caller.Received().find("data: b", at)) != std::string::npos;
       ++at) {
    forwarded++;
  }
  CHECK(forwarded + 1 >= events);
}

// Bytes that are no progress, such as comments, do not keep a stream alive
// beyond the route's timeout of 700 ms, and it must not look whole.
TEST(RelayTroubleTest, AStreamThatSendsOnlyCommentsEndsAtItsTimeout)
{
  first = StartBackend([](const ScriptedRequest&) -> ScriptedReply {
    return { .bytes = firefly::testing::MakeStream("id: 1\ndata: a\n\n", false),
             .trickle = firefly::ComposeChunk(": still here\n\n"),
             .trickleInterval = 10ms };
  });
  Register("e1", *first, EngineRole::kDecode);
  SetRoutingTable();
  RawTcpClient caller(executor, callers.Port());
  const auto sent = executor.Now();
  caller.Send(MakePromptRequest("/ask/1"));
  Await([&] { return caller.IsClosed(); });
  CHECK(executor.Now() - sent < 1200ms);
  CHECK_TRUE(caller.HasReceived("data: a"));
  CHECK_FALSE(caller.HasReceived(firefly::LastChunk()));
  Await([&] { return first->ClosedConnections() == 1; });
}

// Bytes that are no answer may come without end, in a head or a body, until the
// caller closes. The request gets one outcome, the connection is closed, and
// memory stays flat.
TEST(RelayTroubleTest, BytesWithoutEndCostLittleMemoryAndTime)
{
  constexpr double kMaxGrowthMegabytes = 32;
  constexpr std::size_t kPieceBytes = 65536;
  const std::string bytes(kPieceBytes, 'x');
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  const std::string ok = "HTTP/1.1 200 OK\r\n" + kStamp;
  const std::string interim = "HTTP/1.1 102 Wait\r\n\r\n";
  std::string manyInterim;
  while (manyInterim.size() < kPieceBytes) {
    manyInterim += interim;
  }
  struct Case
  {
    const char* where;
    std::string start;
    std::string trickle;
  };
  const std::vector<Case> cases{
    { "status line", "HTTP/1.1 200 ", bytes },
    { "header", ok + "X-Endless: ", bytes },
    { "interim responses", interim, manyInterim },
    { "chunk size", ok + chunked, std::string(kPieceBytes, '0') },
    { "chunk extension", ok + chunked + "5;e=", bytes },
    { "trailer", ok + chunked + "0\r\nX: ", bytes },
    { "rejection",
      "HTTP/1.1 503 Busy\r\nFireflyrouter-Not-Run: 1\r\n"
      "Content-Length: 99999999999\r\n\r\n",
      bytes },
    { "answer to another request",
      ok +
        "Fireflyrouter-Request-Id: q0\r\nContent-Length: 99999999999\r\n\r\n",
      bytes },
    { "body without length", ok + "\r\n", bytes },
    { "no HTTP at all", "", bytes },
  };
  for (const auto& it : cases) {
    first = StartBackend([&](const ScriptedRequest&) -> ScriptedReply {
      return { .bytes = it.start,
               .trickle = it.trickle,
               .trickleInterval = Duration::zero() };
    });
    Register("b1", *first);
    SetRoutingTable();
    RawTcpClient caller(executor, callers.Port());
    const double before = ResidentMegabytes();
    const auto sent = executor.Now();
    caller.Send(MakeGet("/book/7"));
    Await([&] { return relay.LiveRequests() == 1; });
    Await([&] { return relay.LiveRequests() == 0; });
    const auto took = executor.Now() - sent;
    Await([&] { return first->ClosedConnections() == 1; });
    const double received = static_cast<double>(caller.Received().size()) / 1e6;
    const double growth = ResidentMegabytes() - before - 2 * received;
    std::printf("endless %s: %.1f MB sent, %.1f MB more in use, %.2f s\n",
                it.where,
                static_cast<double>(first->TrickledBytes()) / 1e6,
                growth,
                ToSeconds(took));
    CHECK(growth < kMaxGrowthMegabytes);
    // The route's timeout is 700 ms.
    CHECK(took < 1200ms);
  }
}

// A metric has a bounded number of series. What an engine sends must not become
// a label, or each new text takes one of them.
TEST(RelayTroubleTest, AnInvalidPrefillAnswerDoesNotBecomeAMetricLabel)
{
  first = StartBackend([](const ScriptedRequest&) -> ScriptedReply {
    return { .bytes = MakeAnswer(200, "{ bad-text") };
  });
  second = StartBackend([](const ScriptedRequest&) -> ScriptedReply {
    return { .bytes =
               firefly::testing::MakeStream("id: 1\ndata: a\n\n", true) };
  });
  Register("p1", *first, EngineRole::kPrefill);
  Register("d1", *second, EngineRole::kDecode);
  SetRoutingTable();
  RawTcpClient caller(executor, callers.Port());
  caller.Send(MakePromptRequest("/ask/1"));
  Await([&] { return caller.HasReceived("\r\n\r\n"); });
  const auto text = registry.Expose();
  CHECK(text.find("outcome=\"invalid prefill answer\"") != std::string::npos);
  CHECK(text.find("parse") == std::string::npos);
}

// The requests differ in path and id, and sound ones have the same first part.
TEST(RelayTroubleTest, APromptPartThatCrashesEnginesStopsReachingThem)
{
  constexpr int kRounds = 20;
  constexpr int kMaxCrashes = 8; // five to notice it, three more
  int crashes = 0;
  const auto script =
    [&crashes](const ScriptedRequest& aRequest) -> ScriptedReply {
    const auto parts =
      FindHeader(aRequest.head.headers, "Fireflyrouter-Prompt-Prefix");
    if (parts.find("bad:") != std::string_view::npos) {
      crashes++;
      return { "", AfterReply::kReset };
    }
    return { firefly::testing::MakeStream("id: 1\ndata: a\n\n", true) };
  };
  std::vector<std::unique_ptr<ScriptedBackend>> engines;
  for (int i = 0; i < 6; ++i) {
    engines.push_back(StartBackend(script));
    Register("e" + std::to_string(i), *engines.back(), EngineRole::kDecode);
  }
  SetRoutingTable();
  const auto ask = [&](int aRound, const std::string& aParts) {
    const auto n = std::to_string(aRound);
    return firefly::testing::MakeGet("/ask/" + n,
                                     "Fireflyrouter-Model: m\r\n"
                                     "Fireflyrouter-Token-Count: 900,80\r\n"
                                     "Fireflyrouter-Prompt-Prefix: a1:600," +
                                       aParts + "c" + n + ":100\r\n");
  };
  for (int i = 0; i < kRounds; ++i) {
    RawTcpClient deadly(executor, callers.Port());
    deadly.Send(ask(i, "bad:200,"));
    Await([&] { return deadly.HasReceived("HTTP/1.1 50"); });
    RawTcpClient sound(executor, callers.Port());
    sound.Send(ask(kRounds + i, ""));
    Await([&] { return sound.HasReceived(firefly::LastChunk()); });
  }
  CHECK(crashes <= kMaxCrashes);
}

// Requests to plain services name parts too, without a model or token counts.
TEST(RelayTroubleTest, APartThatCrashesPlainServersStopsReachingThem)
{
  constexpr int kRounds = 20;
  constexpr int kMaxCrashes = 8; // five to notice it, three more
  int crashes = 0;
  const auto script =
    [&crashes](const ScriptedRequest& aRequest) -> ScriptedReply {
    const auto parts =
      FindHeader(aRequest.head.headers, "Fireflyrouter-Prompt-Prefix");
    if (parts.find("bad:") != std::string_view::npos) {
      crashes++;
      return { "", AfterReply::kReset };
    }
    return { MakeAnswer(200, "whole", kStamp) };
  };
  first = StartBackend(script);
  second = StartBackend(script);
  Register("b1", *first);
  Register("b2", *second);
  SetRoutingTable();
  for (int i = 0; i < kRounds; ++i) {
    const auto n = std::to_string(i);
    const auto header = "Fireflyrouter-Prompt-Prefix: a1:600,";
    RawTcpClient deadly(executor, callers.Port());
    deadly.Send(MakeGet("/book/" + n, header + ("bad:200,c" + n + ":1\r\n")));
    Await([&] { return deadly.HasReceived("HTTP/1.1 50"); });
    RawTcpClient sound(executor, callers.Port());
    sound.Send(MakeGet("/book/s" + n, header + ("d" + n + ":1\r\n")));
    Await([&] { return sound.HasReceived("whole"); });
  }
  CHECK(crashes <= kMaxCrashes);
}

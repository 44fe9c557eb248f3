// Streams that break off, and what the next backend server answers instead of
// the rest. The caller gets events of its stream only, each once and in order,
// and an answer that ends as if it were whole only if it is.

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tests/helpers/raw_tcp_client.h"
#include "tests/servers/relay/relay_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::LastChunk;
using firefly::policy::EngineRole;
using firefly::testing::AfterReply;
using firefly::testing::kStamp;
using firefly::testing::MakeAnswer;
using firefly::testing::MakeGet;
using firefly::testing::MakePromptRequest;
using firefly::testing::MakeStream;
using firefly::testing::RawTcpClient;
using firefly::testing::RelayFixture;
using firefly::testing::ScriptedReply;
using firefly::testing::ScriptedRequest;

namespace {

constexpr int kEvents = 6;

std::string
MakeEvent(int aNumber)
{
  const auto number = std::to_string(aNumber);
  return "id: " + number + "\ndata: text " + number + "\n\n";
}

std::string
MakeEvents(int aFirst, int aLast)
{
  std::string events;
  for (int i = aFirst; i <= aLast; ++i) {
    events += MakeEvent(i);
  }
  return events;
}

// The payload of a chunked body as far as it was received.
std::string
TakeChunks(std::string_view aBytes)
{
  std::string payload;
  while (true) {
    const auto end = aBytes.find("\r\n");
    if (end == std::string_view::npos) {
      return payload;
    }
    const auto size =
      std::stoul(std::string(aBytes.substr(0, end)), nullptr, 16);
    aBytes.remove_prefix(end + 2);
    if (size == 0 || aBytes.size() < size) {
      return payload;
    }
    payload += aBytes.substr(0, size);
    aBytes.remove_prefix(std::min(aBytes.size(), size + 2));
  }
}

struct Case
{
  const char* name;
  // What the next server answers.
  ScriptedReply reply;
};

// Answers to a request to resume after event 3. None of them is the rest of
// the stream.
std::vector<Case>
MakeCases()
{
  const std::string head = "HTTP/1.1 200 OK\r\n" + kStamp +
                           "Content-Type: text/event-stream\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n";
  const std::string error = R"({"error":"out of memory"})";
  const auto json = kStamp + "Content-Type: application/json\r\n";
  return {
    { "500", { MakeAnswer(500, error, json) } },
    { "400", { MakeAnswer(400, error, json) } },
    { "503 not run",
      { MakeAnswer(503, error, json + "Fireflyrouter-Not-Run: 1\r\n") } },
    { "204", { "HTTP/1.1 204 X\r\n" + kStamp + "\r\n" } },
    { "200 with JSON", { MakeAnswer(200, error, json) } },
    { "200 with an error's text", { MakeAnswer(200, error + "\n\n", json) } },
    { "an error as an event", { MakeStream("data: " + error + "\n\n", true) } },
    { "an error as an event with an old id",
      { MakeStream("id: 0\ndata: " + error + "\n\n", true) } },
    { "cut within the head",
      { head.substr(0, head.size() - 20), AfterReply::kClose } },
    { "no HTTP", { "out of memory\r\n\r\n", AfterReply::kClose } },
    { "a head inside the body",
      { MakeStream(MakeAnswer(500, error, json) + "\n\n", true) } },
    { "an empty stream", { MakeStream("", true) } },
    { "comments only", { MakeStream(": wait\n\n", true) } },
    { "the whole stream again", { MakeStream(MakeEvents(1, kEvents), true) } },
    { "the last event again", { MakeStream(MakeEvents(3, kEvents), true) } },
    { "an event missing", { MakeStream(MakeEvents(5, kEvents), true) } },
    { "events without ids", { MakeStream("data: text 4\n\n", true) } },
    { "a part of an event",
      { MakeStream("id: 4\nda", false), AfterReply::kClose } },
  };
}

} // namespace

TEST_GROUP(BrokenStreamsTest)
{
  // Sends the request to a new relay with two servers. The server that gets it
  // first sends that reply and closes; all further attempts get the other one.
  std::string Play(const std::string& aRequest,
                   bool aIsEngine,
                   const std::string& aFirstReply,
                   const ScriptedReply& aNextReply)
  {
    attempts = 0;
    const auto script = [&](const ScriptedRequest&) -> ScriptedReply {
      return ++attempts == 1 ? ScriptedReply{ aFirstReply, AfterReply::kClose }
                             : aNextReply;
    };
    RelayFixture fixture;
    fixture.setup();
    fixture.first = fixture.StartBackend(script);
    fixture.second = fixture.StartBackend(script);
    const auto role =
      aIsEngine ? std::optional(EngineRole::kMixed) : std::nullopt;
    fixture.Register("s1", *fixture.first, role);
    fixture.Register("s2", *fixture.second, role);
    fixture.SetRoutingTable();
    fixture.KnowVersions();
    RawTcpClient caller(fixture.executor, fixture.callers.Port());
    caller.Send(aRequest);
    fixture.Await([&] {
      return caller.IsClosed() || caller.HasReceived(LastChunk()) ||
             caller.HasReceived("HTTP/1.1 5");
    });
    fixture.Await([&] { return fixture.relay.LiveRequests() == 0; });
    return caller.Received();
  }

  int attempts = 0;
};

// Guards against an error's text, another head or repeated events in a stream
// that has begun, and against a stream that ends as whole and is not.
TEST(BrokenStreamsTest, OnlyTheRestOfTheStreamIsJoinedToIt)
{
  for (const bool isEngine : { false, true }) {
    const auto request =
      isEngine ? MakePromptRequest("/resume/1") : MakeGet("/events/1");
    for (const auto& it : MakeCases()) {
      const auto received =
        Play(request,
             isEngine,
             MakeStream(MakeEvents(1, 3) + "id: 4\nda", false),
             it.reply);
      const auto body = received.find("\r\n\r\n");
      CHECK_TRUE_TEXT(body != std::string::npos, it.name);
      STRCMP_EQUAL_TEXT(MakeEvents(1, 3).c_str(),
                        TakeChunks(received.substr(body + 4)).c_str(),
                        it.name);
      CHECK_TRUE_TEXT(received.find(LastChunk()) == std::string::npos, it.name);
      CHECK_TRUE_TEXT(attempts == 2, it.name);
    }
  }
}

TEST(BrokenStreamsTest, TheRestOfTheStreamIsJoinedToIt)
{
  for (const bool isEngine : { false, true }) {
    const auto request =
      isEngine ? MakePromptRequest("/resume/1") : MakeGet("/events/1");
    const auto received =
      Play(request,
           isEngine,
           MakeStream(MakeEvents(1, 3) + "id: 4\nda", false),
           { MakeStream(": wait\n\n" + MakeEvents(4, kEvents), true) });
    const auto body = received.find("\r\n\r\n");
    STRCMP_EQUAL(MakeEvents(1, kEvents).c_str(),
                 TakeChunks(received.substr(body + 4)).c_str());
    CHECK_TRUE(received.find(LastChunk()) != std::string::npos);
  }
}

// Guards against a second attempt that sends all events again, because the
// first ones have no ids after which it could resume.
TEST(BrokenStreamsTest, AStreamWithoutIdsIsNotResumed)
{
  const std::string events = "data: text 1\n\ndata: text 2\n\n";
  const auto received = Play(MakePromptRequest("/resume/1"),
                             true,
                             MakeStream(events, false),
                             { MakeStream(events, true) });
  const auto body = received.find("\r\n\r\n");
  STRCMP_EQUAL(events.c_str(), TakeChunks(received.substr(body + 4)).c_str());
  CHECK_TRUE(received.find(LastChunk()) == std::string::npos);
  LONGS_EQUAL(1, attempts);
}

// Guards against events that a caller has already, if it resumes a stream at a
// server that begins at the first event.
TEST(BrokenStreamsTest, ACallerThatResumesGetsNoEarlierEvents)
{
  const auto request = MakePromptRequest("/resume/1")
                         .insert(MakePromptRequest("/resume/1").size() - 2,
                                 "Last-Event-Id: 3\r\n");
  const auto again = MakeStream(MakeEvents(1, kEvents), true);
  const auto rest = MakeStream(MakeEvents(4, kEvents), true);
  const auto failed = Play(request, true, again, { again });
  CHECK_TRUE(failed.starts_with("HTTP/1.1 502"));
  const auto resumed = Play(request, true, again, { rest });
  CHECK_TRUE(resumed.starts_with("HTTP/1.1 200"));
  const auto body = resumed.find("\r\n\r\n");
  STRCMP_EQUAL(MakeEvents(4, kEvents).c_str(),
               TakeChunks(resumed.substr(body + 4)).c_str());
}

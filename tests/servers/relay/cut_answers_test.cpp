// Backend servers that close or reset a connection within their answer. The
// caller gets an answer that looks whole only if it is, and nothing that must
// not be repeated runs twice.

#include <string>
#include <vector>

#include "tests/helpers/raw_tcp_client.h"
#include "tests/servers/relay/relay_fixture.h"

#include <CppUTest/TestHarness.h>

using firefly::LastChunk;
using firefly::policy::EngineRole;
using firefly::testing::AfterReply;
using firefly::testing::kStamp;
using firefly::testing::MakeGet;
using firefly::testing::MakePromptRequest;
using firefly::testing::RawTcpClient;
using firefly::testing::RelayFixture;
using firefly::testing::ScriptedReply;
using firefly::testing::ScriptedRequest;

namespace {

const std::string kEvents = "id: 1\ndata: text 1\n\nid: 2\ndata: text 2\n\n";

struct Answer
{
  const char* name;
  std::string head;
  std::string body;
  // The end of the connection is the end of the body.
  bool endsWithConnection = false;
};

std::vector<Answer>
MakeAnswers(const std::string& aBody)
{
  const auto head = "HTTP/1.1 200 OK\r\n" + kStamp +
                    "Fireflyrouter-Request-Id: q1\r\n"
                    "Content-Type: text/event-stream\r\n";
  return {
    { "with a length",
      head + "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n",
      aBody },
    { "in chunks",
      head + "Transfer-Encoding: chunked\r\n\r\n",
      firefly::ComposeChunk(aBody) + std::string(LastChunk()) },
    { "until the connection ends", head + "\r\n", aBody, true },
  };
}

// Whether a caller takes what it received for a whole answer with status 200.
bool
LooksWhole(const RawTcpClient& aCaller)
{
  const bool isChunked = aCaller.HasReceived("Transfer-Encoding: chunked");
  return aCaller.Received().starts_with("HTTP/1.1 200") &&
         (!isChunked || aCaller.HasReceived(LastChunk()));
}

} // namespace

TEST_GROUP(CutAnswersTest)
{
  // Sends the request to a new relay with one server and returns how often it
  // was run.
  int Play(
    const std::string& aRequest, bool aIsEngine, const ScriptedReply& aReply)
  {
    int runs = 0;
    RelayFixture fixture;
    fixture.setup();
    fixture.first =
      fixture.StartBackend([&](const ScriptedRequest&) -> ScriptedReply {
        runs++;
        return aReply;
      });
    fixture.Register("s1",
                     *fixture.first,
                     aIsEngine ? std::optional(EngineRole::kMixed)
                               : std::nullopt);
    fixture.SetRoutingTable();
    RawTcpClient caller(fixture.executor, fixture.callers.Port());
    caller.Send(aRequest);
    fixture.Await([&] {
      return fixture.relay.LiveRequests() == 0 &&
             (caller.IsClosed() || caller.HasReceived("\r\n\r\n"));
    });
    looksWhole = LooksWhole(caller);
    received = caller.Received();
    return runs;
  }

  void CheckCuts(const std::string& aRequest,
                 bool aIsEngine,
                 int aMaxRuns,
                 std::size_t aStep)
  {
    for (const auto& answer : MakeAnswers(kEvents)) {
      const auto bytes = answer.head + answer.body;
      for (const auto after : { AfterReply::kClose, AfterReply::kReset }) {
        const bool mayEnd =
          answer.endsWithConnection && after == AfterReply::kClose;
        const auto end = mayEnd ? answer.head.size() : bytes.size();
        for (std::size_t n = 0; n < end; n += aStep) {
          const ScriptedReply reply{ .bytes = bytes.substr(0, n),
                                     .after = after };
          const auto runs = Play(aRequest, aIsEngine, reply);
          const auto text = std::string(answer.name) + ", after " +
                            std::to_string(n) + ": " + received;
          CHECK_TRUE_TEXT(runs <= aMaxRuns, text.c_str());
          CHECK_FALSE_TEXT(looksWhole, text.c_str());
        }
      }
    }
  }

  bool looksWhole = false;
  std::string received;
};

// Guards against a 200 with an empty or short body that is framed as whole.
TEST(CutAnswersTest, APlainAnswerThatIsCutAnywhereIsNoAnswer)
{
  CheckCuts(MakeGet("/look/1"), false, 2, 1);
}

// Guards against a booking that is sent again after its answer was cut.
TEST(CutAnswersTest, ABookingWhoseAnswerIsCutRunsOnce)
{
  CheckCuts(MakeGet("/rebook/1"), false, 1, 3);
}

// Guards against a stream that ends as whole although its answer was cut.
TEST(CutAnswersTest, AStreamThatIsCutAnywhereIsNotWhole)
{
  CheckCuts(MakePromptRequest("/ask/1"), true, 1, 1);
  CheckCuts(MakePromptRequest("/resume/1"), true, 2, 3);
}

// Backend servers whose responses are faulty, byte for byte, before a real
// firefly-entry. Whatever they send, a refusal that says "not run" is true and
// each caller gets its own answer.

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "tests/helpers/raw_tcp_client.h"
#include "tests/helpers/scripted_backend.h"
#include "tests/process/deployment.h"

#include <CppUTest/TestHarness.h>

using firefly::FindHeader;
using firefly::testing::AfterReply;
using firefly::testing::BlockingHttp;
using firefly::testing::CompletionBody;
using firefly::testing::Deployment;
using firefly::testing::RawTcpClient;
using firefly::testing::ScriptedBackend;
using firefly::testing::ScriptedReply;
using firefly::testing::ScriptedRequest;

namespace {

constexpr int kTokens = 3;

std::string
MakeAnswer(int aStatus, const std::string& aBody, const std::string& aType)
{
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " X\r\nContent-Type: " + aType +
         "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

std::string
MakeRejection()
{
  return MakeAnswer(503, "{}", "application/json");
}

// The id that the entry gave an attempt at an engine.
std::string
AttemptIdOf(const ScriptedRequest& aRequest)
{
  return nlohmann::json::parse(aRequest.body)
    .at("request_id")
    .get<std::string>();
}

std::string
MakeToken(const std::string& aAttemptId, int aOffset)
{
  const nlohmann::json chunk{ { "id", aAttemptId },
                              { "created", 1 },
                              { "choices",
                                { { { "text", "t" + std::to_string(aOffset) },
                                    { "finish_reason", nullptr } } } },
                              { "firefly", { { "offset", aOffset } } } };
  return "data: " + chunk.dump() + "\n\n";
}

// The end of a stream of that many tokens.
std::string
MakeStreamEnd(const std::string& aAttemptId, int aTokens)
{
  const nlohmann::json chunk{
    { "id", aAttemptId },
    { "created", 1 },
    { "choices", { { { "text", "" }, { "finish_reason", "stop" } } } },
    { "firefly", { { "offset", aTokens } } }
  };
  return "data: " + chunk.dump() + "\n\ndata: [DONE]\n\n";
}

std::string
MakeStream(const std::string& aAttemptId)
{
  std::string events;
  for (int i = 0; i < kTokens; ++i) {
    events += MakeToken(aAttemptId, i);
  }
  return MakeAnswer(
    200, events + MakeStreamEnd(aAttemptId, kTokens), "text/event-stream");
}

// Answers what an entry asks of an engine beside the requests of callers.
ScriptedReply
AnswerControlCall(const ScriptedRequest& aRequest)
{
  const std::string body = aRequest.head.target == "/load"
                             ? R"({"requests":0,"prefill_tokens":0})"
                             : "{}";
  return { .bytes = MakeAnswer(200, body, "application/json") };
}

} // namespace

TEST_GROUP(FaultyBackendsEntryProcess)
{
  BlockingHttp http;
  // Servers with the same script.
  std::vector<std::unique_ptr<ScriptedBackend>> backends;
  std::unique_ptr<Deployment> deployment;

  void StartEntry(bool aIsEngine,
                  const ScriptedBackend::Script& aScript,
                  std::size_t aServers = 1)
  {
    deployment.reset();
    backends.clear();
    std::vector<std::uint16_t> ports;
    for (std::size_t i = 0; i < aServers; ++i) {
      backends.push_back(
        std::make_unique<ScriptedBackend>(http.Executor(), aScript));
      ports.push_back(backends.back()->Port());
    }
    // Each service of the settings needs a backend server.
    Deployment::Options options{ .hosts = 1,
                                 .engines = aIsEngine ? 0 : 1,
                                 .services = aIsEngine ? 1 : 0 };
    (aIsEngine ? options.enginePorts : options.servicePorts) = ports;
    deployment = std::make_unique<Deployment>(options);
    CHECK_TRUE(deployment->IsReady());
  }
};

// A server sends each answer a second time where the next one on the connection
// is expected. Guards against a caller who gets the answer to another request.
TEST(FaultyBackendsEntryProcess, ALateCopyOfAnAnswerReachesNoOtherCaller)
{
  std::map<std::size_t, std::string> late;
  StartEntry(false, [&](const ScriptedRequest& aRequest) -> ScriptedReply {
    const std::string id(FindHeader(aRequest.head.headers, "X-Request-Id"));
    const auto answer = MakeAnswer(200, "item of " + id, "text/plain");
    return { .bytes =
               std::exchange(late[aRequest.connection], answer) + answer };
  });
  for (int i = 1; i <= 4; ++i) {
    const auto id = "q" + std::to_string(i);
    const auto answer =
      http.SendRequest("POST",
                       deployment->EntryUrl(0) + "/services/desk/lookup",
                       "",
                       { { "X-Request-Id", id } });
    LONGS_EQUAL(200, answer.status);
    STRCMP_EQUAL(("item of " + id).c_str(), answer.body.c_str());
  }
}

// A full engine sends its rejection a second time where the response to the
// next prompt is expected, runs that prompt, and rejects its repeats. Guards
// against a caller who is told "not run" for a prompt that runs.
TEST(FaultyBackendsEntryProcess, ALateCopyOfARejectionMakesNoRefusalUntrue)
{
  // The connections that have carried a rejection.
  std::set<std::size_t> rejectedOn;
  int runs = 0;
  bool isFull = true;
  StartEntry(true, [&](const ScriptedRequest& aRequest) -> ScriptedReply {
    if (aRequest.head.method != "POST") {
      return AnswerControlCall(aRequest);
    }
    if (std::exchange(isFull, true)) {
      rejectedOn.insert(aRequest.connection);
      return { .bytes = MakeRejection() };
    }
    runs++;
    return { .bytes =
               (rejectedOn.contains(aRequest.connection) ? MakeRejection()
                                                         : std::string()) +
               MakeStream(AttemptIdOf(aRequest)) };
  });
  const auto url = deployment->EntryUrl(0) + "/v1/completions";
  const auto send = [&](const std::string& aPrompt) {
    return http.SendRequest(
      "POST", url, CompletionBody(aPrompt, kTokens, false));
  };
  const auto rejected = send("the first prompt");
  LONGS_EQUAL(503, rejected.status);
  STRCMP_CONTAINS("not-run", rejected.body.c_str());
  LONGS_EQUAL(0, runs);
  isFull = false;
  const auto answer = send("the second prompt");
  LONGS_EQUAL(1, runs);
  CHECK_TRUE_TEXT(answer.body.find("not-run") == std::string::npos,
                  answer.body.c_str());
  LONGS_EQUAL(200, answer.status);
}

// A server closes its connection within the head of its response. Guards
// against a 200 with an empty body that the caller takes for the answer.
TEST(FaultyBackendsEntryProcess, AHeadThatIsCutIsNoAnswer)
{
  const auto whole = MakeAnswer(200, "item", "text/plain");
  std::size_t sent = 0;
  StartEntry(false, [&](const ScriptedRequest&) -> ScriptedReply {
    return { .bytes = whole.substr(0, sent), .after = AfterReply::kClose };
  });
  for (; sent < whole.size(); ++sent) {
    const auto answer = http.SendRequest(
      "POST", deployment->EntryUrl(0) + "/services/desk/lookup");
    const auto text = "after " + whole.substr(0, sent);
    CHECK_TRUE_TEXT(answer.status >= 500, text.c_str());
  }
  CHECK(
    http.SendRequest("POST", deployment->EntryUrl(0) + "/services/desk/lookup")
      .body == "item");
}

// An engine breaks a stream off, and the next attempt gets something else than
// the rest. Guards against foreign text in an answer, and against a part of an
// answer that ends as if it were whole.
TEST(FaultyBackendsEntryProcess, OnlyTheRestOfAStreamIsJoinedToIt)
{
  using MakeReply = std::function<ScriptedReply(const std::string&)>;
  const std::string error = R"({"error":"out of memory"})";
  const std::string type = "text/event-stream";
  const auto events = [&](const std::string& aEvents) -> ScriptedReply {
    return { .bytes = MakeAnswer(200, aEvents, type) };
  };
  const std::vector<std::pair<const char*, MakeReply>> cases{
    { "500",
      [&](const auto&) -> ScriptedReply {
        return { .bytes = MakeAnswer(500, error, "application/json") };
      } },
    { "404",
      [&](const auto&) -> ScriptedReply {
        return { .bytes = MakeAnswer(404, error, "application/json") };
      } },
    { "200 with JSON",
      [&](const auto&) -> ScriptedReply {
        return { .bytes = MakeAnswer(200, error, "application/json") };
      } },
    { "cut within the head",
      [&](const auto&) -> ScriptedReply {
        return { .bytes = "HTTP/1.1 200 OK\r\nContent-Ty",
                 .after = AfterReply::kClose };
      } },
    { "no HTTP",
      [&](const auto&) -> ScriptedReply {
        return { .bytes = "out of memory\r\n\r\n",
                 .after = AfterReply::kClose };
      } },
    { "an error as an event",
      [&](const auto&) { return events("data: " + error + "\n\n"); } },
    { "an empty stream", [&](const auto&) { return events(""); } },
    { "the end mark only",
      [&](const auto&) { return events("data: [DONE]\n\n"); } },
    { "a token missing",
      [&](const auto& aId) {
        return events(MakeToken(aId, 2) + MakeStreamEnd(aId, kTokens));
      } },
    { "another stream",
      [&](const auto&) {
        return events(MakeToken("other", 1) + MakeToken("other", 2) +
                      MakeStreamEnd("other", kTokens));
      } },
  };
  std::size_t current = 0;
  int attempts = 0;
  const auto script = [&](const ScriptedRequest& aRequest) -> ScriptedReply {
    if (aRequest.head.method != "POST") {
      return AnswerControlCall(aRequest);
    }
    const auto id = AttemptIdOf(aRequest);
    if (++attempts == 1) {
      return { .bytes = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                        "Content-Length: 9999\r\n\r\n" +
                        MakeToken(id, 0),
               .after = AfterReply::kClose };
    }
    return cases[current].second(id);
  };
  for (; current < cases.size(); ++current) {
    const auto* name = cases[current].first;
    attempts = 0;
    StartEntry(true, script, 2);
    const auto url = deployment->EntryUrl(0);
    const auto port = std::stoi(url.substr(url.rfind(':') + 1));
    const auto body =
      CompletionBody("prompt " + std::to_string(current), kTokens, true);
    RawTcpClient caller(http.Executor(), static_cast<std::uint16_t>(port));
    caller.Send("POST /v1/completions HTTP/1.1\r\nHost: h\r\n"
                "Content-Type: application/json\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body);
    CHECK_TRUE_TEXT(http.RunUntil([&] {
      return caller.IsClosed() || caller.HasReceived("[DONE]");
    }),
                    name);
    CHECK_TRUE_TEXT(attempts > 1, name);
    CHECK_TRUE_TEXT(caller.HasReceived("\"text\":\"t0\""), name);
    CHECK_TRUE_TEXT(caller.HasReceived("event: error"), name);
    for (const auto* it : { "[DONE]", "out of memory", "t1", "t2" }) {
      CHECK_FALSE_TEXT(caller.HasReceived(it), name);
    }
  }
}

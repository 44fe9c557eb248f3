// Backend servers whose responses are faulty, byte for byte, before a real
// firefly-entry. Whatever they send, a refusal that says "not run" is true and
// each caller gets its own answer.

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

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
  std::unique_ptr<ScriptedBackend> backend;
  std::unique_ptr<Deployment> deployment;

  void StartEntry(bool aIsEngine, const ScriptedBackend::Script& aScript)
  {
    backend = std::make_unique<ScriptedBackend>(http.Executor(), aScript);
    // Each service of the settings needs a backend server.
    Deployment::Options options{ .hosts = 1,
                                 .engines = aIsEngine ? 0 : 1,
                                 .services = aIsEngine ? 1 : 0 };
    (aIsEngine ? options.enginePorts
               : options.servicePorts) = { backend->Port() };
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

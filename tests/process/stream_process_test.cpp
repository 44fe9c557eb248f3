// Streams through an entry while engines fail. Each completed answer must
// equal, byte by byte, the answer of an engine without faults.

#include "tests/process/deployment.h"
#include "tests/stand_ins/engine/token_text.h"

#include <CppUTest/TestHarness.h>

using firefly::testing::CompletionBody;
using firefly::testing::Deployment;
using firefly::testing::StreamedAnswer;
using firefly::testing::StreamingCaller;
using firefly::testing::TextOf;
using firefly::testing::WaitFor;

namespace {

constexpr int kTokens = 120;
constexpr std::size_t kTokensBeforeFault = 10;
const std::string kPrompt = "the bylaws of the second yard";

void
CheckWhole(const StreamedAnswer& aAnswer, const std::string& aPrompt)
{
  LONGS_EQUAL(200, aAnswer.status);
  CHECK_TRUE(aAnswer.done);
  CHECK_FALSE(aAnswer.error);
  STRCMP_EQUAL(TextOf(aPrompt, 0, kTokens).c_str(), aAnswer.text.c_str());
}

// Sets the same faults on all engines.
void
SetFaults(Deployment& aDeployment, int aEngines, const std::string& aBody)
{
  for (int i = 0; i < aEngines; ++i) {
    LONGS_EQUAL(
      200,
      aDeployment.Http()
        .SendRequest("POST", aDeployment.EngineUrl(i) + "/control", aBody)
        .status);
  }
}

// Returns the index of the engine that runs one request, or -1.
int
BusyEngine(Deployment& aDeployment, int aEngines)
{
  for (int i = 0; i < aEngines; ++i) {
    const auto state = aDeployment.Http().SendRequest(
      "GET", aDeployment.EngineUrl(i) + "/state");
    if (state.body.find("\"running\":1") != std::string::npos) {
      return i;
    }
  }
  return -1;
}

} // namespace

TEST_GROUP(StreamProcess)
{
  Deployment deployment{ { .hosts = 1, .engines = 2 } };

  void setup() override
  {
    CHECK_TRUE(deployment.IsReady());
  }
};

TEST(StreamProcess, StreamedAndUnstreamedAnswersAreComplete)
{
  StreamingCaller caller(deployment.EntryUrl(0), kPrompt, kTokens);
  CheckWhole(caller.Wait(), kPrompt);
  const auto whole =
    deployment.Http().SendRequest("POST",
                                  deployment.EntryUrl(0) + "/v1/completions",
                                  CompletionBody(kPrompt, kTokens, false));
  LONGS_EQUAL(200, whole.status);
  STRCMP_CONTAINS(TextOf(kPrompt, 0, kTokens).c_str(), whole.body.c_str());
}

TEST(StreamProcess, StreamOfAKilledEngineResumesOnAnother)
{
  StreamingCaller caller(deployment.EntryUrl(0), kPrompt, kTokens);
  CHECK_TRUE(caller.WaitForTokens(kTokensBeforeFault));
  const int busy = BusyEngine(deployment, 2);
  CHECK_TRUE(busy >= 0);
  deployment.Engine(busy).Kill();
  CheckWhole(caller.Wait(), kPrompt);
  CHECK_TRUE(deployment.Metric(0, "firefly_resumes_total") >= 1);
  LONGS_EQUAL(0, deployment.Metric(0, "firefly_wrong_transitions_total"));
}

TEST(StreamProcess, StreamOfAFrozenEngineResumesOnAnother)
{
  StreamingCaller caller(deployment.EntryUrl(0), kPrompt, kTokens);
  CHECK_TRUE(caller.WaitForTokens(kTokensBeforeFault));
  const int busy = BusyEngine(deployment, 2);
  CHECK_TRUE(busy >= 0);
  deployment.Engine(busy).Freeze();
  CheckWhole(caller.Wait(), kPrompt);
  LONGS_EQUAL(0, deployment.Metric(0, "firefly_wrong_transitions_total"));
}

TEST(StreamProcess, DuplicateAndForeignPiecesAreDropped)
{
  SetFaults(deployment, 2, R"({"duplicate_at": 5, "cross_at": 9})");
  StreamingCaller caller(deployment.EntryUrl(0), kPrompt, kTokens);
  CheckWhole(caller.Wait(), kPrompt);
  LONGS_EQUAL(2, deployment.Metric(0, "firefly_dropped_pieces_total"));
}

TEST(StreamProcess, TruncatedStreamIsResumed)
{
  LONGS_EQUAL(200,
              deployment.Http()
                .SendRequest("POST",
                             deployment.EngineUrl(0) + "/control",
                             R"({"truncate_after": 7})")
                .status);
  // Several requests, so that some reach the faulty engine.
  for (int i = 0; i < 4; ++i) {
    const auto prompt = kPrompt + std::to_string(i);
    StreamingCaller caller(deployment.EntryUrl(0), prompt, kTokens);
    CheckWhole(caller.Wait(), prompt);
  }
}

TEST(StreamProcess, StreamTruncatedByAllEnginesEndsWithAnError)
{
  SetFaults(deployment, 2, R"({"truncate_after": 7})");
  StreamingCaller caller(deployment.EntryUrl(0), kPrompt, kTokens);
  const auto& answer = caller.Wait();
  CHECK_FALSE(answer.done);
  CHECK_TRUE(answer.error);
  STRCMP_EQUAL(TextOf(kPrompt, 0, 7).c_str(), answer.text.c_str());
}

TEST(StreamProcess, TerminatedEntryFinishesItsStreams)
{
  StreamingCaller caller(deployment.EntryUrl(0), kPrompt, kTokens);
  CHECK_TRUE(caller.WaitForTokens(kTokensBeforeFault));
  deployment.Entry(0).Terminate();
  CheckWhole(caller.Wait(), kPrompt);
  CHECK_TRUE(WaitFor([&] { return !deployment.Entry(0).IsRunning(); }));
  LONGS_EQUAL(0, deployment.Entry(0).WaitStatus().value_or(-1));
}

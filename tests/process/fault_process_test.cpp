// Requests through several entries while entries are killed or frozen, a caller
// is slow, or a poison request crashes the engines that run it.

#include "tests/process/deployment.h"
#include "tests/stand_ins/engine/token_text.h"

#include <memory>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using firefly::testing::CompletionBody;
using firefly::testing::Deployment;
using firefly::testing::StreamingCaller;
using firefly::testing::TextOf;
using firefly::testing::WaitFor;

namespace {

constexpr int kTokens = 200;
constexpr std::size_t kTokensBeforeFault = 10;

double
EngineTokens(Deployment& aDeployment, int aEngine)
{
  const auto counts = aDeployment.Http().SendRequest(
    "GET", aDeployment.EngineUrl(aEngine) + "/counts");
  const auto body = nlohmann::json::parse(counts.body, nullptr, false);
  return body.is_object() ? body["tokens"].get<double>() : -1;
}

} // namespace

TEST_GROUP(FaultProcess){};

TEST(FaultProcess, RetryAtAnotherEntryCompletesAfterAnEntryIsKilled)
{
  Deployment deployment({ .hosts = 2, .engines = 2 });
  CHECK_TRUE(deployment.IsReady());
  StreamingCaller interrupted(deployment.EntryUrl(0), "prompt", kTokens);
  StreamingCaller other(deployment.EntryUrl(1), "other", kTokens);
  CHECK_TRUE(interrupted.WaitForTokens(kTokensBeforeFault));
  deployment.Entry(0).Kill();
  CHECK_FALSE(interrupted.Wait().done);
  StreamingCaller retry(deployment.EntryUrl(1), "prompt", kTokens);
  CHECK_TRUE(retry.Wait().done);
  STRCMP_EQUAL(TextOf("prompt", 0, kTokens).c_str(), retry.Wait().text.c_str());
  CHECK_TRUE(other.Wait().done);
  STRCMP_EQUAL(TextOf("other", 0, kTokens).c_str(), other.Wait().text.c_str());
}

TEST(FaultProcess, ResumedEntryCompletesItsStream)
{
  Deployment deployment({ .hosts = 2, .engines = 2 });
  CHECK_TRUE(deployment.IsReady());
  StreamingCaller frozen(deployment.EntryUrl(0), "prompt", kTokens);
  CHECK_TRUE(frozen.WaitForTokens(kTokensBeforeFault));
  deployment.Entry(0).Freeze();
  StreamingCaller retry(deployment.EntryUrl(1), "prompt", kTokens);
  CHECK_TRUE(retry.Wait().done);
  STRCMP_EQUAL(TextOf("prompt", 0, kTokens).c_str(), retry.Wait().text.c_str());
  deployment.Entry(0).Resume();
  CHECK_TRUE(frozen.Wait().done);
  STRCMP_EQUAL(TextOf("prompt", 0, kTokens).c_str(),
               frozen.Wait().text.c_str());
}

TEST(FaultProcess, SlowCallerPausesItsEngineWithoutLoss)
{
  // The answer is larger than all socket buffers on its path.
  constexpr int kManyTokens = 150000;
  Deployment deployment({ .hosts = 1,
                          .engines = 1,
                          .tokenMillis = "0",
                          .entrySettings = "stream_buffer_bytes = 65536" });
  CHECK_TRUE(deployment.IsReady());
  StreamingCaller caller(deployment.EntryUrl(0), "long", kManyTokens);
  CHECK_TRUE(caller.WaitForTokens(kTokensBeforeFault));
  caller.Pause();
  double before = -1;
  const auto hasStopped = [&] {
    const auto now = EngineTokens(deployment, 0);
    const bool same = now == before;
    before = now;
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    return same;
  };
  CHECK_TRUE(WaitFor(hasStopped));
  CHECK_TRUE(deployment.Metric(0, "process_resident_memory_bytes") < 64e6);
  caller.Resume();
  CHECK_TRUE(caller.Wait().done);
  STRCMP_EQUAL(TextOf("long", 0, kManyTokens).c_str(),
               caller.Wait().text.c_str());
  LONGS_EQUAL(0, deployment.Metric(0, "firefly_resumes_total"));
}

TEST(FaultProcess, PoisonCostsTwoEnginesAndNoInnocentItsAnswer)
{
  constexpr int kEngines = 5;
  Deployment deployment({ .hosts = 2, .engines = kEngines });
  CHECK_TRUE(deployment.IsReady());
  for (int i = 0; i < kEngines; ++i) {
    deployment.Http().SendRequest(
      "POST",
      deployment.EngineUrl(i) + "/control",
      R"({"crash_marker": "poison", "crash_after": 3})");
  }
  std::vector<std::unique_ptr<StreamingCaller>> others;
  for (int i = 0; i < 10; ++i) {
    others.push_back(std::make_unique<StreamingCaller>(
      deployment.EntryUrl(i % 2), "innocent " + std::to_string(i), kTokens));
    CHECK_TRUE(others.back()->WaitForTokens(1));
  }
  for (int i = 0; i < 4; ++i) {
    // The caller retries the poison request through both entries in turn.
    const auto answer = deployment.Http().SendRequest(
      "POST",
      deployment.EntryUrl(i % 2) + "/v1/completions",
      CompletionBody("poison", kTokens, false));
    CHECK_TRUE(answer.status >= 400);
    const auto isQuarantined = [&] {
      return deployment.Metric(0, "firefly_quarantined_requests") >= 1 &&
             deployment.Metric(1, "firefly_quarantined_requests") >= 1;
    };
    CHECK_TRUE(WaitFor(isQuarantined));
  }
  for (int i = 0; i < 10; ++i) {
    CHECK_TRUE(others[i]->Wait().done);
    STRCMP_EQUAL(TextOf("innocent " + std::to_string(i), 0, kTokens).c_str(),
                 others[i]->Wait().text.c_str());
  }
  int crashed = 0;
  for (int i = 0; i < kEngines; ++i) {
    crashed += deployment.Engine(i).IsRunning() ? 0 : 1;
  }
  CHECK_TRUE(crashed >= 1);
  CHECK_TRUE(crashed <= 2);
}

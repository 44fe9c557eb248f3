#include "bench/engine_model.h"

#include <map>

#include "core/virtual_executor.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::BackendId;
using firefly::Duration;
using firefly::Instant;
using firefly::VirtualExecutor;
using firefly::bench::AttemptKey;
using firefly::bench::EngineListener;
using firefly::bench::EngineModel;
using firefly::bench::EngineRequest;
using firefly::policy::EngineRole;

namespace {

class EventRecorder : public EngineListener
{
public:
  explicit EventRecorder(VirtualExecutor& aExecutor)
    : mExecutor(aExecutor)
  {
  }

  void OnFirstToken(AttemptKey aKey) override
  {
    firstTokens[aKey] = mExecutor.Now();
  }
  void OnTokens(AttemptKey aKey, std::uint32_t aCount) override
  {
    tokens[aKey] += aCount;
  }
  void OnFinish(AttemptKey aKey) override { finished[aKey] = mExecutor.Now(); }
  void OnCrash() override { crashes++; }
  void OnConnectionLost(AttemptKey aKey) override { lostConnections[aKey]++; }
  void OnStep(Duration /*aGap*/, std::uint32_t /*aOutputs*/) override {}

  std::map<AttemptKey, Instant> firstTokens;
  std::map<AttemptKey, Instant> finished;
  std::map<AttemptKey, std::uint32_t> tokens;
  std::map<AttemptKey, int> lostConnections;
  int crashes = 0;

private:
  VirtualExecutor& mExecutor;
};

EngineRequest
MakeRequest(AttemptKey aKey, std::uint32_t aPrompt, std::uint32_t aOutput)
{
  EngineRequest request;
  request.key = aKey;
  request.promptTokens = aPrompt;
  request.outputTokens = aOutput;
  return request;
}

} // namespace

TEST_GROUP(EngineModelTest)
{
  VirtualExecutor executor;
  EventRecorder recorder{ executor };
  EngineModel engine{ BackendId("e"), EngineRole::kMixed, executor, recorder };
};

TEST(EngineModelTest, AnswersCompletelyAndFasterWithACachedPrefix)
{
  auto first = MakeRequest(1, 2000, 10);
  for (std::uint64_t i = 0; i < 30; ++i) {
    first.prefixHashes.push_back(i + 1);
  }
  auto second = first;
  second.key = 2;
  engine.Submit(first);
  executor.RunFor(10s);
  const auto begin = executor.Now();
  engine.Submit(second);
  executor.RunFor(10s);
  LONGS_EQUAL(10, recorder.tokens[1]);
  LONGS_EQUAL(10, recorder.tokens[2]);
  const auto cold = recorder.firstTokens[1] - Instant{};
  const auto warm = recorder.firstTokens[2] - begin;
  CHECK(warm * 3 < cold);
  CHECK_TRUE(engine.IsIdle());
}

TEST(EngineModelTest, LowerPriorityNumberIsServedFirst)
{
  auto low = MakeRequest(1, 4000, 2);
  low.priority = 2;
  auto high = MakeRequest(2, 400, 2);
  high.priority = 0;
  engine.Submit(low);
  engine.Submit(high);
  executor.RunFor(10s);
  CHECK(recorder.firstTokens[2] < recorder.firstTokens[1]);
}

TEST(EngineModelTest, PoisonCrashesTheEngineAndAllItsAttempts)
{
  engine.Submit(MakeRequest(1, 100, 1000));
  executor.RunFor(1s);
  auto poison = MakeRequest(2, 100, 10);
  poison.poison = true;
  engine.Submit(poison);
  executor.RunFor(1s);
  LONGS_EQUAL(1, recorder.crashes);
  LONGS_EQUAL(1, recorder.lostConnections[1]);
  LONGS_EQUAL(1, recorder.lostConnections[2]);
  CHECK_FALSE(engine.Submit(MakeRequest(3, 100, 10)));
  executor.RunFor(EngineModel::RestartTime());
  CHECK_TRUE(engine.Submit(MakeRequest(3, 100, 10)));
}

TEST(EngineModelTest, EngineIsDownDuringARoleChange)
{
  bool done = false;
  engine.ChangeRole(EngineRole::kDecode, [&] { done = true; });
  CHECK_FALSE(engine.Submit(MakeRequest(1, 100, 10)));
  executor.RunFor(10s);
  CHECK_TRUE(done);
  CHECK(engine.Role() == EngineRole::kDecode);
  CHECK_TRUE(engine.Submit(MakeRequest(1, 100, 10)));
}

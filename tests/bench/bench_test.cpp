#include <string>

#include "bench/simulation.h"

#include <CppUTest/TestHarness.h>

using firefly::bench::Run;
using firefly::bench::RunOptions;
using firefly::bench::RunResult;

namespace {

RunResult
RunOf(const std::string& aScenario,
      const std::string& aPolicy,
      std::uint64_t aSeed,
      const std::string& aDeployment = "hooghly")
{
  RunOptions options;
  options.scenario = aScenario;
  options.policy = aPolicy;
  options.seed = aSeed;
  options.deployment = aDeployment;
  const auto result = Run(options);
  CHECK_TRUE(result.has_value());
  return *result;
}

} // namespace

TEST_GROUP(BenchTest){};

TEST(BenchTest, SameSeedGivesTheSameJson)
{
  const auto one = RunOf("slow", "firefly", 3);
  const auto two = RunOf("slow", "firefly", 3);
  STRCMP_EQUAL(one.ToJson().c_str(), two.ToJson().c_str());
  const auto other = RunOf("slow", "firefly", 4);
  CHECK(one.ToJson() != other.ToJson());
}

// Each request has exactly one outcome, worth is never negative, and no policy
// exceeds the clairvoyant bound.
TEST(BenchTest, EachRequestHasOneOutcomeAndNoPolicyExceedsTheBound)
{
  for (const std::string scenario : { "crest", "hol" }) {
    const auto bound = RunOf(scenario, "clairvoyant", 1);
    for (const std::string policy : { "firefly", "least-reported-load" }) {
      const auto run = RunOf(scenario, policy, 1);
      LONGS_EQUAL(run.offered,
                  run.answered + run.refused + run.innocentsFailed +
                    run.unanswered);
      CHECK(run.goodputWorth >= 0);
      CHECK(run.goodputWorth <= bound.goodputWorth);
      LONGS_EQUAL(bound.offered, run.offered);
    }
  }
}

TEST(BenchTest, PoisonRequestCrashesAtMostTwoEnginesAndFailsNoOtherRequest)
{
  for (const std::string deployment : { "macaskill", "hooghly" }) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      const auto run = RunOf("poison", "firefly", seed, deployment);
      CHECK(run.enginesCrashed <= 2);
      CHECK(run.enginesCrashed >= 1);
      LONGS_EQUAL(0, run.innocentsFailed);
      LONGS_EQUAL(0, run.unanswered);
    }
  }
}

// The stated targets of the shift scenario, checked on one seed.
TEST(BenchTest, ShiftScenarioMeetsItsGoodputTargets)
{
  const auto own = RunOf("shift", "firefly", 1);
  const auto bound = RunOf("shift", "clairvoyant", 1);
  const auto plain = RunOf("shift", "least-reported-load", 1);
  CHECK(own.goodputWorth >= 0.9 * bound.goodputWorth);
  CHECK(own.goodputWorth >= 1.25 * plain.goodputWorth);
  LONGS_EQUAL(0, own.roleChangesBackEarly);
}

TEST(BenchTest, RejectsUnknownScenariosPoliciesAndParts)
{
  RunOptions options;
  options.scenario = "storm";
  CHECK_FALSE(Run(options).has_value());
  options.scenario = "slow";
  options.policy = "best";
  CHECK_FALSE(Run(options).has_value());
  options.policy = "firefly";
  options.disabledParts = { "wings" };
  CHECK_FALSE(Run(options).has_value());
}

#include "bench/workload.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "bench/engine_model.h"
#include "core/random.h"

namespace firefly::bench {

namespace {

using namespace std::chrono_literals;

// Time allowed for each output token in the deadline of a complete answer.
constexpr Duration kTimePerOutputToken = 35ms;
// Standard deviation of the logarithm of sizes around a type's median.
constexpr double kSizeLogDeviation = 0.35;
// Exponent of the Zipf distribution of document popularity over rank.
constexpr double kPopularityExponent = 0.8;
// Lower bounds on the engine time of a prompt token and of an output token in
// any mix of roles. They are exact for a full step of the prefill role and of
// the decode role.
constexpr double kMinPromptTokenSeconds = 67.77e-6;
constexpr double kMinOutputTokenSeconds = 259.7e-6;

// Fractions of lookup, summary, chat and straggler.
const std::vector<double> kDefaultMix{ 0.50, 0.20, 0.30, 0.00 };
const std::vector<double> kPromptHeavyMix{ 0.45, 0.50, 0.05, 0.00 };
const std::vector<double> kOutputHeavyMix{ 0.25, 0.05, 0.70, 0.00 };
const std::vector<double> kStragglerMix{ 0.49, 0.19, 0.29, 0.03 };

// The load of scenarios that do not test overload.
constexpr double kDefaultLoad = 0.6;

// A sample of approximately standard normal distribution: the sum of kTerms
// uniform samples minus its mean.
double
SampleNormal(Random& aRandom)
{
  constexpr int kTerms = 12;
  double sum = 0;
  for (int i = 0; i < kTerms; ++i) {
    sum += aRandom.Uniform();
  }
  return sum - kTerms / 2.0;
}

std::uint32_t
SampleSize(Random& aRandom, std::uint32_t aMedian)
{
  const double factor = std::exp(kSizeLogDeviation * SampleNormal(aRandom));
  return std::max(1U, static_cast<std::uint32_t>(aMedian * factor));
}

std::size_t
PickIndex(Random& aRandom, const std::vector<double>& aWeights)
{
  double left = aRandom.Uniform();
  for (std::size_t i = 0; i < aWeights.size(); ++i) {
    left -= aWeights[i];
    if (left < 0) {
      return i;
    }
  }
  return 0;
}

std::uint32_t
PickDocument(Random& aRandom, std::uint32_t aCount)
{
  double sum = 0;
  for (std::uint32_t i = 1; i <= aCount; ++i) {
    sum += std::pow(i, -kPopularityExponent);
  }
  double left = aRandom.Uniform() * sum;
  for (std::uint32_t i = 1; i <= aCount; ++i) {
    left -= std::pow(i, -kPopularityExponent);
    if (left < 0) {
      return i;
    }
  }
  return aCount;
}

double
MeanEngineSeconds(const std::vector<double>& aMix)
{
  double sum = 0;
  for (std::size_t i = 0; i < aMix.size(); ++i) {
    const auto& type = RequestTypes()[i];
    sum += aMix[i] * MinEngineSeconds(type.ownTokens, type.outputTokens);
  }
  // The mean of the log-normal size distribution lies above its median.
  return sum * std::exp(kSizeLogDeviation * kSizeLogDeviation / 2);
}

Arrival
MakeArrival(Random& aRandom,
            std::size_t aType,
            std::size_t aNumber,
            Instant aAt)
{
  const auto& type = RequestTypes()[aType];
  Arrival arrival;
  auto& info = arrival.info;
  info.requestId = RequestId("r" + std::to_string(aNumber));
  info.service = ServiceId("assistant");
  info.requestType = RequestType(type.name);
  info.customer = CustomerId("c" + std::to_string(aRandom.Below(20)));
  info.model = ModelId("m1");
  info.worth = policy::Worth(type.worth);
  info.lateAfter = type.lateAfter;
  info.arrival = aAt;
  info.prefixBlockTokens = policy::Tokens(EngineModel::kBlockTokens);
  arrival.ownTokens = SampleSize(aRandom, type.ownTokens);
  arrival.outputTokens = SampleSize(aRandom, type.outputTokens);
  info.promptTokens = policy::Tokens(type.sharedTokens + arrival.ownTokens);
  info.fingerprint = policy::Fingerprint(aRandom.Next());
  const auto document = PickDocument(aRandom, std::max(1U, type.documents));
  const auto shared = type.sharedTokens / EngineModel::kBlockTokens;
  std::uint64_t hash = policy::MixHash(aType + 1, document);
  for (std::uint32_t i = 0; i < shared; ++i) {
    hash = policy::MixHash(hash, i);
    info.prefixHashes.push_back(hash);
  }
  return arrival;
}

} // namespace

const Deployment*
FindDeployment(const std::string& aName)
{
  static const std::vector<Deployment> kDeployments{
    { .name = "macaskill",
      .domains = 3,
      .engines = 12,
      .oneWayDelay = 500us,
      .callerOneWayDelay = 3ms },
    { .name = "hooghly",
      .domains = 3,
      .engines = 9,
      .oneWayDelay = 1500us,
      .callerOneWayDelay = 1ms },
  };
  for (const auto& deployment : kDeployments) {
    if (deployment.name == aName) {
      return &deployment;
    }
  }
  return nullptr;
}

std::vector<std::string>
DeploymentNames()
{
  return { "macaskill", "hooghly" };
}

const std::vector<RequestTypeSpec>&
RequestTypes()
{
  static const std::vector<RequestTypeSpec> kTypes{
    { .name = "lookup",
      .worth = 1,
      .lateAfter = 730ms,
      .sharedTokens = 28 * EngineModel::kBlockTokens,
      .ownTokens = 250,
      .outputTokens = 50,
      .documents = 60 },
    { .name = "summary",
      .worth = 3,
      .lateAfter = 1500ms,
      .sharedTokens = 32 * EngineModel::kBlockTokens,
      .ownTokens = 2500,
      .outputTokens = 100,
      .documents = 30 },
    { .name = "chat",
      .worth = 2,
      .lateAfter = 730ms,
      .sharedTokens = 4 * EngineModel::kBlockTokens,
      .ownTokens = 250,
      .outputTokens = 300,
      .documents = 5 },
    { .name = "straggler",
      .worth = 6,
      .lateAfter = 3s,
      .sharedTokens = 0,
      .ownTokens = 3000,
      .outputTokens = 1500,
      .documents = 1 },
  };
  return kTypes;
}

tl::expected<Scenario, std::string>
FindScenario(const std::string& aName, double aLoad)
{
  if (aName == "shift") {
    return Scenario{ .name = aName,
                     .phases = { { 60s, kDefaultLoad, kDefaultMix },
                                 { 60s, kDefaultLoad, kPromptHeavyMix },
                                 { 60s, kDefaultLoad, kOutputHeavyMix },
                                 { 60s, kDefaultLoad, kDefaultMix } },
                     .slowdowns = {},
                     .poisonTimes = {} };
  }
  if (aName == "crest") {
    return Scenario{ .name = aName,
                     .phases = { { 20s, kDefaultLoad, kDefaultMix },
                                 { 5s, 1.2, kDefaultMix },
                                 { 30s, 2.0, kDefaultMix },
                                 { 5s, 1.2, kDefaultMix },
                                 { 30s, kDefaultLoad, kDefaultMix } },
                     .slowdowns = {},
                     .poisonTimes = {} };
  }
  if (aName == "hol") {
    return Scenario{ .name = aName,
                     .phases = { { 120s, kDefaultLoad, kStragglerMix } },
                     .slowdowns = {},
                     .poisonTimes = {} };
  }
  if (aName == "slow") {
    return Scenario{ .name = aName,
                     .phases = { { 90s, kDefaultLoad, kDefaultMix } },
                     .slowdowns = { { 20s, 70s, 2, 5 } },
                     .poisonTimes = {} };
  }
  if (aName == "poison") {
    return Scenario{ .name = aName,
                     .phases = { { 90s, kDefaultLoad, kDefaultMix } },
                     .slowdowns = {},
                     .poisonTimes = { 30s } };
  }
  if (aName == "steady") {
    return Scenario{ .name = aName,
                     .phases = { { 90s, aLoad, kDefaultMix } },
                     .slowdowns = {},
                     .poisonTimes = {} };
  }
  return tl::make_unexpected("unknown scenario '" + aName + "'");
}

std::vector<std::string>
ScenarioNames()
{
  return { "shift", "crest", "hol", "slow", "poison" };
}

double
MinEngineSeconds(std::uint32_t aPromptTokens, std::uint32_t aOutputTokens)
{
  return aPromptTokens * kMinPromptTokenSeconds +
         aOutputTokens * kMinOutputTokenSeconds;
}

std::vector<Arrival>
MakeArrivals(const Deployment& aDeployment,
             const Scenario& aScenario,
             std::uint64_t aSeed)
{
  Random random(aSeed);
  std::vector<Arrival> arrivals;
  Instant begin{};
  for (const auto& phase : aScenario.phases) {
    const double rate =
      phase.load * aDeployment.engines / MeanEngineSeconds(phase.mix);
    const auto end = begin + phase.length;
    auto at = begin + FromSeconds(random.Exponential(1 / rate));
    while (at < end) {
      const auto type = PickIndex(random, phase.mix);
      arrivals.push_back(MakeArrival(random, type, arrivals.size(), at));
      at += FromSeconds(random.Exponential(1 / rate));
    }
    begin = end;
  }
  for (const auto at : aScenario.poisonTimes) {
    auto poison = MakeArrival(random, 0, arrivals.size(), Instant(at));
    poison.poison = true;
    arrivals.push_back(std::move(poison));
  }
  std::stable_sort(arrivals.begin(),
                   arrivals.end(),
                   [](const auto& aLeft, const auto& aRight) {
                     return aLeft.info.arrival < aRight.info.arrival;
                   });
  return arrivals;
}

Duration
AnswerDeadline(const Arrival& aArrival)
{
  return aArrival.info.lateAfter + aArrival.outputTokens * kTimePerOutputToken;
}

} // namespace firefly::bench

#include "bench/workload.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "bench/engine_model.h"
#include "core/random.h"

namespace firefly::bench {

namespace {

using namespace std::chrono_literals;

// Whole answers are due at this pace after the first token.
constexpr Duration kTokenPace = 35ms;
// How far sizes spread around a type's usual one.
constexpr double kSizeSpread = 0.35;
// Popularity of documents falls with this power of their rank.
constexpr double kPopularityPower = 0.8;
// Costs of a prompt and an output token that no mix of roles can beat: at a
// full step of the prefill and of the decode role they are exact.
constexpr double kPromptTokenSeconds = 67.77e-6;
constexpr double kOutputTokenSeconds = 259.7e-6;

// lookup, summary, chat, straggler
const std::vector<double> kUsualMix{ 0.50, 0.20, 0.30, 0.00 };
const std::vector<double> kPromptMix{ 0.45, 0.50, 0.05, 0.00 };
const std::vector<double> kOutputMix{ 0.25, 0.05, 0.70, 0.00 };
const std::vector<double> kStragglerMix{ 0.49, 0.19, 0.29, 0.03 };

// The load of scenarios that aren't about too much of it.
constexpr double kUsualLoad = 0.6;

double
Normal(Random& aRandom)
{
  constexpr int kTerms = 12;
  double sum = 0;
  for (int i = 0; i < kTerms; ++i) {
    sum += aRandom.Uniform();
  }
  return sum - kTerms / 2.0;
}

std::uint32_t
Spread(Random& aRandom, std::uint32_t aUsual)
{
  const double factor = std::exp(kSizeSpread * Normal(aRandom));
  return std::max(1U, static_cast<std::uint32_t>(aUsual * factor));
}

std::size_t
Pick(Random& aRandom, const std::vector<double>& aParts)
{
  double left = aRandom.Uniform();
  for (std::size_t i = 0; i < aParts.size(); ++i) {
    left -= aParts[i];
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
    sum += std::pow(i, -kPopularityPower);
  }
  double left = aRandom.Uniform() * sum;
  for (std::uint32_t i = 1; i <= aCount; ++i) {
    left -= std::pow(i, -kPopularityPower);
    if (left < 0) {
      return i;
    }
  }
  return aCount;
}

double
MeanSeconds(const std::vector<double>& aMix)
{
  double sum = 0;
  for (std::size_t i = 0; i < aMix.size(); ++i) {
    const auto& type = RequestTypes()[i];
    sum += aMix[i] * LeastEngineSeconds(type.ownTokens, type.outputTokens);
  }
  // The spread's mean lies above its median.
  return sum * std::exp(kSizeSpread * kSizeSpread / 2);
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
  info.prefixBlockTokens = policy::Tokens(EngineModel::kPieceTokens);
  arrival.ownTokens = Spread(aRandom, type.ownTokens);
  arrival.outputTokens = Spread(aRandom, type.outputTokens);
  info.promptTokens = policy::Tokens(type.sharedTokens + arrival.ownTokens);
  info.fingerprint = policy::Fingerprint(aRandom.Next());
  const auto document = PickDocument(aRandom, std::max(1U, type.documents));
  const auto shared = type.sharedTokens / EngineModel::kPieceTokens;
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
      .oneWay = 500us,
      .callerOneWay = 3ms },
    { .name = "hooghly",
      .domains = 3,
      .engines = 9,
      .oneWay = 1500us,
      .callerOneWay = 1ms },
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

const std::vector<TypeShape>&
RequestTypes()
{
  static const std::vector<TypeShape> kTypes{
    { .name = "lookup",
      .worth = 1,
      .lateAfter = 730ms,
      .sharedTokens = 28 * EngineModel::kPieceTokens,
      .ownTokens = 250,
      .outputTokens = 50,
      .documents = 60 },
    { .name = "summary",
      .worth = 3,
      .lateAfter = 1500ms,
      .sharedTokens = 32 * EngineModel::kPieceTokens,
      .ownTokens = 2500,
      .outputTokens = 100,
      .documents = 30 },
    { .name = "chat",
      .worth = 2,
      .lateAfter = 730ms,
      .sharedTokens = 4 * EngineModel::kPieceTokens,
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
                     .phases = { { 60s, kUsualLoad, kUsualMix },
                                 { 60s, kUsualLoad, kPromptMix },
                                 { 60s, kUsualLoad, kOutputMix },
                                 { 60s, kUsualLoad, kUsualMix } },
                     .slowdowns = {},
                     .poisons = {} };
  }
  if (aName == "crest") {
    return Scenario{ .name = aName,
                     .phases = { { 20s, kUsualLoad, kUsualMix },
                                 { 5s, 1.2, kUsualMix },
                                 { 30s, 2.0, kUsualMix },
                                 { 5s, 1.2, kUsualMix },
                                 { 30s, kUsualLoad, kUsualMix } },
                     .slowdowns = {},
                     .poisons = {} };
  }
  if (aName == "hol") {
    return Scenario{ .name = aName,
                     .phases = { { 120s, kUsualLoad, kStragglerMix } },
                     .slowdowns = {},
                     .poisons = {} };
  }
  if (aName == "slow") {
    return Scenario{ .name = aName,
                     .phases = { { 90s, kUsualLoad, kUsualMix } },
                     .slowdowns = { { 20s, 70s, 2, 5 } },
                     .poisons = {} };
  }
  if (aName == "poison") {
    return Scenario{ .name = aName,
                     .phases = { { 90s, kUsualLoad, kUsualMix } },
                     .slowdowns = {},
                     .poisons = { 30s } };
  }
  if (aName == "steady") {
    return Scenario{ .name = aName,
                     .phases = { { 90s, aLoad, kUsualMix } },
                     .slowdowns = {},
                     .poisons = {} };
  }
  return tl::make_unexpected("unknown scenario '" + aName + "'");
}

std::vector<std::string>
ScenarioNames()
{
  return { "shift", "crest", "hol", "slow", "poison" };
}

double
LeastEngineSeconds(std::uint32_t aPromptTokens, std::uint32_t aOutputTokens)
{
  return aPromptTokens * kPromptTokenSeconds +
         aOutputTokens * kOutputTokenSeconds;
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
      phase.load * aDeployment.engines / MeanSeconds(phase.mix);
    const auto end = begin + phase.length;
    auto at = begin + FromSeconds(random.Exponential(1 / rate));
    while (at < end) {
      const auto type = Pick(random, phase.mix);
      arrivals.push_back(MakeArrival(random, type, arrivals.size(), at));
      at += FromSeconds(random.Exponential(1 / rate));
    }
    begin = end;
  }
  for (const auto at : aScenario.poisons) {
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
AnswerDue(const Arrival& aArrival)
{
  return aArrival.info.lateAfter + aArrival.outputTokens * kTokenPace;
}

} // namespace firefly::bench

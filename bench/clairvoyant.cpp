#include "bench/clairvoyant.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace firefly::bench {

namespace {

// Windows are widened to whole steps of this, which only raises the bound.
constexpr double kStepSeconds = 2.0;

// Accepts work as long as no stretch of time holds more than fits into it; for
// divisible work that is all that a schedule needs.
class FluidFleet
{
public:
  FluidFleet(std::size_t aSteps, double aEngines)
    : mSteps(aSteps)
    , mEngines(aEngines)
    , mUsed(aSteps * aSteps, 0.0)
  {
  }

  // Takes as much of the work as fits, and returns it.
  double Take(std::size_t aFirst, std::size_t aLast, double aSeconds)
  {
    double room = aSeconds;
    for (std::size_t i = 0; i <= aFirst; ++i) {
      for (std::size_t j = aLast; j < mSteps; ++j) {
        const auto steps = static_cast<double>(j - i + 1);
        room = std::min(room, steps * kStepSeconds * mEngines - At(i, j));
      }
    }
    if (room <= 0) {
      return 0;
    }
    for (std::size_t i = 0; i <= aFirst; ++i) {
      for (std::size_t j = aLast; j < mSteps; ++j) {
        At(i, j) += room;
      }
    }
    return room;
  }

private:
  // Work whose whole window lies in the steps from the first to the last.
  double& At(std::size_t aFirst, std::size_t aLast)
  {
    return mUsed[aFirst * mSteps + aLast];
  }

  std::size_t mSteps;
  double mEngines;
  std::vector<double> mUsed;
};

std::size_t
StepOf(Duration aTime)
{
  return static_cast<std::size_t>(ToSeconds(aTime) / kStepSeconds);
}

} // namespace

void
FillClairvoyant(RunResult& aResult,
                const Deployment& aDeployment,
                const std::vector<Arrival>& aArrivals)
{
  Duration end{};
  for (const auto& arrival : aArrivals) {
    end = std::max(
      end, arrival.info.arrival.time_since_epoch() + AnswerDue(arrival));
  }
  FluidFleet fleet(StepOf(end) + 1, aDeployment.engines);
  std::vector<std::size_t> order(aArrivals.size());
  std::iota(order.begin(), order.end(), 0);
  const auto seconds = [&](std::size_t aIndex) {
    const auto& arrival = aArrivals[aIndex];
    return LeastEngineSeconds(arrival.ownTokens, arrival.outputTokens);
  };
  const auto density = [&](std::size_t aIndex) {
    return aArrivals[aIndex].info.worth.Value() / seconds(aIndex);
  };
  std::stable_sort(order.begin(), order.end(), [&](auto aLeft, auto aRight) {
    return density(aLeft) > density(aRight);
  });
  double answered = 0;
  for (const auto index : order) {
    const auto& arrival = aArrivals[index];
    if (arrival.poison) {
      continue;
    }
    const auto from = arrival.info.arrival.time_since_epoch();
    const auto taken = fleet.Take(
      StepOf(from), StepOf(from + AnswerDue(arrival)), seconds(index));
    const double part = taken / seconds(index);
    const double worth = arrival.info.worth.Value() * part;
    answered += part;
    aResult.goodputWorth += worth;
    const auto second = static_cast<std::size_t>(ToSeconds(from));
    aResult.seconds.at(second).goodputWorth += worth;
  }
  aResult.answeredInTime = static_cast<std::uint64_t>(std::floor(answered));
  aResult.answered = aResult.answeredInTime;
  aResult.refused = aResult.offered - aResult.answered;
}

} // namespace firefly::bench

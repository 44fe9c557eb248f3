#include "bench/clairvoyant_bound.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace firefly::bench {

namespace {

// Time windows are widened to whole steps of this length, which can only raise
// the bound.
constexpr double kStepSeconds = 2.0;

// Accepts work as long as no time interval contains more work than its
// capacity. For divisible work this condition is sufficient for a schedule to
// exist.
class FluidFleet
{
public:
  FluidFleet(std::size_t aSteps, double aEngines)
    : mSteps(aSteps)
    , mEngines(aEngines)
    , mAcceptedWork(aSteps * aSteps, 0.0)
  {
  }

  // Accepts as much of the work as fits and returns that amount, in
  // engine seconds.
  double Accept(std::size_t aFirst, std::size_t aLast, double aSeconds)
  {
    double accepted = aSeconds;
    for (std::size_t i = 0; i <= aFirst; ++i) {
      for (std::size_t j = aLast; j < mSteps; ++j) {
        const auto steps = static_cast<double>(j - i + 1);
        accepted =
          std::min(accepted, steps * kStepSeconds * mEngines - At(i, j));
      }
    }
    if (accepted <= 0) {
      return 0;
    }
    for (std::size_t i = 0; i <= aFirst; ++i) {
      for (std::size_t j = aLast; j < mSteps; ++j) {
        At(i, j) += accepted;
      }
    }
    return accepted;
  }

private:
  // Accepted work whose whole window lies within the steps from the first to
  // the last.
  double& At(std::size_t aFirst, std::size_t aLast)
  {
    return mAcceptedWork[aFirst * mSteps + aLast];
  }

  std::size_t mSteps;
  double mEngines;
  std::vector<double> mAcceptedWork;
};

std::size_t
StepOf(Duration aTime)
{
  return static_cast<std::size_t>(ToSeconds(aTime) / kStepSeconds);
}

} // namespace

void
FillClairvoyantBound(RunResult& aResult,
                     const Deployment& aDeployment,
                     const std::vector<Arrival>& aArrivals)
{
  Duration end{};
  for (const auto& arrival : aArrivals) {
    end = std::max(
      end, arrival.info.arrival.time_since_epoch() + AnswerDeadline(arrival));
  }
  FluidFleet fleet(StepOf(end) + 1, aDeployment.engines);
  std::vector<std::size_t> order(aArrivals.size());
  std::iota(order.begin(), order.end(), 0);
  const auto engineSeconds = [&](std::size_t aIndex) {
    const auto& arrival = aArrivals[aIndex];
    return MinEngineSeconds(arrival.ownTokens, arrival.outputTokens);
  };
  const auto density = [&](std::size_t aIndex) {
    return aArrivals[aIndex].info.worth.Value() / engineSeconds(aIndex);
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
    const auto acceptedSeconds =
      fleet.Accept(StepOf(from),
                   StepOf(from + AnswerDeadline(arrival)),
                   engineSeconds(index));
    const double fraction = acceptedSeconds / engineSeconds(index);
    const double worth = arrival.info.worth.Value() * fraction;
    answered += fraction;
    aResult.goodputWorth += worth;
    const auto second = static_cast<std::size_t>(ToSeconds(from));
    aResult.seconds.at(second).goodputWorth += worth;
  }
  aResult.answeredInTime = static_cast<std::uint64_t>(std::floor(answered));
  aResult.answered = aResult.answeredInTime;
  aResult.refused = aResult.offered - aResult.answered;
}

} // namespace firefly::bench

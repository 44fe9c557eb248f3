#include "policy/hedger.h"

#include <algorithm>

namespace firefly::policy {

namespace {

// Step size of the quantile estimate.
constexpr double kQuantileStepSeconds = 0.02;
// The weight of a new gap in the moving average.
constexpr double kGapWeight = 0.02;
// Longer than any request runs.
constexpr Duration kNever = std::chrono::hours(24);

} // namespace

QuantileHedger::QuantileHedger(Options aOptions)
  : mOptions(aOptions)
{
}

Duration
QuantileHedger::HedgeAfter(Duration aExpectedWait) const
{
  return std::clamp(aExpectedWait + FromSeconds(mExcessSeconds),
                    mOptions.minHedgeDelay,
                    mOptions.maxHedgeDelay);
}

Duration
QuantileHedger::ResumeAfter() const
{
  return std::max(mOptions.minStall,
                  FromSeconds(mAverageGapSeconds * mOptions.stallGapFactor));
}

void
QuantileHedger::OnFirstToken(Duration aExpectedWait, Duration aWait)
{
  const double excess = ToSeconds(aWait - aExpectedWait);
  if (excess > mExcessSeconds) {
    mExcessSeconds += kQuantileStepSeconds * mOptions.quantile;
  } else {
    mExcessSeconds -= kQuantileStepSeconds * (1 - mOptions.quantile);
  }
  mExcessSeconds = std::max(0.0, mExcessSeconds);
}

void
QuantileHedger::OnTokenGap(Duration aMeanGap)
{
  mAverageGapSeconds += kGapWeight * (ToSeconds(aMeanGap) - mAverageGapSeconds);
}

Duration
NoHedger::HedgeAfter(Duration /*aExpectedWait*/) const
{
  return kNever;
}

Duration
NoHedger::ResumeAfter() const
{
  return kNever;
}

void
NoHedger::OnFirstToken(Duration /*aExpectedWait*/, Duration /*aWait*/)
{
}

void
NoHedger::OnTokenGap(Duration /*aMeanGap*/)
{
}

} // namespace firefly::policy

#include "policy/hedger.h"

#include <algorithm>

namespace firefly::policy {

namespace {

// The step by which the quantile's estimate moves, in seconds.
constexpr double kStepSeconds = 0.02;
// The weight of a new gap in the average.
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
                    mOptions.shortest,
                    mOptions.longest);
}

Duration
QuantileHedger::ResumeAfter() const
{
  return std::max(mOptions.shortestStall,
                  FromSeconds(mGapSeconds * mOptions.stallGaps));
}

void
QuantileHedger::OnFirstToken(Duration aExpectedWait, Duration aWait)
{
  const double excess = ToSeconds(aWait - aExpectedWait);
  if (excess > mExcessSeconds) {
    mExcessSeconds += kStepSeconds * mOptions.quantile;
  } else {
    mExcessSeconds -= kStepSeconds * (1 - mOptions.quantile);
  }
  mExcessSeconds = std::max(0.0, mExcessSeconds);
}

void
QuantileHedger::OnTokenGap(Duration aGap)
{
  mGapSeconds += kGapWeight * (ToSeconds(aGap) - mGapSeconds);
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
NoHedger::OnTokenGap(Duration /*aGap*/)
{
}

} // namespace firefly::policy

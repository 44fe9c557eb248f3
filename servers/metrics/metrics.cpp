#include "servers/metrics/metrics.h"

#include <algorithm>
#include <array>
#include <cassert>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include "servers/metrics/metrics_text.h"

namespace firefly {

namespace {

namespace accumulators = boost::accumulators;

using Accumulator = accumulators::accumulator_set<
  double,
  accumulators::stats<accumulators::tag::count,
                      accumulators::tag::sum,
                      accumulators::tag::mean,
                      accumulators::tag::extended_p_square>>;

// The P-square estimator has two markers for each quantile and three more. It
// has no estimate until each marker has an observation.
std::size_t
MinObservations()
{
  return Summary::kQuantiles.size() * 2 + 3;
}

template<typename T>
std::unique_ptr<T>
MakeSeries(const MetricOptions& aOptions)
{
  if constexpr (std::is_same_v<T, Histogram>) {
    return std::make_unique<T>(aOptions.bounds);
  } else {
    return std::make_unique<T>();
  }
}

template<typename T>
MetricFamily<T>&
FamilyOf(std::map<std::string, MetricFamily<T>>& aFamilies,
         const MetricOptions& aOptions)
{
  assert(IsMetricName(aOptions.name));
  return aFamilies.try_emplace(aOptions.name, aOptions).first->second;
}

} // namespace

void
Counter::Add(double aAmount)
{
  mValue += std::max(aAmount, 0.0);
}

Histogram::Histogram(const std::vector<double>& aBounds)
  : mBounds(aBounds)
  , mCounts(aBounds.size() + 1)
{
  assert(std::ranges::is_sorted(mBounds));
}

void
Histogram::Observe(double aValue)
{
  const auto bucket = std::ranges::lower_bound(mBounds, aValue);
  ++mCounts[static_cast<std::size_t>(bucket - mBounds.begin())];
  ++mCount;
  mSum += aValue;
}

std::uint64_t
Histogram::CountUpTo(std::size_t aIndex) const
{
  std::uint64_t count = 0;
  for (std::size_t n = 0; n <= aIndex && n < mCounts.size(); ++n) {
    count += mCounts[n];
  }
  return count;
}

class Summary::Impl
{
public:
  Accumulator accumulator{ accumulators::extended_p_square_probabilities =
                             Summary::kQuantiles };
};

Summary::Summary()
  : mImpl(std::make_unique<Impl>())
{
}

Summary::~Summary() = default;

void
Summary::Observe(double aValue)
{
  mImpl->accumulator(aValue);
}

std::uint64_t
Summary::Count() const
{
  return accumulators::count(mImpl->accumulator);
}

double
Summary::Sum() const
{
  return accumulators::sum(mImpl->accumulator);
}

double
Summary::Mean() const
{
  return Count() == 0 ? 0 : accumulators::mean(mImpl->accumulator);
}

std::optional<double>
Summary::Quantile(double aQuantile) const
{
  const auto found = std::ranges::find(kQuantiles, aQuantile);
  if (found == kQuantiles.end() || Count() < MinObservations()) {
    return std::nullopt;
  }
  const auto estimates = accumulators::extended_p_square(mImpl->accumulator);
  return estimates[found - kQuantiles.begin()];
}

template<typename T>
T&
MetricFamily<T>::With(const std::vector<std::string>& aValues)
{
  assert(aValues.size() == mOptions.labelNames.size());
  const auto found = mSeries.find(aValues);
  if (found != mSeries.end()) {
    return *found->second;
  }
  const bool isFull = mSeries.size() >= mOptions.maxSeries;
  const std::vector<std::string> other(aValues.size(), "other");
  auto& series = mSeries[isFull ? other : aValues];
  if (series == nullptr) {
    series = MakeSeries<T>(mOptions);
  }
  return *series;
}

template class MetricFamily<Counter>;
template class MetricFamily<Gauge>;
template class MetricFamily<Histogram>;
template class MetricFamily<Summary>;

MetricFamily<Counter>&
MetricRegistry::Counters(const MetricOptions& aOptions)
{
  return FamilyOf(mCounters, aOptions);
}

MetricFamily<Gauge>&
MetricRegistry::Gauges(const MetricOptions& aOptions)
{
  return FamilyOf(mGauges, aOptions);
}

MetricFamily<Histogram>&
MetricRegistry::Histograms(const MetricOptions& aOptions)
{
  return FamilyOf(mHistograms, aOptions);
}

MetricFamily<Summary>&
MetricRegistry::Summaries(const MetricOptions& aOptions)
{
  return FamilyOf(mSummaries, aOptions);
}

void
MetricRegistry::OnExpose(std::function<void()> aCallback)
{
  mCallbacks.push_back(std::move(aCallback));
}

std::string
MetricRegistry::Expose() const
{
  for (const auto& it : mCallbacks) {
    it();
  }
  MetricsWriter writer;
  for (const auto& [name, family] : mCounters) {
    writer.Write(family);
  }
  for (const auto& [name, family] : mGauges) {
    writer.Write(family);
  }
  for (const auto& [name, family] : mHistograms) {
    writer.Write(family);
  }
  for (const auto& [name, family] : mSummaries) {
    writer.Write(family);
  }
  return writer.Text();
}

std::vector<double>
FirstTokenBounds()
{
  return { 0.05, 0.1, 0.2, 0.35, 0.5, 0.73, 1, 1.5, 2.5, 5, 10, 30 };
}

std::vector<double>
TokenGapBounds()
{
  return { 0.005, 0.01, 0.015, 0.02, 0.028, 0.04, 0.06, 0.1, 0.2, 0.5, 1, 5 };
}

} // namespace firefly

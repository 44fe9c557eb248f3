#include "policy/size_estimator.h"

#include <algorithm>
#include <cmath>

namespace firefly::policy {

namespace {

// Number of histogram buckets for each doubling of the size.
constexpr double kBucketsPerDoubling = 4.0;
constexpr std::size_t kBuckets = 80;

// From this median output on, a request is a straggler.
constexpr std::uint32_t kStragglerTokens = 800;
// A request is short up to this median output and this uncached prompt.
constexpr std::uint32_t kShortOutputTokens = 160;
constexpr std::uint32_t kShortPromptTokens = 1500;

std::size_t
BucketOf(std::uint32_t aTokens)
{
  const double bucket =
    std::log2(static_cast<double>(aTokens) + 1) * kBucketsPerDoubling;
  return std::min(kBuckets - 1, static_cast<std::size_t>(bucket));
}

std::uint32_t
UpperEdge(std::size_t aBucket)
{
  const double edge =
    std::exp2(static_cast<double>(aBucket + 1) / kBucketsPerDoubling) - 1;
  return static_cast<std::uint32_t>(std::ceil(edge));
}

std::uint32_t
QuantileOf(const std::vector<std::uint32_t>& aCounts,
           std::uint32_t aTotal,
           double aQuantile)
{
  const double targetCount = aQuantile * aTotal;
  double seen = 0;
  for (std::size_t i = 0; i < aCounts.size(); ++i) {
    seen += aCounts[i];
    if (seen >= targetCount) {
      return UpperEdge(i);
    }
  }
  return UpperEdge(aCounts.size() - 1);
}

Tokens
Bounded(std::uint32_t aTokens, Tokens aLimit)
{
  if (aLimit.Value() == 0) {
    return Tokens(aTokens);
  }
  return Tokens(std::min(aTokens, aLimit.Value()));
}

} // namespace

QuantileSizeEstimator::QuantileSizeEstimator(Options aOptions)
  : mOptions(aOptions)
{
}

SizeEstimate
QuantileSizeEstimator::Estimate(const RequestInfo& aRequest) const
{
  const auto it = mHistograms.find(HistogramKey(aRequest));
  const auto limit = aRequest.maxOutputTokens;
  if (it == mHistograms.end() || it->second.total < mOptions.minSamples) {
    return { .median = Bounded(mOptions.defaultMedian.Value(), limit),
             .p95 = Bounded(mOptions.defaultP95.Value(), limit),
             .samples = 0 };
  }
  constexpr double kMedian = 0.5;
  constexpr double kHigh = 0.95;
  const auto& [counts, total] = it->second;
  return { .median = Bounded(QuantileOf(counts, total, kMedian), limit),
           .p95 = Bounded(QuantileOf(counts, total, kHigh), limit),
           .samples = total };
}

void
QuantileSizeEstimator::OnFinish(const RequestInfo& aRequest, Tokens aOutput)
{
  auto& histogram = mHistograms[HistogramKey(aRequest)];
  histogram.counts.resize(kBuckets);
  histogram.counts[BucketOf(aOutput.Value())]++;
  if (++histogram.total < mOptions.halveAt) {
    return;
  }
  histogram.total = 0;
  for (auto& count : histogram.counts) {
    count /= 2;
    histogram.total += count;
  }
}

std::string
QuantileSizeEstimator::HistogramKey(const RequestInfo& aRequest)
{
  return aRequest.service.Value() + '\n' + aRequest.requestType.Value();
}

Lane
LaneOf(Tokens aUncachedPrompt, const SizeEstimate& aEstimate)
{
  if (aEstimate.median.Value() >= kStragglerTokens) {
    return Lane::kStraggler;
  }
  if (aEstimate.median.Value() <= kShortOutputTokens &&
      aUncachedPrompt.Value() <= kShortPromptTokens) {
    return Lane::kShort;
  }
  return Lane::kNormal;
}

} // namespace firefly::policy

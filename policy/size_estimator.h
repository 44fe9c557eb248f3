#pragma once

// Estimates output sizes per service and request type from the sizes of
// finished answers.

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "policy/request_info.h"

namespace firefly::policy {

// The expected size of a request's output.
struct SizeEstimate
{
  // Median of the output size.
  Tokens median;
  // 95th percentile of the output size.
  Tokens p95;
  // Number of finished answers behind the estimate; 0 if it is the default.
  std::uint32_t samples = 0;
};

class SizeEstimator
{
public:
  virtual ~SizeEstimator() = default;

  // Returns the estimate for the request, limited by its maxOutputTokens.
  [[nodiscard]] virtual SizeEstimate Estimate(
    const RequestInfo& aRequest) const = 0;

  // Records the output size of a finished answer.
  virtual void OnFinish(const RequestInfo& aRequest, Tokens aOutput) = 0;
};

// Keeps a histogram with logarithmic buckets for each service and request type.
// Old counts decay because all counts are halved from time to time.
class QuantileSizeEstimator : public SizeEstimator
{
public:
  struct Options
  {
    // Estimates while there are fewer than minSamples answers.
    Tokens defaultMedian{ 128 };
    Tokens defaultP95{ 1024 };
    // Minimum number of answers to use the histogram.
    std::uint32_t minSamples = 8;
    // When a histogram holds this many answers, all of its counts are halved.
    std::uint32_t halveAt = 512;
  };

  QuantileSizeEstimator() = default;
  explicit QuantileSizeEstimator(Options aOptions);

  [[nodiscard]] SizeEstimate Estimate(
    const RequestInfo& aRequest) const override;
  void OnFinish(const RequestInfo& aRequest, Tokens aOutput) override;

private:
  struct Histogram
  {
    std::vector<std::uint32_t> counts;
    std::uint32_t total = 0;
  };

  static std::string HistogramKey(const RequestInfo& aRequest);

  Options mOptions;
  std::unordered_map<std::string, Histogram> mHistograms;
};

// The lane of a request with that estimate and with aUncachedPrompt prompt
// tokens that are in no cache.
Lane
LaneOf(Tokens aUncachedPrompt, const SizeEstimate& aEstimate);

} // namespace firefly::policy

#pragma once

// Estimates of output sizes per service and request type, learned from the
// answers that finished.

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "policy/request_info.h"

namespace firefly::policy {

// What is expected of a request's output.
struct SizeEstimate
{
  // The output's median.
  Tokens usual;
  // The output's 95th percentile.
  Tokens high;
  // Finished answers behind the estimate; 0 means the default was given.
  std::uint32_t samples = 0;
};

class SizeEstimator
{
public:
  virtual ~SizeEstimator() = default;

  // The estimate for the request, bounded by its own maxOutputTokens.
  [[nodiscard]] virtual SizeEstimate Estimate(
    const RequestInfo& aRequest) const = 0;

  // Learns from an answer that finished with that many tokens.
  virtual void OnFinish(const RequestInfo& aRequest, Tokens aOutput) = 0;
};

// Keeps a log-scaled histogram with slowly fading counts for each type.
class QuantileSizeEstimator : public SizeEstimator
{
public:
  struct Options
  {
    // Given while there are few samples.
    Tokens defaultUsual{ 128 };
    Tokens defaultHigh{ 1024 };
    // Answers needed before the histogram counts.
    std::uint32_t minSamples = 8;
    // When so many are in the histogram, all counts are halved.
    std::uint32_t fadeAt = 512;
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

  static std::string KeyOf(const RequestInfo& aRequest);

  Options mOptions;
  std::unordered_map<std::string, Histogram> mTypes;
};

// The lane that the estimate puts a request into whose prompt has so many
// tokens that no cache holds.
Lane
LaneOf(Tokens aUncachedPrompt, const SizeEstimate& aEstimate);

} // namespace firefly::policy

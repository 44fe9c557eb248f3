#pragma once

// What one run of the bench measured, and how it is printed.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace firefly::bench {

// Samples with quantiles; the order of samples doesn't matter.
class Samples
{
public:
  void Add(double aValue) { mValues.push_back(aValue); }

  // The quantile by nearest rank, or nothing if there are no samples.
  [[nodiscard]] std::optional<double> Quantile(double aPart) const;

  [[nodiscard]] std::size_t Count() const { return mValues.size(); }

private:
  std::vector<double> mValues;
};

// Weighted samples in fine buckets, for values too many to keep.
class GapHistogram
{
public:
  void Add(double aSeconds, std::uint32_t aCount);
  [[nodiscard]] std::optional<double> Quantile(double aPart) const;

private:
  // Counts by tenths of a millisecond.
  std::map<std::uint32_t, std::uint64_t> mCounts;
  std::uint64_t mTotal = 0;
};

// A second of a run.
struct SecondOfRun
{
  double offeredWorth = 0;
  // By the second in which the request arrived.
  double goodputWorth = 0;
};

struct RunResult
{
  std::string scenario;
  std::string policy;
  std::string deployment;
  std::vector<std::string> without;
  std::uint64_t seed = 0;
  std::uint32_t entries = 0;
  double load = 0;
  bool calm = false;

  std::uint64_t offered = 0;
  std::uint64_t answered = 0;
  std::uint64_t answeredInTime = 0;
  double goodputWorth = 0;
  double offeredWorth = 0;
  std::uint64_t roleChanges = 0;
  // Changes of an engine back to its former role before the payback time.
  std::uint64_t roleChangesBackEarly = 0;
  // Nothing for a bound that runs no engines.
  std::optional<double> firstTokenP50;
  std::optional<double> firstTokenP95;
  std::optional<double> firstTokenP99;
  std::optional<double> shortP99;
  std::optional<double> tokenGapP95;
  std::uint64_t enginesCrashed = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t innocentsFailed = 0;
  std::uint64_t unanswered = 0;
  std::uint64_t retries = 0;
  std::uint64_t hedges = 0;
  std::uint64_t resumes = 0;
  // How uneven engines were loaded: the median coefficient of variation.
  std::optional<double> loadVariation;
  // The part of prefix tokens that engines found in their caches.
  std::optional<double> prefixHitPart;
  std::vector<SecondOfRun> seconds;
  // Goodput as a part of the offered worth, for each phase of the scenario.
  std::vector<double> phaseGoodput;

  // One JSON object, the same bytes for the same values.
  [[nodiscard]] std::string ToJson() const;

  // Lines of "name value" for people.
  [[nodiscard]] std::string ToText() const;
};

} // namespace firefly::bench

#pragma once

// The measurements of one simulation run, and their output as text and JSON.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace firefly::bench {

// A set of samples with quantiles.
class Samples
{
public:
  void Add(double aValue) { mValues.push_back(aValue); }

  // The quantile by the nearest-rank method; none without samples.
  [[nodiscard]] std::optional<double> Quantile(double aQuantile) const;

  [[nodiscard]] std::size_t Count() const { return mValues.size(); }

private:
  std::vector<double> mValues;
};

// A histogram of token gaps with fine buckets, since a run has too many gaps to
// keep each of them.
class TokenGapHistogram
{
public:
  void Add(double aSeconds, std::uint32_t aCount);
  [[nodiscard]] std::optional<double> Quantile(double aQuantile) const;

private:
  // Counts by gap in units of 0.1 ms.
  std::map<std::uint32_t, std::uint64_t> mCounts;
  std::uint64_t mTotal = 0;
};

// The totals of one second of a run.
struct SecondTotals
{
  double offeredWorth = 0;
  // Counted in the second in which the request arrived.
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
  // Set only for the scenario "steady".
  double load = 0;
  bool calm = false;

  std::uint64_t offered = 0;
  std::uint64_t answered = 0;
  std::uint64_t answeredInTime = 0;
  double goodputWorth = 0;
  double offeredWorth = 0;
  std::uint64_t roleChanges = 0;
  // Changes of an engine back to its former role before the payback time of the
  // previous change had passed.
  std::uint64_t roleChangesBackEarly = 0;
  // Quantiles in seconds: the time to the first token, the time to the complete
  // answer of lookups, and the gap between tokens at the engines. None without
  // samples, as for the clairvoyant bound, which runs no engines.
  std::optional<double> firstTokenP50;
  std::optional<double> firstTokenP95;
  std::optional<double> firstTokenP99;
  std::optional<double> shortP99;
  std::optional<double> tokenGapP95;
  std::uint64_t enginesCrashed = 0;
  std::uint64_t refused = 0;
  // Includes each failed send of a poison request; innocentsFailed does not.
  std::uint64_t failed = 0;
  std::uint64_t innocentsFailed = 0;
  std::uint64_t unanswered = 0;
  std::uint64_t retries = 0;
  std::uint64_t hedges = 0;
  std::uint64_t resumes = 0;
  // The median over time of the coefficient of variation of the engines' load,
  // which shows how unevenly they were loaded.
  std::optional<double> loadVariation;
  // The fraction of prefix tokens that engines found in their caches.
  std::optional<double> prefixHitShare;
  std::vector<SecondTotals> seconds;
  // Goodput as a fraction of the offered worth, for each phase of the scenario.
  std::vector<double> phaseGoodput;

  // One JSON object. Equal results give the same bytes.
  [[nodiscard]] std::string ToJson() const;

  // One line of "name value" for each value.
  [[nodiscard]] std::string ToText() const;
};

} // namespace firefly::bench

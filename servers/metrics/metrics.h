#pragma once

// Counters, gauges, histograms and summaries of one process. The series of a
// family share a metric name and differ in label values; their number is
// bounded.

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace firefly {

// A label of a series.
struct MetricLabel
{
  std::string name;
  std::string value;

  bool operator==(const MetricLabel&) const = default;
  auto operator<=>(const MetricLabel&) const = default;
};

using MetricLabels = std::vector<MetricLabel>;

// A line of the text format: a series and its value.
struct MetricSample
{
  std::string name;
  MetricLabels labels;
  double value = 0;
};

// A counter, which never decreases.
class Counter
{
public:
  // A negative amount is ignored.
  void Add(double aAmount = 1);
  [[nodiscard]] double Value() const { return mValue; }

private:
  double mValue = 0;
};

// A value that can increase and decrease.
class Gauge
{
public:
  void Set(double aValue) { mValue = aValue; }
  void Add(double aAmount) { mValue += aAmount; }
  [[nodiscard]] double Value() const { return mValue; }

private:
  double mValue = 0;
};

// Counts observations in buckets with fixed upper bounds, so that the counts of
// several processes can be added.
class Histogram
{
public:
  // The bounds must be in ascending order. A bucket for all larger values is
  // added.
  explicit Histogram(const std::vector<double>& aBounds);

  void Observe(double aValue);
  [[nodiscard]] std::uint64_t Count() const { return mCount; }
  [[nodiscard]] double Sum() const { return mSum; }

  // The number of observations that are at most the bound with that index.
  [[nodiscard]] std::uint64_t CountUpTo(std::size_t aIndex) const;
  [[nodiscard]] const std::vector<double>& Bounds() const { return mBounds; }

private:
  std::vector<double> mBounds;
  std::vector<std::uint64_t> mCounts;
  std::uint64_t mCount = 0;
  double mSum = 0;
};

// Mean and estimated quantiles since the start of the process, in constant
// memory.
class Summary
{
public:
  Summary();
  ~Summary();
  Summary(const Summary&) = delete;
  Summary& operator=(const Summary&) = delete;

  void Observe(double aValue);
  [[nodiscard]] std::uint64_t Count() const;
  [[nodiscard]] double Sum() const;
  [[nodiscard]] double Mean() const; // 0 without observations

  // The supported quantiles.
  static constexpr std::array<double, 3> kQuantiles{ 0.5, 0.95, 0.99 };

  // The estimate of one of kQuantiles. Nothing for other quantiles, and until
  // there are enough observations for an estimate.
  [[nodiscard]] std::optional<double> Quantile(double aQuantile) const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

// The name, help text and labels of a family.
struct MetricOptions
{
  std::string name;
  std::string help;
  std::vector<std::string> labelNames = {};
  std::vector<double> bounds = {}; // of a histogram's buckets
  // Bounds the memory: once there are this many series, all new label values
  // share one series whose label values are all "other".
  std::size_t maxSeries = 2048;
};

// The series of one metric, by label values.
template<typename T>
class MetricFamily
{
public:
  explicit MetricFamily(MetricOptions aOptions)
    : mOptions(std::move(aOptions))
  {
  }

  // The series with those label values, created on first use. The reference is
  // valid as long as the family. There must be one value for each label name.
  T& With(const std::vector<std::string>& aValues);

  [[nodiscard]] const MetricOptions& Options() const { return mOptions; }
  [[nodiscard]] const std::map<std::vector<std::string>, std::unique_ptr<T>>&
  Series() const
  {
    return mSeries;
  }

private:
  MetricOptions mOptions;
  std::map<std::vector<std::string>, std::unique_ptr<T>> mSeries;
};

// All metrics of a process. Not thread-safe.
class MetricRegistry
{
public:
  // Return the family of that name, created on the first call; later calls use
  // only the name of the options. The reference is valid as long as the
  // registry.
  MetricFamily<Counter>& Counters(const MetricOptions& aOptions);
  MetricFamily<Gauge>& Gauges(const MetricOptions& aOptions);
  MetricFamily<Histogram>& Histograms(const MetricOptions& aOptions);
  MetricFamily<Summary>& Summaries(const MetricOptions& aOptions);

  // Registers a callback that runs before each exposition, to update gauges.
  void OnExpose(std::function<void()> aCallback);

  // All series in the Prometheus text format, version 0.0.4.
  [[nodiscard]] std::string Expose() const;

  // The content type of Expose's text.
  static constexpr const char* kContentType =
    "text/plain; version=0.0.4; charset=utf-8";

private:
  template<typename T>
  using Families = std::map<std::string, MetricFamily<T>>;

  Families<Counter> mCounters;
  Families<Gauge> mGauges;
  Families<Histogram> mHistograms;
  Families<Summary> mSummaries;
  std::vector<std::function<void()>> mCallbacks;
};

// Histogram bounds in seconds for the time to first token.
std::vector<double>
FirstTokenBounds();

// Histogram bounds in seconds for the time between two tokens.
std::vector<double>
TokenGapBounds();

// Adds metrics for the start time, CPU time and resident memory of this
// process. The start time is the time of this call, so call it once at the
// start.
void
AddProcessMetrics(MetricRegistry& aRegistry);

} // namespace firefly

#pragma once

// Writes and parses the Prometheus text format, version 0.0.4.

#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "servers/metrics/metrics.h"

namespace firefly {

// True if the name is a valid metric name without colons, which are reserved
// for recording rules.
bool
IsMetricName(std::string_view aName);

// Builds the text; Write appends one family.
class MetricsWriter
{
public:
  void Write(const MetricFamily<Counter>& aFamily);
  void Write(const MetricFamily<Gauge>& aFamily);
  void Write(const MetricFamily<Histogram>& aFamily);
  void Write(const MetricFamily<Summary>& aFamily);

  [[nodiscard]] const std::string& Text() const { return mText; }

private:
  void WriteHeader(const MetricOptions& aOptions, std::string_view aType);
  void WriteSample(std::string_view aName,
                   const MetricLabels& aLabels,
                   double aValue);

  std::string mText;
};

// The line of a syntax error, counted from 1, and its description.
struct MetricsTextError
{
  std::size_t line = 0;
  std::string message;
};

// Parses all samples of a text; comments and time stamps are skipped. A single
// invalid line rejects the whole text, so that no report is based on a part of
// it.
tl::expected<std::vector<MetricSample>, MetricsTextError>
ParseMetrics(std::string_view aText);

} // namespace firefly

#pragma once

// The Prometheus text format, version 0.0.4: writing it and reading it back.

#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "servers/metrics/metrics.h"

namespace firefly {

// Whether the name may stand in the text format without colons.
bool
IsMetricName(std::string_view aName);

// Builds the text, family by family.
class MetricsWriter
{
public:
  void Write(const MetricFamily<Counter>& aFamily);
  void Write(const MetricFamily<Gauge>& aFamily);
  void Write(const MetricFamily<Histogram>& aFamily);
  void Write(const MetricFamily<Summary>& aFamily);

  [[nodiscard]] const std::string& Text() const { return mText; }

private:
  void WriteHead(const MetricOptions& aOptions, std::string_view aType);
  void WriteSample(std::string_view aName,
                   const MetricLabels& aLabels,
                   double aValue);

  std::string mText;
};

// Why a text is no such text: the line's number and what is wrong.
struct MetricsTextError
{
  std::size_t line = 0;
  std::string message;
};

// Reads all samples of a text; comments and time stamps are skipped. Strict:
// one wrong line refuses the text, so that no report rests on half of it.
tl::expected<std::vector<MetricSample>, MetricsTextError>
ParseMetrics(std::string_view aText);

} // namespace firefly

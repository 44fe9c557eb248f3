#pragma once

// Samples of the counters that the burn report is computed from: those of each
// entry at one point in time.

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "core/clock.h"
#include "core/ids.h"
#include "servers/metrics/metrics.h"

namespace firefly {

// Objectives are set for each service and request type.
struct BurnKey
{
  ServiceId service;
  RequestType type;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive if defaulted
  auto operator<=>(const BurnKey&) const = default;
};

// An amount for each outcome of a request.
struct OutcomeAmounts
{
  double inTime = 0;
  double late = 0;
  double refused = 0;
  double failed = 0;

  [[nodiscard]] double Bad() const { return late + refused + failed; }
  [[nodiscard]] double Total() const { return inTime + Bad(); }
  bool operator==(const OutcomeAmounts&) const = default;
};

// Cumulative counts by upper bound in seconds, inclusive; +Inf is the last.
using BucketCounts = std::map<double, double>;

// All counters of one service and request type.
struct BurnCounters
{
  OutcomeAmounts requests;
  OutcomeAmounts worth; // in units of currency
  double refunds = 0;   // in units of currency
  BucketCounts firstToken;
  BucketCounts tokenGap;

  bool operator==(const BurnCounters&) const = default;
};

using BurnCountersByKey = std::map<BurnKey, BurnCounters>;

// Adds the amounts, multiplied by the factor, to the sum.
void
AddScaled(BurnCounters& aSum, const BurnCounters& aAmounts, double aFactor);

// The counters of one entry, or the error that prevented reading them.
struct EntrySample
{
  std::string url;
  std::string error;    // empty when the entry answered
  double startTime = 0; // of the process, in seconds since 1970
  BurnCountersByKey counters;

  bool operator==(const EntrySample&) const = default;
};

// The samples of all entries at one point in time.
struct BurnSnapshot
{
  WallTime time;
  std::vector<EntrySample> entries;

  bool operator==(const BurnSnapshot&) const = default;
};

// Extracts the counters that the report needs from an entry's metrics.
EntrySample
MakeEntrySample(std::string aUrl, const std::vector<MetricSample>& aSamples);

// Converts a snapshot to one line of JSON without a line end, and back. The
// error of ParseSnapshot describes what is wrong with the line.
std::string
FormatSnapshot(const BurnSnapshot& aSnapshot);
tl::expected<BurnSnapshot, std::string>
ParseSnapshot(const std::string& aLine);

} // namespace firefly

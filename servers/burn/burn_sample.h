#pragma once

// What the burn report knows of one moment: the counters of each entry.

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

// The unit that objectives are set for.
struct BurnKey
{
  ServiceId service;
  RequestType type;

  // NOLINTNEXTLINE(modernize-use-nullptr): a false finding on defaults
  auto operator<=>(const BurnKey&) const = default;
};

// An amount for each way that a request can end.
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

// Counts up to and including each upper bound in seconds; +Inf is the last.
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

// Adds the amounts times the factor to the sum.
void
AddScaled(BurnCounters& aSum, const BurnCounters& aAmounts, double aFactor);

// One entry's counters, or why it gave none.
struct EntrySample
{
  std::string url;
  std::string error;    // empty when the entry answered
  double startTime = 0; // of the process, in seconds since 1970
  BurnCountersByKey counters;

  bool operator==(const EntrySample&) const = default;
};

// All entries at one moment.
struct BurnSnapshot
{
  WallTime time;
  std::vector<EntrySample> entries;

  bool operator==(const BurnSnapshot&) const = default;
};

// Picks the report's counters from an entry's metrics.
EntrySample
MakeEntrySample(std::string aUrl, const std::vector<MetricSample>& aSamples);

// The snapshot as a line of JSON, without a line end, and back.
std::string
FormatSnapshot(const BurnSnapshot& aSnapshot);
tl::expected<BurnSnapshot, std::string>
ParseSnapshot(const std::string& aLine);

} // namespace firefly

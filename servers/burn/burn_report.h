#pragma once

// The burn report: how fast each service and request type uses up its error
// budget. Burn rates are computed over pairs of a long and a short window, and
// an alert needs both to be high: the long one shows that the problem lasts,
// the short one that it is still present.

#include <array>
#include <optional>
#include <string>
#include <vector>

#include "servers/burn/burn_history.h"
#include "servers/settings/settings.h"

namespace firefly {

// The service-level objective of a service and request type.
struct BurnObjective
{
  double share = 0.99; // fraction of requests that should end in time
  std::optional<Duration> firstToken; // target at the 95th percentile
  std::optional<Duration> tokenGap;   // target at the 95th percentile
};

// The objectives of all request types in the settings. Only model services have
// targets for the first token and the token gap.
std::map<BurnKey, BurnObjective>
ObjectivesOf(const Settings& aSettings);

// A pair of windows. An alert fires if both burn rates reach the threshold.
struct BurnWindow
{
  std::string_view name;
  Duration longSpan;
  Duration shortSpan;
  double threshold; // burn rate; 1 uses up the budget in exactly kBudgetPeriod
  std::string_view severity;
};

// The monitored window pairs, the most urgent first. A burn rate at the
// threshold uses 2 %, 5 % and 10 % of the period's budget within the long
// window.
inline constexpr std::array<BurnWindow, 3> kBurnWindows{ {
  { .name = "1 h / 5 min",
    .longSpan = std::chrono::hours(1),
    .shortSpan = std::chrono::minutes(5),
    .threshold = 14.4,
    .severity = "page" },
  { .name = "6 h / 30 min",
    .longSpan = std::chrono::hours(6),
    .shortSpan = std::chrono::minutes(30),
    .threshold = 6,
    .severity = "page" },
  { .name = "3 d / 6 h",
    .longSpan = std::chrono::hours(72),
    .shortSpan = std::chrono::hours(6),
    .threshold = 1,
    .severity = "ticket" },
} };

// The period that the error budget covers.
constexpr Duration kBudgetPeriod = std::chrono::hours(24 * 30);

enum class AlertState
{
  kQuiet,
  kFiring,
  kUnknown, // the samples cover less time than the short window
};

// The burn rates of one pair of windows.
struct WindowBurn
{
  const BurnWindow* window = nullptr;
  double longBurn = 0;
  double shortBurn = 0;
  Duration covered{}; // time of the long window that samples cover
  AlertState state = AlertState::kUnknown;
};

enum class BurnTrend
{
  kUnknown,
  kFalling,
  kSteady,
  kRising,
};

// One point of a plot.
struct BurnPoint
{
  WallTime time;
  double burn = 0;
};

// The burn report of one service and request type.
struct BurnRow
{
  BurnKey key;
  BurnObjective objective;
  BurnCounters counters; // over the whole time covered
  double errorRatio = 0;
  // Fraction of the period's budget that was used over the time covered.
  double budgetUsed = 0;
  // Time until the budget is used up at the burn rate of the most urgent pair's
  // short window: zero if it is used up already, none if that rate is at
  // most 1.
  std::optional<Duration> exhaustedIn;
  std::vector<WindowBurn> windows;
  BurnTrend trend = BurnTrend::kUnknown;
  std::optional<double> firstToken95; // seconds
  std::optional<double> tokenGap95;   // seconds
  std::vector<BurnPoint> points;
};

// A firing alert and the action that is suggested to the operator.
struct BurnAlert
{
  std::string severity;
  BurnKey key;
  std::string text;
  std::string action;
};

// A queried entry and its reachability.
struct BurnEntry
{
  std::string url;
  EntryState state;
};

struct BurnReport
{
  WallTime from;
  WallTime to;
  std::vector<BurnEntry> entries;
  std::vector<BurnRow> rows;
  std::vector<BurnAlert> alerts;
};

// Computes the report. Request types without an objective get the default one.
BurnReport
MakeBurnReport(const BurnHistory& aHistory,
               const std::map<BurnKey, BurnObjective>& aObjectives);

// The error ratio divided by the error budget. A rate of 1 uses up the budget
// exactly at the end of its period.
double
BurnRate(const OutcomeAmounts& aRequests, double aObjective);

// The quantile by linear interpolation within the buckets; none without
// observations. A quantile in the +Inf bucket is reported as the last finite
// bound.
std::optional<double>
QuantileOf(const BucketCounts& aCounts, double aQuantile);

// Names of the values in reports.
std::string_view
NameOf(BurnTrend aTrend);
std::string_view
NameOf(AlertState aState);

} // namespace firefly

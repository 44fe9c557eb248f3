#pragma once

// The report on service-level burn: how fast each service and request type
// uses up its error budget, over pairs of a long and a short window, so that
// an alert needs both lasting and present trouble.

#include <array>
#include <optional>
#include <string>
#include <vector>

#include "servers/burn/burn_history.h"
#include "servers/settings/settings.h"

namespace firefly {

// What a service and request type should reach.
struct BurnObjective
{
  double share = 0.99;                // of requests that should end in time
  std::optional<Duration> firstToken; // for 95 in 100
  std::optional<Duration> tokenGap;   // for 95 in 100
};

// The objectives of all request types of the settings.
std::map<BurnKey, BurnObjective>
ObjectivesOf(const Settings& aSettings);

// A pair of windows and the burn rate at which both together raise an alert.
struct BurnWindow
{
  std::string_view name;
  Duration longSpan;
  Duration shortSpan;
  double threshold; // budgets used in the time that one is meant to last
  std::string_view severity;
};

// The pairs that are watched, the most urgent first. A threshold uses that
// share of the period's budget within the long window: 2 %, 5 % and 10 %.
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

// For which the error budget is meant to last.
constexpr Duration kBudgetPeriod = std::chrono::hours(24 * 30);

enum class AlertState
{
  kQuiet,
  kFiring,
  kUnknown, // the samples cover less than the short window
};

// The burn rates of one pair of windows.
struct WindowBurn
{
  const BurnWindow* window = nullptr;
  double longBurn = 0;
  double shortBurn = 0;
  Duration covered{}; // of the long window, by samples
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

// All that is known of one service and request type.
struct BurnRow
{
  BurnKey key;
  BurnObjective objective;
  BurnCounters counters; // over all the time covered
  double errorRatio = 0;
  double budgetUsed = 0; // share of the period's budget, over the time covered
  // Until the budget is gone at the newest rate; none if it would last.
  std::optional<Duration> exhaustedIn;
  std::vector<WindowBurn> windows;
  BurnTrend trend = BurnTrend::kUnknown;
  std::optional<double> firstToken95; // seconds
  std::optional<double> tokenGap95;   // seconds
  std::vector<BurnPoint> points;
};

// One thing that an operator should look at.
struct BurnAlert
{
  std::string severity;
  BurnKey key;
  std::string text;
  std::string action;
};

// An entry that was asked.
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

// Works out the report. Request types without an objective get the default.
BurnReport
MakeBurnReport(const BurnHistory& aHistory,
               const std::map<BurnKey, BurnObjective>& aObjectives);

// The rate at which the budget is used: 1 uses it up just at its period's end.
double
BurnRate(const OutcomeAmounts& aRequests, double aObjective);

// The quantile by linear interpolation within the buckets; none without
// observations. A quantile above the last finite bound is that bound.
std::optional<double>
QuantileOf(const BucketCounts& aCounts, double aQuantile);

// Words for reports.
std::string_view
NameOf(BurnTrend aTrend);
std::string_view
NameOf(AlertState aState);

} // namespace firefly

#include "servers/burn/burn_report.h"

#include <algorithm>
#include <cmath>

#include "servers/burn/burn_alerts.h"

namespace firefly {

namespace {

constexpr double kTailQuantile = 0.95;
constexpr int kPlotPoints = 96;

// A burn rate between these factors of the previous one counts as steady.
constexpr double kRisingFactor = 1.25;
constexpr double kFallingFactor = 0.8;

// The counters over the newest part of the history.
BurnCounters
CountersOverLast(const BurnHistory& aHistory,
                 const BurnKey& aKey,
                 Duration aSpan)
{
  const auto span =
    std::chrono::duration_cast<std::chrono::milliseconds>(aSpan);
  return aHistory.CountersBetween(aKey, aHistory.End() - span, aHistory.End());
}

WindowBurn
ComputeWindow(const BurnHistory& aHistory,
              const BurnKey& aKey,
              double aObjective,
              const BurnWindow& aWindow)
{
  const Duration covered = aHistory.End() - aHistory.Begin();
  WindowBurn burn{
    .window = &aWindow,
    .longBurn = BurnRate(
      CountersOverLast(aHistory, aKey, aWindow.longSpan).requests, aObjective),
    .shortBurn = BurnRate(
      CountersOverLast(aHistory, aKey, aWindow.shortSpan).requests, aObjective),
    .covered = std::min(covered, aWindow.longSpan),
  };
  if (covered < aWindow.shortSpan) {
    return burn;
  }
  const bool firing =
    burn.longBurn >= aWindow.threshold && burn.shortBurn >= aWindow.threshold;
  burn.state = firing ? AlertState::kFiring : AlertState::kQuiet;
  return burn;
}

// Compares the burn rate of the newest interval with that of the equally long
// interval before it. The interval is a quarter of the covered time, but at
// most the short window of the most urgent pair.
BurnTrend
ComputeTrend(const BurnHistory& aHistory,
             const BurnKey& aKey,
             double aObjective)
{
  const auto covered = aHistory.End() - aHistory.Begin();
  const auto shortest = std::chrono::duration_cast<std::chrono::milliseconds>(
    kBurnWindows.front().shortSpan);
  const auto span = std::min(covered / 4, shortest);
  const auto middle = aHistory.End() - span;
  const auto now =
    aHistory.CountersBetween(aKey, middle, aHistory.End()).requests;
  const auto before =
    aHistory.CountersBetween(aKey, middle - span, middle).requests;
  if (span.count() == 0 || now.Total() == 0 || before.Total() == 0) {
    return BurnTrend::kUnknown;
  }
  const double rate = BurnRate(now, aObjective);
  const double previousRate = BurnRate(before, aObjective);
  if (rate > previousRate * kRisingFactor) {
    return BurnTrend::kRising;
  }
  return rate < previousRate * kFallingFactor ? BurnTrend::kFalling
                                              : BurnTrend::kSteady;
}

std::vector<BurnPoint>
ComputePoints(const BurnHistory& aHistory,
              const BurnKey& aKey,
              double aObjective)
{
  std::vector<BurnPoint> points;
  const auto covered = aHistory.End() - aHistory.Begin();
  if (covered.count() < kPlotPoints) {
    return points;
  }
  points.reserve(kPlotPoints);
  for (int n = 0; n < kPlotPoints; ++n) {
    const auto from = aHistory.Begin() + covered * n / kPlotPoints;
    const auto to = aHistory.Begin() + covered * (n + 1) / kPlotPoints;
    const auto amounts = aHistory.CountersBetween(aKey, from, to);
    points.push_back({ to, BurnRate(amounts.requests, aObjective) });
  }
  return points;
}

std::optional<Duration>
TimeToExhaustion(double aBudgetUsed, double aBurn)
{
  if (aBudgetUsed >= 1) {
    return Duration::zero();
  }
  if (aBurn <= 1) {
    return std::nullopt;
  }
  return FromSeconds((1 - aBudgetUsed) * ToSeconds(kBudgetPeriod) / aBurn);
}

BurnRow
MakeRow(const BurnHistory& aHistory,
        const BurnKey& aKey,
        const BurnObjective& aObjective)
{
  const Duration covered = aHistory.End() - aHistory.Begin();
  BurnRow row{ .key = aKey,
               .objective = aObjective,
               .counters = aHistory.CountersBetween(
                 aKey, aHistory.Begin(), aHistory.End()),
               .exhaustedIn = {},
               .windows = {},
               .firstToken95 = {},
               .tokenGap95 = {},
               .points = {} };
  const auto& requests = row.counters.requests;
  if (requests.Total() > 0) {
    row.errorRatio = requests.Bad() / requests.Total();
  }
  row.budgetUsed = BurnRate(requests, aObjective.share) * ToSeconds(covered) /
                   ToSeconds(kBudgetPeriod);
  for (const auto& it : kBurnWindows) {
    row.windows.push_back(ComputeWindow(aHistory, aKey, aObjective.share, it));
  }
  row.exhaustedIn =
    TimeToExhaustion(row.budgetUsed, row.windows.front().shortBurn);
  row.trend = ComputeTrend(aHistory, aKey, aObjective.share);
  row.firstToken95 = QuantileOf(row.counters.firstToken, kTailQuantile);
  row.tokenGap95 = QuantileOf(row.counters.tokenGap, kTailQuantile);
  row.points = ComputePoints(aHistory, aKey, aObjective.share);
  return row;
}

} // namespace

std::map<BurnKey, BurnObjective>
ObjectivesOf(const Settings& aSettings)
{
  std::map<BurnKey, BurnObjective> objectives;
  for (const auto& service : aSettings.services) {
    for (const auto& type : service.requestTypes) {
      BurnObjective objective{ .share = type.objective,
                               .firstToken = {},
                               .tokenGap = {} };
      if (service.kind == ServiceKind::kModel) {
        objective.firstToken = service.firstTokenTarget;
        objective.tokenGap = service.tokenGapTarget;
      }
      objectives[{ service.id, type.name }] = objective;
    }
  }
  return objectives;
}

BurnReport
MakeBurnReport(const BurnHistory& aHistory,
               const std::map<BurnKey, BurnObjective>& aObjectives)
{
  BurnReport report{ .from = aHistory.Begin(),
                     .to = aHistory.End(),
                     .entries = {},
                     .rows = {},
                     .alerts = {} };
  for (const auto& [url, state] : aHistory.Entries()) {
    report.entries.push_back({ url, state });
  }
  for (const auto& key : aHistory.Keys()) {
    const auto found = aObjectives.find(key);
    const auto objective =
      found == aObjectives.end() ? BurnObjective{} : found->second;
    report.rows.push_back(MakeRow(aHistory, key, objective));
  }
  report.alerts = MakeAlerts(report);
  return report;
}

double
BurnRate(const OutcomeAmounts& aRequests, double aObjective)
{
  if (aRequests.Total() <= 0) {
    return 0;
  }
  return aRequests.Bad() / aRequests.Total() / (1 - aObjective);
}

std::optional<double>
QuantileOf(const BucketCounts& aCounts, double aQuantile)
{
  if (aCounts.empty() || aCounts.rbegin()->second <= 0) {
    return std::nullopt;
  }
  const double wanted = aCounts.rbegin()->second * aQuantile;
  double bound = 0;
  double count = 0;
  for (const auto& [upper, cumulative] : aCounts) {
    if (std::isinf(upper)) {
      break;
    }
    if (cumulative >= wanted && cumulative > count) {
      return bound + (upper - bound) * (wanted - count) / (cumulative - count);
    }
    bound = upper;
    count = cumulative;
  }
  return bound;
}

std::string_view
NameOf(BurnTrend aTrend)
{
  switch (aTrend) {
    case BurnTrend::kFalling:
      return "falling";
    case BurnTrend::kSteady:
      return "steady";
    case BurnTrend::kRising:
      return "rising";
    case BurnTrend::kUnknown:
      break;
  }
  return "unknown";
}

std::string_view
NameOf(AlertState aState)
{
  switch (aState) {
    case AlertState::kQuiet:
      return "quiet";
    case AlertState::kFiring:
      return "firing";
    case AlertState::kUnknown:
      break;
  }
  return "unknown";
}

} // namespace firefly

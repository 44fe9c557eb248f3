#include "servers/burn/burn_report.h"

#include <algorithm>
#include <cmath>

#include "servers/burn/burn_alerts.h"

namespace firefly {

namespace {

constexpr double kTailQuantile = 0.95;
constexpr int kPlotPoints = 96;

// Changes of the burn rate within these factors count as steady.
constexpr double kRisingFactor = 1.25;
constexpr double kFallingFactor = 0.8;

BurnCounters
Last(const BurnHistory& aHistory, const BurnKey& aKey, Duration aSpan)
{
  const auto span =
    std::chrono::duration_cast<std::chrono::milliseconds>(aSpan);
  return aHistory.Between(aKey, aHistory.End() - span, aHistory.End());
}

WindowBurn
MakeWindow(const BurnHistory& aHistory,
           const BurnKey& aKey,
           double aObjective,
           const BurnWindow& aWindow)
{
  const Duration known = aHistory.End() - aHistory.Begin();
  WindowBurn burn{
    .window = &aWindow,
    .longBurn =
      BurnRate(Last(aHistory, aKey, aWindow.longSpan).requests, aObjective),
    .shortBurn =
      BurnRate(Last(aHistory, aKey, aWindow.shortSpan).requests, aObjective),
    .covered = std::min(known, aWindow.longSpan),
  };
  if (known < aWindow.shortSpan) {
    return burn;
  }
  const bool firing =
    burn.longBurn >= aWindow.threshold && burn.shortBurn >= aWindow.threshold;
  burn.state = firing ? AlertState::kFiring : AlertState::kQuiet;
  return burn;
}

// Compares the newest quarter of the time, or the shortest window, with as
// much before it.
BurnTrend
MakeTrend(const BurnHistory& aHistory, const BurnKey& aKey, double aObjective)
{
  const auto known = aHistory.End() - aHistory.Begin();
  const auto shortest = std::chrono::duration_cast<std::chrono::milliseconds>(
    kBurnWindows.front().shortSpan);
  const auto span = std::min(known / 4, shortest);
  const auto middle = aHistory.End() - span;
  const auto now = aHistory.Between(aKey, middle, aHistory.End()).requests;
  const auto before = aHistory.Between(aKey, middle - span, middle).requests;
  if (span.count() == 0 || now.Total() == 0 || before.Total() == 0) {
    return BurnTrend::kUnknown;
  }
  const double rate = BurnRate(now, aObjective);
  const double past = BurnRate(before, aObjective);
  if (rate > past * kRisingFactor) {
    return BurnTrend::kRising;
  }
  return rate < past * kFallingFactor ? BurnTrend::kFalling
                                      : BurnTrend::kSteady;
}

std::vector<BurnPoint>
MakePoints(const BurnHistory& aHistory, const BurnKey& aKey, double aObjective)
{
  std::vector<BurnPoint> points;
  const auto known = aHistory.End() - aHistory.Begin();
  if (known.count() < kPlotPoints) {
    return points;
  }
  points.reserve(kPlotPoints);
  for (int n = 0; n < kPlotPoints; ++n) {
    const auto from = aHistory.Begin() + known * n / kPlotPoints;
    const auto to = aHistory.Begin() + known * (n + 1) / kPlotPoints;
    const auto amounts = aHistory.Between(aKey, from, to);
    points.push_back({ to, BurnRate(amounts.requests, aObjective) });
  }
  return points;
}

std::optional<Duration>
ExhaustedIn(double aBudgetUsed, double aBurn)
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
  const Duration known = aHistory.End() - aHistory.Begin();
  BurnRow row{ .key = aKey,
               .objective = aObjective,
               .counters =
                 aHistory.Between(aKey, aHistory.Begin(), aHistory.End()),
               .exhaustedIn = {},
               .windows = {},
               .firstToken95 = {},
               .tokenGap95 = {},
               .points = {} };
  const auto& requests = row.counters.requests;
  if (requests.Total() > 0) {
    row.errorRatio = requests.Bad() / requests.Total();
  }
  row.budgetUsed = BurnRate(requests, aObjective.share) * ToSeconds(known) /
                   ToSeconds(kBudgetPeriod);
  for (const auto& it : kBurnWindows) {
    row.windows.push_back(MakeWindow(aHistory, aKey, aObjective.share, it));
  }
  row.exhaustedIn = ExhaustedIn(row.budgetUsed, row.windows.front().shortBurn);
  row.trend = MakeTrend(aHistory, aKey, aObjective.share);
  row.firstToken95 = QuantileOf(row.counters.firstToken, kTailQuantile);
  row.tokenGap95 = QuantileOf(row.counters.tokenGap, kTailQuantile);
  row.points = MakePoints(aHistory, aKey, aObjective.share);
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
  for (const auto& [upper, upTo] : aCounts) {
    if (std::isinf(upper)) {
      break;
    }
    if (upTo >= wanted && upTo > count) {
      return bound + (upper - bound) * (wanted - count) / (upTo - count);
    }
    bound = upper;
    count = upTo;
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

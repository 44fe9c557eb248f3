#include "servers/burn/burn_report.h"

#include <limits>

#include "tests/servers/burn/burn_fixture.h"

#include <CppUTest/TestHarness.h>

using firefly::AlertState;
using firefly::BurnHistory;
using firefly::BurnRate;
using firefly::BurnRow;
using firefly::BurnTrend;
using firefly::MakeBurnReport;
using firefly::MakeSample;
using firefly::OutcomeAmounts;
using firefly::QuantileOf;
using firefly::SnapshotAtMinute;
using firefly::ToSeconds;

TEST_GROUP(BurnReportTest)
{
  BurnHistory history;
  firefly::BurnReport report;

  // The report's only row, with the default objective of 99 %.
  const BurnRow& Row()
  {
    report = MakeBurnReport(history, {});
    LONGS_EQUAL(1, report.rows.size());
    return report.rows.front();
  }

  // Adds a snapshot for each minute, in which one entry counts these requests.
  void AddMinutes(int aFrom, int aTo, const OutcomeAmounts& aEachMinute)
  {
    for (int n = aFrom; n < aTo; ++n) {
      total.inTime += aEachMinute.inTime;
      total.late += aEachMinute.late;
      total.refused += aEachMinute.refused;
      total.failed += aEachMinute.failed;
      history.Add(SnapshotAtMinute(n + 1, { MakeSample("a", total) }));
    }
  }

  OutcomeAmounts total;

  void setup() override
  {
    history.Add(SnapshotAtMinute(0, { MakeSample("a", {}) }));
  }
};

TEST(BurnReportTest, BurnRateIsTheErrorRatioDividedByTheBudget)
{
  DOUBLES_EQUAL(2, BurnRate({ .inTime = 980, .late = 20 }, 0.99), 1e-9);
  DOUBLES_EQUAL(
    40,
    BurnRate({ .inTime = 960, .late = 10, .refused = 20, .failed = 10 }, 0.999),
    1e-9);
  DOUBLES_EQUAL(0, BurnRate({}, 0.99), 0);
}

TEST(BurnReportTest, ComputesTheBudgetUsedOfThirtyDays)
{
  // A burn rate of 10 for one hour of 720: 10 / 720.
  AddMinutes(0, 60, { .inTime = 90, .late = 10 });
  const auto& row = Row();
  DOUBLES_EQUAL(0.1, row.errorRatio, 1e-9);
  DOUBLES_EQUAL(10.0 / 720, row.budgetUsed, 1e-9);
  // The rest of the budget lasts 720 h * (1 - 10/720) / 10 = 71 h.
  DOUBLES_EQUAL(71 * 3600, ToSeconds(*row.exhaustedIn), 1e-3);
}

TEST(BurnReportTest, AlertFiresOnlyIfBothWindowsExceedTheThreshold)
{
  // 50 min at burn rate 20, then 10 min without errors: the burn rate is 16.7
  // over the hour and 0 over the last five minutes.
  AddMinutes(0, 50, { .inTime = 80, .late = 20 });
  DOUBLES_EQUAL(20, Row().windows[0].longBurn, 1e-6);
  CHECK_TRUE(Row().windows[0].state == AlertState::kFiring);
  LONGS_EQUAL(1, report.alerts.size());
  STRCMP_EQUAL("page", report.alerts.front().severity.c_str());
  AddMinutes(50, 60, { .inTime = 100 });
  const auto& row = Row();
  DOUBLES_EQUAL(100.0 / 6, row.windows[0].longBurn, 1e-6);
  DOUBLES_EQUAL(0, row.windows[0].shortBurn, 1e-9);
  CHECK_TRUE(row.windows[0].state == AlertState::kQuiet);
}

TEST(BurnReportTest, AlertsOnceForTheMostUrgentFiringWindow)
{
  // A burn rate of 10 is below the threshold 14.4 and above 6.
  AddMinutes(0, 60, { .inTime = 90, .failed = 10 });
  const auto& row = Row();
  CHECK_TRUE(row.windows[0].state == AlertState::kQuiet);
  CHECK_TRUE(row.windows[1].state == AlertState::kFiring);
  DOUBLES_EQUAL(3600, ToSeconds(row.windows[1].covered), 1e-9);
  LONGS_EQUAL(1, report.alerts.size());
  STRCMP_CONTAINS("samples cover 60 min of the long one",
                  report.alerts.front().text.c_str());
  STRCMP_CONTAINS("fireflyctl fleet", report.alerts.front().action.c_str());
}

TEST(BurnReportTest, StateIsUnknownIfSamplesCoverLessThanTheShortWindow)
{
  AddMinutes(0, 4, { .late = 100 });
  for (const auto& it : Row().windows) {
    CHECK_TRUE(it.state == AlertState::kUnknown);
  }
  CHECK_TRUE(report.alerts.empty());
}

TEST(BurnReportTest, ComputesTheTrend)
{
  AddMinutes(0, 5, { .inTime = 99, .late = 1 });
  AddMinutes(5, 10, { .inTime = 99, .late = 1 });
  CHECK_TRUE(Row().trend == BurnTrend::kSteady);
  AddMinutes(10, 15, { .inTime = 90, .late = 10 });
  CHECK_TRUE(Row().trend == BurnTrend::kRising);
  AddMinutes(15, 20, { .inTime = 100 });
  CHECK_TRUE(Row().trend == BurnTrend::kFalling);
}

TEST(BurnReportTest, ReadsQuantilesFromBuckets)
{
  const double infinity = std::numeric_limits<double>::infinity();
  const firefly::BucketCounts counts{ { 0.1, 50 },
                                      { 0.2, 90 },
                                      { infinity, 100 } };
  DOUBLES_EQUAL(0.1, *QuantileOf(counts, 0.5), 1e-9);
  DOUBLES_EQUAL(0.15, *QuantileOf(counts, 0.7), 1e-9);
  DOUBLES_EQUAL(0.2, *QuantileOf(counts, 0.95), 1e-9);
  CHECK_FALSE(QuantileOf({}, 0.5).has_value());
  CHECK_FALSE(QuantileOf({ { infinity, 0 } }, 0.5).has_value());
}

#include "bench/compare.h"

#include <string>

#include "bench/html_report.h"

#include <CppUTest/TestHarness.h>

using firefly::bench::Comparison;
using firefly::bench::RunResult;
using firefly::bench::SpreadOf;
using firefly::bench::TargetResult;

namespace {

Comparison
MakeComparison()
{
  RunResult run;
  run.offeredWorth = 10;
  run.goodputWorth = 9;
  run.seconds.resize(8);
  Comparison comparison;
  comparison.options.deployments = { "hooghly" };
  comparison.cells.push_back({ "hooghly", "shift", "firefly", "", { run } });
  comparison.cells.push_back(
    { "hooghly", "shift", "clairvoyant", "", { run } });
  comparison.curve.push_back({ "hooghly", "firefly", 0.6, { 5, 4, 6 } });
  comparison.targets.push_back(
    { "hooghly", "engines crashed", true, 2, SpreadOf({ 3, 2, 4 }) });
  return comparison;
}

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

TEST_GROUP(CompareTest){};

TEST(CompareTest, SpreadIsTheMedianAndTheRange)
{
  const auto spread = SpreadOf({ 4, 1, 3, 2 });
  DOUBLES_EQUAL(2.5, spread.median, 0);
  DOUBLES_EQUAL(1, spread.min, 0);
  DOUBLES_EQUAL(4, spread.max, 0);
}

TEST(CompareTest, TargetIsAMaximumOrAMinimum)
{
  const TargetResult maximum{ "d", "t", true, 2, { 2, 1, 9 } };
  const TargetResult minimum{ "d", "t", false, 2, { 1.9, 1, 9 } };
  CHECK_TRUE(maximum.IsMet());
  CHECK_FALSE(minimum.IsMet());
}

TEST(CompareTest, AllFormatsShowAMissedTarget)
{
  const auto comparison = MakeComparison();
  CHECK_TRUE(Contains(comparison.ToText(), "MISSED"));
  CHECK_TRUE(Contains(comparison.ToJson(), "\"hit\": false"));
  // The clairvoyant bound has no latencies.
  CHECK_TRUE(Contains(comparison.ToJson(), "\"short_p99_s\": null"));
  const auto html = ToHtml(comparison);
  CHECK_TRUE(Contains(html, "<b>missed</b>"));
  CHECK_TRUE(Contains(html, "<svg"));
  CHECK_FALSE(Contains(html, "http"));
}

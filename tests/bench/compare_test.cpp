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
Has(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

TEST_GROUP(CompareTest){};

TEST(CompareTest, SpreadIsTheMedianAndTheRange)
{
  const auto spread = SpreadOf({ 4, 1, 3, 2 });
  DOUBLES_EQUAL(2.5, spread.median, 0);
  DOUBLES_EQUAL(1, spread.least, 0);
  DOUBLES_EQUAL(4, spread.most, 0);
}

TEST(CompareTest, ATargetIsJudgedByItsOwnSide)
{
  const TargetResult most{ "d", "t", true, 2, { 2, 1, 9 } };
  const TargetResult least{ "d", "t", false, 2, { 1.9, 1, 9 } };
  CHECK_TRUE(most.Hit());
  CHECK_FALSE(least.Hit());
}

TEST(CompareTest, AMissedTargetIsSaidInAllFormats)
{
  const auto comparison = MakeComparison();
  CHECK_TRUE(Has(comparison.ToText(), "MISSED"));
  CHECK_TRUE(Has(comparison.ToJson(), "\"hit\": false"));
  // The bound has no tails to show.
  CHECK_TRUE(Has(comparison.ToJson(), "\"short_p99_s\": null"));
  const auto html = ToHtml(comparison);
  CHECK_TRUE(Has(html, "<b>missed</b>"));
  CHECK_TRUE(Has(html, "<svg"));
  CHECK_FALSE(Has(html, "http"));
}

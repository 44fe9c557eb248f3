#include "servers/metrics/metrics.h"

#include <cmath>

#include <CppUTest/TestHarness.h>

#include "core/random.h"

using firefly::Counter;
using firefly::Histogram;
using firefly::MetricRegistry;
using firefly::Random;
using firefly::Summary;

TEST_GROUP(MetricsTest){};

TEST(MetricsTest, ACounterIgnoresNegativeAmounts)
{
  Counter counter;
  counter.Add(2);
  counter.Add(-1);
  DOUBLES_EQUAL(2, counter.Value(), 0);
}

TEST(MetricsTest, HistogramBoundsAreInclusive)
{
  Histogram histogram({ 1, 2 });
  for (const double it : { 0.5, 1.0, 1.5, 2.0, 9.0 }) {
    histogram.Observe(it);
  }
  LONGS_EQUAL(2, histogram.CountUpTo(0));
  LONGS_EQUAL(4, histogram.CountUpTo(1));
  LONGS_EQUAL(5, histogram.CountUpTo(2));
  DOUBLES_EQUAL(14, histogram.Sum(), 1e-9);
}

TEST(MetricsTest, ASummaryEstimatesQuantilesOfAKnownDistribution)
{
  Summary summary;
  CHECK_FALSE(summary.Quantile(0.5).has_value());
  Random random(7);
  for (int n = 0; n < 20000; ++n) {
    summary.Observe(random.Exponential(1));
  }
  DOUBLES_EQUAL(1, summary.Mean(), 0.05);
  DOUBLES_EQUAL(std::log(2), *summary.Quantile(0.5), 0.07);
  DOUBLES_EQUAL(std::log(20), *summary.Quantile(0.95), 0.3);
  DOUBLES_EQUAL(std::log(100), *summary.Quantile(0.99), 0.5);
  CHECK_FALSE(summary.Quantile(0.25).has_value());
}

TEST(MetricsTest, FurtherSeriesOfAFullFamilyShareOne)
{
  MetricRegistry registry;
  auto& family = registry.Counters(
    { .name = "n", .help = "", .labelNames = { "id" }, .maxSeries = 2 });
  for (const char* it : { "a", "b", "c", "d" }) {
    family.With({ it }).Add();
  }
  LONGS_EQUAL(3, family.Series().size());
  DOUBLES_EQUAL(1, family.With({ "a" }).Value(), 0);
  DOUBLES_EQUAL(2, family.With({ "other" }).Value(), 0);
}

TEST(MetricsTest, CallbacksRunBeforeEachExposition)
{
  MetricRegistry registry;
  auto& gauge = registry.Gauges({ .name = "g", .help = "" }).With({});
  registry.OnExpose([&gauge] { gauge.Add(1); });
  static_cast<void>(registry.Expose());
  static_cast<void>(registry.Expose());
  DOUBLES_EQUAL(2, gauge.Value(), 0);
}

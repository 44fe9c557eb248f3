#include "servers/metrics/metrics_text.h"

#include <cmath>

#include <CppUTest/TestHarness.h>

#include "core/random.h"

using firefly::AddProcessMetrics;
using firefly::MetricRegistry;
using firefly::ParseMetrics;
using firefly::Random;

namespace {

// A random label value with characters that must be escaped, and others.
std::string
RandomValue(Random& aRandom)
{
  const std::string letters = "a\\\"\n{}=, n\xc3\xa9";
  std::string value;
  for (auto n = aRandom.Below(8); n > 0; --n) {
    value += letters[aRandom.Below(letters.size())];
  }
  return value;
}

} // namespace

TEST_GROUP(MetricsTextTest){};

TEST(MetricsTextTest, WritesEachKindOfFamily)
{
  MetricRegistry registry;
  registry
    .Counters({ .name = "c_total",
                .help = "A \\ count\nof things.",
                .labelNames = { "type" } })
    .With({ "say \"hi\"\\\n" })
    .Add(3);
  registry.Gauges({ .name = "g", .help = "A gauge." }).With({}).Set(-0.5);
  registry.Histograms({ .name = "h", .help = "H.", .bounds = { 0.1, 2 } })
    .With({})
    .Observe(1);
  registry.Summaries({ .name = "s", .help = "S." }).With({}).Observe(4);
  STRCMP_EQUAL("# HELP c_total A \\\\ count\\nof things.\n"
               "# TYPE c_total counter\n"
               "c_total{type=\"say \\\"hi\\\"\\\\\\n\"} 3\n"
               "# HELP g A gauge.\n"
               "# TYPE g gauge\n"
               "g -0.5\n"
               "# HELP h H.\n"
               "# TYPE h histogram\n"
               "h_bucket{le=\"0.1\"} 0\n"
               "h_bucket{le=\"2\"} 1\n"
               "h_bucket{le=\"+Inf\"} 1\n"
               "h_sum 1\n"
               "h_count 1\n"
               "# HELP s S.\n"
               "# TYPE s summary\n"
               "s{quantile=\"0.5\"} NaN\n"
               "s{quantile=\"0.95\"} NaN\n"
               "s{quantile=\"0.99\"} NaN\n"
               "s_sum 4\n"
               "s_count 1\n",
               registry.Expose().c_str());
}

TEST(MetricsTextTest, LabelsAndValuesSurviveARoundTrip)
{
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    Random random(seed);
    MetricRegistry registry;
    auto& family = registry.Counters(
      { .name = "c_total", .help = "", .labelNames = { "x", "y" } });
    for (int n = 0; n < 20; ++n) {
      family.With({ RandomValue(random), RandomValue(random) })
        .Add(random.Uniform() * 1e9);
    }
    const auto samples = ParseMetrics(registry.Expose());
    CHECK_TRUE(samples.has_value());
    LONGS_EQUAL(family.Series().size(), samples->size());
    for (const auto& it : *samples) {
      const auto& series =
        family.With({ it.labels[0].value, it.labels[1].value });
      DOUBLES_EQUAL(series.Value(), it.value, 0);
    }
  }
}

TEST(MetricsTextTest, ParsesTimestampsTrailingCommasAndSpecialValues)
{
  const auto samples = ParseMetrics("# TYPE a counter\n"
                                    "a 1 1700000000000\n"
                                    "b{x=\"1\",} +Inf\n"
                                    "\n"
                                    "c NaN");
  CHECK_TRUE(samples.has_value());
  LONGS_EQUAL(3, samples->size());
  CHECK_TRUE(std::isinf((*samples)[1].value));
  CHECK_TRUE(std::isnan((*samples)[2].value));
}

TEST(MetricsTextTest, RejectsATextWithAnInvalidLine)
{
  struct InvalidLine
  {
    std::string line;
    std::string message;
  };
  const std::vector<InvalidLine> lines{
    { "1a 2", "a line must start with a name" },
    { "a", "\"\" is not a number" },
    { "a x", "\"x\" is not a number" },
    { "a 1 2 3", "text after the value" },
    { "a{x=1} 2", "a label value must be quoted" },
    { "a{x} 2", "a label must be NAME=\"VALUE\"" },
    { "a{x=\"1} 2", "a label value has no closing quote" },
    { "a{x=\"1\\", "a label value has no closing quote" },
  };
  for (const auto& it : lines) {
    const auto samples = ParseMetrics("good 1\n" + it.line);
    CHECK_FALSE_TEXT(samples.has_value(), it.line.c_str());
    LONGS_EQUAL(2, samples.error().line);
    STRCMP_EQUAL(it.message.c_str(), samples.error().message.c_str());
  }
}

TEST(MetricsTextTest, ExposesCpuTimeAndMemoryOfTheProcess)
{
  MetricRegistry registry;
  AddProcessMetrics(registry);
  const auto samples = ParseMetrics(registry.Expose());
  CHECK_TRUE(samples.has_value());
  LONGS_EQUAL(3, samples->size());
  CHECK_TRUE((*samples)[1].value > 100'000);
  CHECK_TRUE((*samples)[2].value > 1e9);
}

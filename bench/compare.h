#pragma once

// Runs all scenarios with all policies over several seeds and compares them.

#include <cstdint>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "bench/run_result.h"

namespace firefly::bench {

struct CompareOptions
{
  // The seeds 1 to this number are run.
  std::uint32_t seeds = 3;
  std::uint32_t entries = 9;
  std::vector<std::string> deployments;
  std::vector<std::string> scenarios;
  // Compares "firefly" with itself without each of its parts instead of with
  // other policies.
  bool ablation = false;
};

// The median and the range of a measure over the seeds.
struct Spread
{
  double median = 0;
  double min = 0;
  double max = 0;
};

// A stated target and the measured value.
struct TargetResult
{
  std::string deployment;
  std::string target;
  // Whether the bound is a maximum; otherwise it is a minimum.
  bool isMaximum = false;
  double bound = 0;
  Spread measured;
  // Whether the median is within the bound.
  [[nodiscard]] bool IsMet() const;
};

// The runs of one scenario and policy over all seeds.
struct Cell
{
  std::string deployment;
  std::string scenario;
  std::string policy;
  // The part of the policy that was disabled, if any.
  std::string without;
  std::vector<RunResult> runs;

  // Worth of complete answers in time, as a fraction of the offered worth.
  [[nodiscard]] Spread GoodputShare() const;
  [[nodiscard]] Spread FirstTokenP99() const;
  [[nodiscard]] Spread ShortP99() const;
  [[nodiscard]] Spread RoleChanges() const;
};

// A point of the curve that plots goodput over load.
struct LoadPoint
{
  std::string deployment;
  std::string policy;
  // Offered load as a fraction of the fleet's fluid bound.
  double load = 0;
  // Worth per second.
  Spread goodput;
};

struct Comparison
{
  CompareOptions options;
  std::vector<Cell> cells;
  std::vector<LoadPoint> curve;
  std::vector<TargetResult> targets;

  [[nodiscard]] std::string ToText() const;
  [[nodiscard]] std::string ToJson() const;
};

// Runs everything that the comparison needs, one run after another. The error
// is that of a run that could not start.
tl::expected<Comparison, std::string>
Compare(const CompareOptions& aOptions);

// The median and the range of the values; zeros if there are none.
Spread
SpreadOf(std::vector<double> aValues);

} // namespace firefly::bench

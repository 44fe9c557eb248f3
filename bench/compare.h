#pragma once

// All scenarios over many seeds for all policies.

#include <cstdint>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "bench/run_result.h"

namespace firefly::bench {

struct CompareOptions
{
  std::uint32_t seeds = 3;
  std::uint32_t entries = 9;
  std::vector<std::string> deployments;
  std::vector<std::string> scenarios;
  // Also "firefly" without each of its parts.
  bool ablation = false;
};

// A number's median and range over the seeds.
struct Spread
{
  double median = 0;
  double least = 0;
  double most = 0;
};

// One stated target and what was measured.
struct TargetResult
{
  std::string deployment;
  std::string target;
  // Whether smaller is better.
  bool atMost = false;
  double bound = 0;
  Spread measured;
  [[nodiscard]] bool Hit() const;
};

// The runs of one scenario and policy over all seeds.
struct Cell
{
  std::string deployment;
  std::string scenario;
  std::string policy;
  // The part that was left out, if any.
  std::string without;
  std::vector<RunResult> runs;

  // Worth of whole answers in time as a part of what was offered.
  [[nodiscard]] Spread GoodputPart() const;
  [[nodiscard]] Spread FirstTokenP99() const;
  [[nodiscard]] Spread ShortP99() const;
  [[nodiscard]] Spread RoleChanges() const;
};

// A point of the curve of goodput over load.
struct LoadPoint
{
  std::string deployment;
  std::string policy;
  double load = 0;
  // Worth a second.
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

// Runs them all, one after the other.
tl::expected<Comparison, std::string>
Compare(const CompareOptions& aOptions);

// The median and the range of numbers.
Spread
SpreadOf(std::vector<double> aValues);

} // namespace firefly::bench

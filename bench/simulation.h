#pragma once

// One run of the bench: entries with their own lagging views, the engines and
// the role controller on one virtual clock.

#include <cstdint>
#include <set>
#include <string>

#include <tl/expected.hpp>

#include "bench/run_result.h"
#include "bench/workload.h"

namespace firefly::bench {

struct RunOptions
{
  std::string scenario = "shift";
  std::string policy = "firefly";
  std::string deployment = "macaskill";
  std::uint64_t seed = 1;
  std::uint32_t entries = 9;
  // For the scenario "steady".
  double load = 0.6;
  // Leaves out stragglers, slowdowns and poison.
  bool calm = false;
  // Parts of "firefly" to leave out.
  std::set<std::string> without = {};
};

// Runs the scenario; the error is a line for the user.
tl::expected<RunResult, std::string>
Run(const RunOptions& aOptions);

} // namespace firefly::bench

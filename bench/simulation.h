#pragma once

// One run of the simulation: the entries, each with its own delayed view of the
// fleet, the engines and the role controller on one virtual clock.

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
  // Offered load of the scenario "steady", as a fraction of the fleet's fluid
  // bound.
  double load = 0.6;
  // Removes stragglers, slowdowns and poison requests from the scenario.
  bool calm = false;
  // Parts of "firefly" to disable.
  std::set<std::string> disabledParts = {};
};

// Runs the scenario. The error is a message for the user.
tl::expected<RunResult, std::string>
Run(const RunOptions& aOptions);

} // namespace firefly::bench

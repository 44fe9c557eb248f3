#pragma once

// Runs one soak: a small copy of the users' deployment with the real relay
// program, with faults drawn from a seed. The result contains the faults and
// the violations that the PromiseChecker found.

#include <filesystem>
#include <string>
#include <vector>

#include "tests/soak/fault_plan.h"
#include "tests/soak/promise_checker.h"

namespace firefly::soak {

struct SoakOptions
{
  std::uint64_t seed = 1;
  std::size_t relays = 4;
  std::size_t engines = 5;
  std::size_t services = 3;
  std::size_t callers = 40;
  // The period in which faults begin; it follows a start without faults.
  Duration faultPeriod = std::chrono::seconds(12);
  Duration faultGap = std::chrono::milliseconds(600);
  // Receives the settings and the output of the processes. It is created if it
  // does not exist.
  std::filesystem::path directory;
};

// How many requests ended in one second of a soak, by outcome.
struct SecondCounts
{
  std::uint64_t served = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
};

struct SoakResult
{
  SoakOptions options;
  std::vector<Fault> faults;
  std::vector<Violation> violations;
  PromiseChecker::Counts counts;
  std::vector<SecondCounts> seconds;
  std::uint64_t storeCalls = 0;
  // Why the soak could not start; empty if it ran.
  std::string error;
  // The start of the soak; reports give the times of violations relative to it.
  Instant startedAt{};
};

// Runs one soak on the calling thread. This takes about thirty seconds longer
// than the fault period.
SoakResult
RunSoak(const SoakOptions& aOptions);

} // namespace firefly::soak

#pragma once

// One soak: the users' deployment in small, with the real relay program, played
// from a seed; what went wrong and what the witness found.

#include <filesystem>
#include <string>
#include <vector>

#include "tests/soak/fault_plan.h"
#include "tests/soak/witness.h"

namespace firefly::soak {

struct SoakOptions
{
  std::uint64_t seed = 1;
  std::size_t relays = 4;
  std::size_t engines = 5;
  std::size_t services = 3;
  std::size_t callers = 40;
  // How long faults begin, after a calm start.
  Duration faultsFor = std::chrono::seconds(12);
  Duration faultGap = std::chrono::milliseconds(600);
  // For the settings and the output of the processes; it must exist.
  std::filesystem::path directory;
};

// What callers got in one second of a soak.
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
  Witness::Counts counts;
  std::vector<SecondCounts> seconds;
  std::uint64_t storeCalls = 0;
  // Why the soak could not be played; empty if it was.
  std::string error;
  // When it began; violations count from there.
  Instant began{};
};

// Plays one soak; takes its faults' time and about twenty seconds.
SoakResult
RunSoak(const SoakOptions& aOptions);

} // namespace firefly::soak

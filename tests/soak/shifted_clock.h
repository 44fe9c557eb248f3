#pragma once

// A wall clock of a host that can be set to a wrong time. A process that uses
// it has clock_shim.cpp preloaded, which adds the shift to the kernel's time.

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace firefly::soak {

class ShiftedClock
{
public:
  // Stores the shift in the given file.
  explicit ShiftedClock(std::filesystem::path aFile);

  // Takes effect immediately in running processes.
  void Set(std::chrono::nanoseconds aShift);

  // The environment variables, as "NAME=VALUE", of a process that uses this
  // clock.
  [[nodiscard]] std::vector<std::string> Environment() const;

private:
  std::filesystem::path mFile;
};

} // namespace firefly::soak

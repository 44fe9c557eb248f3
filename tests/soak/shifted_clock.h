#pragma once

// A host's wall clock that can be set wrong: the process that it is given to
// has clock_shim.cpp preloaded, which adds the shift to what the kernel says.

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace firefly::soak {

class ShiftedClock
{
public:
  // Keeps the shift in that file.
  explicit ShiftedClock(std::filesystem::path aFile);

  // Takes effect in running processes at once.
  void Set(std::chrono::nanoseconds aShift);

  // What a process needs in its environment to go by this clock.
  [[nodiscard]] std::vector<std::string> Environment() const;

private:
  std::filesystem::path mFile;
};

} // namespace firefly::soak

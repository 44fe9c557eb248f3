#include "tests/soak/shifted_clock.h"

#include <fstream>
#include <utility>

namespace firefly::soak {

ShiftedClock::ShiftedClock(std::filesystem::path aFile)
  : mFile(std::move(aFile))
{
  Set(std::chrono::nanoseconds::zero());
}

void
ShiftedClock::Set(std::chrono::nanoseconds aShift)
{
  const std::int64_t shift = aShift.count();
  // Written in place, because running processes have mapped the file.
  std::fstream file(mFile, std::ios::in | std::ios::out | std::ios::binary);
  if (!file) {
    file.open(mFile, std::ios::out | std::ios::binary);
  }
  file.write(reinterpret_cast<const char*>(&shift), sizeof shift);
}

std::vector<std::string>
ShiftedClock::Environment() const
{
  return { std::string("LD_PRELOAD=") + FIREFLY_CLOCK_SHIM,
           "FIREFLY_CLOCK_SHIFT_FILE=" + mFile.string() };
}

} // namespace firefly::soak

#pragma once

// Types for monotonic and wall-clock time. Monotonic time includes the time
// that the host is suspended; its values can be compared between processes of
// the same host only.

#include <chrono>
#include <cstdint>

namespace firefly {

using Duration = std::chrono::nanoseconds;

// Clock type of the monotonic time. It has no now() function, so that all code
// reads the time from an executor, which may be a virtual one.
struct MonotonicTime
{
  using rep = std::int64_t;
  using period = std::nano;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicTime, Duration>;
};

using Instant = MonotonicTime::time_point;

// Wall-clock time in milliseconds since 1970, for records that other hosts read
// or that remain after the host is gone.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

// Converts a duration to seconds, for reports and the calculation of rates.
inline double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

// Converts seconds to a duration, truncated to whole nanoseconds.
inline Duration
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aSeconds));
}

} // namespace firefly

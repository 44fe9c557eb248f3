#pragma once

// Time as the system counts it: a monotonic clock that includes the time a
// host is suspended, comparable between the processes of one host only.

#include <chrono>
#include <cstdint>

namespace firefly {

using Duration = std::chrono::nanoseconds;

// The monotonic time base; it has no now() so that all code asks an executor.
struct MonotonicTime
{
  using rep = std::int64_t;
  using period = std::nano;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicTime, Duration>;
};

using Instant = MonotonicTime::time_point;

// Wall-clock time in milliseconds since 1970, for records that outlive a host.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

// Seconds as a floating-point number, for reports and arithmetic on rates.
inline double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

// The duration of that many seconds.
inline Duration
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aSeconds));
}

} // namespace firefly

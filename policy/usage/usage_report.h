#pragma once

// Types of the usage reports: how many requests of each customer backend
// servers began to run in a window of time.

#include <cstdint>
#include <map>

#include "core/clock.h"
#include "core/ids.h"
#include "core/strong_type.h"

namespace firefly::policy {

// Window k begins k times the window length after the start of 1970.
using UsageWindow = StrongType<struct UsageWindowTag, std::uint64_t>;

using UsageCounts = std::map<CustomerId, std::uint64_t>;

// The counts of all hosts in one window.
struct UsageReport
{
  UsageWindow window;
  UsageCounts counts;

  bool operator==(const UsageReport&) const = default;
};

[[nodiscard]] inline UsageWindow
WindowAt(WallTime aTime, Duration aLength)
{
  return UsageWindow(
    static_cast<std::uint64_t>(Duration(aTime.time_since_epoch()) / aLength));
}

[[nodiscard]] inline UsageWindow
operator+(UsageWindow aWindow, std::uint64_t aCount)
{
  return UsageWindow(aWindow.Value() + aCount);
}

// Zero if aCount is larger than the window.
[[nodiscard]] inline UsageWindow
operator-(UsageWindow aWindow, std::uint64_t aCount)
{
  return UsageWindow(aWindow.Value() < aCount ? 0 : aWindow.Value() - aCount);
}

[[nodiscard]] inline WallTime
EndOf(UsageWindow aWindow, Duration aLength)
{
  return WallTime(std::chrono::duration_cast<WallTime::duration>(
    aLength * static_cast<std::int64_t>(aWindow.Value() + 1)));
}

} // namespace firefly::policy

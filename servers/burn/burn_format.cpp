#include "servers/burn/burn_format.h"

#include <array>
#include <cstdio>
#include <ctime>

namespace firefly {

std::string
FormatNumber(double aNumber)
{
  std::array<char, 32> buf{};
  std::snprintf(buf.data(), buf.size(), "%.3g", aNumber);
  return buf.data();
}

std::string
FormatShare(double aShare)
{
  std::array<char, 32> buf{};
  std::snprintf(buf.data(), buf.size(), "%.4g %%", aShare * 100);
  return buf.data();
}

std::string
FormatSpan(Duration aSpan)
{
  const double seconds = ToSeconds(aSpan);
  constexpr double kMinute = 60;
  constexpr double kHour = 60 * kMinute;
  constexpr double kDay = 24 * kHour;
  if (seconds < 2 * kMinute) {
    return FormatNumber(seconds) + " s";
  }
  if (seconds < 2 * kHour) {
    return FormatNumber(seconds / kMinute) + " min";
  }
  if (seconds < 2 * kDay) {
    return FormatNumber(seconds / kHour) + " h";
  }
  return FormatNumber(seconds / kDay) + " d";
}

std::string
FormatTime(WallTime aTime)
{
  const auto seconds = std::chrono::system_clock::to_time_t(aTime);
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::array<char, 32> buf{};
  std::strftime(buf.data(), buf.size(), "%F %TZ", &utc);
  return buf.data();
}

} // namespace firefly

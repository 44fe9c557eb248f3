#include "servers/http1/retry_after.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <ctime>
#include <iomanip>
#include <locale>
#include <sstream>
#include <string>
#include <string_view>

namespace firefly {

namespace {

// Larger values would overflow a duration.
constexpr double kMaxSeconds = 1e8;

std::optional<Duration>
ToDuration(double aSeconds)
{
  if (!std::isfinite(aSeconds) || aSeconds < 0) {
    return std::nullopt;
  }
  return FromSeconds(std::min(aSeconds, kMaxSeconds));
}

// Seconds since the epoch of a date such as "Sun, 06 Nov 1994 08:49:37 GMT".
std::optional<double>
ReadDate(std::string_view aText)
{
  std::istringstream text{ std::string(aText) };
  text.imbue(std::locale::classic());
  std::tm date{};
  text >> std::get_time(&date, "%a, %d %b %Y %H:%M:%S GMT");
  if (text.fail()) {
    return std::nullopt;
  }
  return static_cast<double>(timegm(&date));
}

} // namespace

std::optional<Duration>
ReadRetryAfter(const MessageHead& aHead)
{
  const auto value = FindHeader(aHead.headers, "Retry-After");
  double seconds = 0;
  const auto* end = value.data() + value.size();
  const auto parsed =
    std::from_chars(value.data(), end, seconds, std::chars_format::fixed);
  if (!value.empty() && parsed.ec == std::errc() && parsed.ptr == end) {
    return ToDuration(seconds);
  }
  const auto until = ReadDate(value);
  const auto now = ReadDate(FindHeader(aHead.headers, "Date"));
  return until && now ? ToDuration(*until - *now) : std::nullopt;
}

} // namespace firefly

#pragma once

// Writes log lines to stdout. Never blocks on a reader that is too slow, and
// limits the number of lines per second with a token bucket. Dropped lines are
// counted; the count is written before the next line that can be written, as a
// JSON object in both layouts.

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include <log4cxx/consoleappender.h>

namespace firefly {

class RateLimitedAppender : public log4cxx::ConsoleAppender
{
public:
  // The rate limit is also the maximum burst.
  RateLimitedAppender(const log4cxx::LayoutPtr& aLayout,
                      std::uint32_t aLinesPerSecond);

  void append(const log4cxx::spi::LoggingEventPtr& aEvent,
              log4cxx::helpers::Pool& aPool) override;

private:
  [[nodiscard]] bool TryConsumeToken();
  static bool TryWrite(std::string_view aLine);

  double mLinesPerSecond = 0;
  double mTokens = 0;
  std::chrono::steady_clock::time_point mTokensUpdatedAt;
  std::uint64_t mDroppedLines = 0;
};

} // namespace firefly

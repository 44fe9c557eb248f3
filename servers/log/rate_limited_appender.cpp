#include "servers/log/rate_limited_appender.h"

#include <algorithm>

#include <poll.h>
#include <unistd.h>

#include <log4cxx/helpers/transcoder.h>
#include <log4cxx/layout.h>
#include <log4cxx/spi/loggingevent.h>

namespace firefly {

namespace {

// A pipe that polls as writable accepts this many bytes without blocking
// (PIPE_BUF on Linux). Longer lines are dropped.
constexpr std::size_t kMaxLineBytes = 4096;

} // namespace

RateLimitedAppender::RateLimitedAppender(const log4cxx::LayoutPtr& aLayout,
                                         std::uint32_t aLinesPerSecond)
  : log4cxx::ConsoleAppender(aLayout)
  , mLinesPerSecond(aLinesPerSecond)
  , mTokens(aLinesPerSecond)
  , mTokensUpdatedAt(std::chrono::steady_clock::now())
{
}

void
RateLimitedAppender::append(const log4cxx::spi::LoggingEventPtr& aEvent,
                            log4cxx::helpers::Pool& aPool)
{
  if (!TryConsumeToken()) {
    mDroppedLines++;
    return;
  }
  if (mDroppedLines > 0) {
    const auto note = "{ \"logger\": \"log\", \"message\": \"lines dropped\", "
                      "\"context_map\": { \"count\": \"" +
                      std::to_string(mDroppedLines) + "\" } }\n";
    if (!TryWrite(note)) {
      mDroppedLines++;
      return;
    }
    mDroppedLines = 0;
  }
  log4cxx::LogString text;
  getLayout()->format(text, aEvent, aPool);
  std::string line;
  log4cxx::helpers::Transcoder::encodeUTF8(text, line);
  if (!TryWrite(line)) {
    mDroppedLines++;
  }
}

bool
RateLimitedAppender::TryConsumeToken()
{
  const auto now = std::chrono::steady_clock::now();
  const std::chrono::duration<double> passed = now - mTokensUpdatedAt;
  mTokensUpdatedAt = now;
  mTokens =
    std::min(mLinesPerSecond, mTokens + passed.count() * mLinesPerSecond);
  if (mTokens < 1) {
    return false;
  }
  mTokens -= 1;
  return true;
}

bool
RateLimitedAppender::TryWrite(std::string_view aLine)
{
  pollfd output{ .fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0 };
  if (aLine.size() > kMaxLineBytes || poll(&output, 1, 0) != 1 ||
      (output.revents & POLLOUT) == 0) {
    return false;
  }
  return write(STDOUT_FILENO, aLine.data(), aLine.size()) ==
         static_cast<ssize_t>(aLine.size());
}

} // namespace firefly

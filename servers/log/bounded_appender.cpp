#include "servers/log/bounded_appender.h"

#include <algorithm>

#include <poll.h>
#include <unistd.h>

#include <log4cxx/helpers/transcoder.h>
#include <log4cxx/layout.h>
#include <log4cxx/spi/loggingevent.h>

namespace firefly {

namespace {

// What a pipe that is writable takes without blocking (POSIX: PIPE_BUF).
constexpr std::size_t kMaxLine = 4096;

} // namespace

BoundedAppender::BoundedAppender(const log4cxx::LayoutPtr& aLayout,
                                 std::uint32_t aLines)
  : log4cxx::ConsoleAppender(aLayout)
  , mLinesPerSecond(aLines)
  , mCredit(aLines)
  , mCreditAt(std::chrono::steady_clock::now())
{
}

void
BoundedAppender::append(const log4cxx::spi::LoggingEventPtr& aEvent,
                        log4cxx::helpers::Pool& aPool)
{
  if (!TakeCredit()) {
    mDropped++;
    return;
  }
  if (mDropped > 0) {
    const auto note = "{ \"logger\": \"log\", \"message\": \"lines dropped\", "
                      "\"context_map\": { \"count\": \"" +
                      std::to_string(mDropped) + "\" } }\n";
    if (!WriteNow(note)) {
      mDropped++;
      return;
    }
    mDropped = 0;
  }
  log4cxx::LogString text;
  getLayout()->format(text, aEvent, aPool);
  std::string line;
  log4cxx::helpers::Transcoder::encodeUTF8(text, line);
  if (!WriteNow(line)) {
    mDropped++;
  }
}

bool
BoundedAppender::TakeCredit()
{
  const auto now = std::chrono::steady_clock::now();
  const std::chrono::duration<double> passed = now - mCreditAt;
  mCreditAt = now;
  mCredit =
    std::min(mLinesPerSecond, mCredit + passed.count() * mLinesPerSecond);
  if (mCredit < 1) {
    return false;
  }
  mCredit -= 1;
  return true;
}

bool
BoundedAppender::WriteNow(std::string_view aLine)
{
  pollfd room{ .fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0 };
  if (aLine.size() > kMaxLine || poll(&room, 1, 0) != 1 ||
      (room.revents & POLLOUT) == 0) {
    return false;
  }
  return write(STDOUT_FILENO, aLine.data(), aLine.size()) ==
         static_cast<ssize_t>(aLine.size());
}

} // namespace firefly

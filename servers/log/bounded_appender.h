#pragma once

// Writes log lines to stdout without ever waiting for its reader, and no more
// of them than a bound. Lines that find no room are counted, and the count is
// the next line that does.

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include <log4cxx/consoleappender.h>

namespace firefly {

class BoundedAppender : public log4cxx::ConsoleAppender
{
public:
  // Lines a second, also the most that may come at once.
  BoundedAppender(const log4cxx::LayoutPtr& aLayout, std::uint32_t aLines);

  void append(const log4cxx::spi::LoggingEventPtr& aEvent,
              log4cxx::helpers::Pool& aPool) override;

private:
  [[nodiscard]] bool TakeCredit();
  static bool WriteNow(std::string_view aLine);

  double mLinesPerSecond = 0;
  double mCredit = 0;
  std::chrono::steady_clock::time_point mCreditAt;
  std::uint64_t mDropped = 0;
};

} // namespace firefly

#pragma once

// Log lines for changes of state, by log4cxx. Counts belong into the metrics.

#include <string>
#include <string_view>
#include <vector>

#include "servers/settings/settings.h"

namespace firefly {

// A named value of a log line.
struct LogField
{
  std::string name;
  std::string value;
};

using LogFields = std::vector<LogField>;

// Sets up the process's log: lines on stdout as plain text or as JSON objects.
// Until then, nothing is logged.
void
StartLog(const LogSettings& aSettings);

// Writes the lines of one module.
class Log
{
public:
  // The module's name, such as "membership".
  explicit Log(std::string aModule)
    : mModule(std::move(aModule))
  {
  }

  // Each takes what happened, in words that stay the same from line to line,
  // and the values that differ.
  void Debug(std::string_view aEvent, const LogFields& aFields = {}) const;
  void Info(std::string_view aEvent, const LogFields& aFields = {}) const;
  void Warning(std::string_view aEvent, const LogFields& aFields = {}) const;
  void Error(std::string_view aEvent, const LogFields& aFields = {}) const;

private:
  void Write(LogLevel aLevel,
             std::string_view aEvent,
             const LogFields& aFields) const;

  std::string mModule;
};

} // namespace firefly

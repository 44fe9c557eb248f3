#pragma once

// Structured log lines for state changes, by log4cxx. Quantities belong in the
// metrics.

#include <string>
#include <string_view>
#include <vector>

#include "servers/settings/settings.h"

namespace firefly {

// A named field of a log line.
struct LogField
{
  std::string name;
  std::string value;
};

using LogFields = std::vector<LogField>;

// Configures the log of the process: lines on stdout, as plain text or as JSON
// objects. Lines logged before this call are discarded. All lines of a process
// must be logged from one thread.
void
StartLog(const LogSettings& aSettings);

// The logger of one module.
class Log
{
public:
  // The module's name, such as "membership".
  explicit Log(std::string aModule)
    : mModule(std::move(aModule))
  {
  }

  // aEvent is a constant message, so that operators can search for it; values
  // that vary go into the fields.
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

#include "servers/log/log.h"

#include <list>
#include <memory>

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/mdc.h>
#include <log4cxx/patternlayout.h>

#include "servers/log/rate_limited_appender.h"

namespace firefly {

namespace {

constexpr const char* kTextPattern = "%d{ISO8601} %-5p %c: %m%n";

// Set by StartLog. Not synchronized: a process logs from one thread.
LogLayout sLayout = LogLayout::kText;
bool sStarted = false;

log4cxx::LevelPtr
LevelOf(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::kDebug:
      return log4cxx::Level::getDebug();
    case LogLevel::kInfo:
      return log4cxx::Level::getInfo();
    case LogLevel::kWarning:
      return log4cxx::Level::getWarn();
    case LogLevel::kError:
      break;
  }
  return log4cxx::Level::getError();
}

log4cxx::LayoutPtr
MakeLayout(LogLayout aLayout)
{
  if (aLayout == LogLayout::kJson) {
    return std::make_shared<log4cxx::JSONLayout>();
  }
  return std::make_shared<log4cxx::PatternLayout>(kTextPattern);
}

// Quotes values that are empty or contain white space, quotes or =, so that
// fields stay distinguishable. Replaces line breaks, so that a value can't
// forge a log line.
std::string
QuoteField(const std::string& aValue)
{
  if (!aValue.empty() &&
      aValue.find_first_of(" \t\r\n\"=") == std::string::npos) {
    return aValue;
  }
  std::string quoted = "\"";
  for (const char it : aValue) {
    if (it == '"' || it == '\\') {
      quoted += '\\';
    }
    quoted += it == '\n' || it == '\r' ? ' ' : it;
  }
  return quoted + '"';
}

std::string
FormatTextLine(std::string_view aEvent, const LogFields& aFields)
{
  std::string line(aEvent);
  for (const auto& it : aFields) {
    line.append(" ").append(it.name).append("=").append(QuoteField(it.value));
  }
  return line;
}

void
WriteJson(const log4cxx::LoggerPtr& aLogger,
          const log4cxx::LevelPtr& aLevel,
          std::string_view aEvent,
          const LogFields& aFields)
{
  // The JSON layout writes the mapped diagnostic context as a nested object.
  std::list<log4cxx::MDC> context;
  for (const auto& it : aFields) {
    context.emplace_back(it.name, it.value);
  }
  LOG4CXX_LOG(aLogger, aLevel, std::string(aEvent));
}

} // namespace

void
StartLog(const LogSettings& aSettings)
{
  sLayout = aSettings.layout;
  sStarted = true;
  log4cxx::LogManager::resetConfiguration();
  const auto appender = std::make_shared<RateLimitedAppender>(
    MakeLayout(aSettings.layout), aSettings.linesPerSecond);
  log4cxx::BasicConfigurator::configure(appender);
  log4cxx::Logger::getRootLogger()->setLevel(LevelOf(aSettings.level));
}

void
Log::Debug(std::string_view aEvent, const LogFields& aFields) const
{
  Write(LogLevel::kDebug, aEvent, aFields);
}

void
Log::Info(std::string_view aEvent, const LogFields& aFields) const
{
  Write(LogLevel::kInfo, aEvent, aFields);
}

void
Log::Warning(std::string_view aEvent, const LogFields& aFields) const
{
  Write(LogLevel::kWarning, aEvent, aFields);
}

void
Log::Error(std::string_view aEvent, const LogFields& aFields) const
{
  Write(LogLevel::kError, aEvent, aFields);
}

void
Log::Write(LogLevel aLevel,
           std::string_view aEvent,
           const LogFields& aFields) const
{
  if (!sStarted) {
    return;
  }
  const auto logger = log4cxx::Logger::getLogger(mModule);
  const auto level = LevelOf(aLevel);
  if (!logger->isEnabledFor(level)) {
    return;
  }
  if (sLayout == LogLayout::kJson) {
    WriteJson(logger, level, aEvent, aFields);
    return;
  }
  LOG4CXX_LOG(logger, level, FormatTextLine(aEvent, aFields));
}

} // namespace firefly

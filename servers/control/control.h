#pragma once

// What the operators' commands share: whom they ask, and how they answer.

#include <functional>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "servers/control/fetcher.h"
#include "servers/settings/command_line.h"

namespace firefly {

enum class OutputFormat
{
  kText,
  kJson,
};

// Where the processes' admin ports are, as URLs without a path.
struct ControlTargets
{
  std::vector<std::string> entries;
  std::vector<std::string> stewards;
};

// The admin ports of all hosts that the settings name.
ControlTargets
TargetsOf(const Settings& aSettings);

// How a command works and where its output goes.
struct ControlOptions
{
  ControlTargets targets;
  OutputFormat format = OutputFormat::kText;
  Duration timeout = std::chrono::seconds(10); // of waiting for confirmations
  std::ostream& out;
  std::ostream& err;
};

// A process that did not answer.
struct AwayProcess
{
  std::string url;
  std::string error;
};

// A process's answer, whatever its status.
struct ProcessAnswer
{
  std::string url;
  HttpResult result;
};

// What asking several processes gave.
struct Answers
{
  std::vector<ProcessAnswer> answers;
  std::vector<AwayProcess> away;
};

// Asks all processes for the same path at once.
Answers
AskAll(Fetcher& aFetcher,
       const std::vector<std::string>& aUrls,
       const std::string& aPath);

// Names the processes that are away, a line each.
void
PrintAway(std::ostream& aErr, const std::vector<AwayProcess>& aAway);

// What a call's error means, as an operator would say it.
std::string
Describe(const HttpError& aError);

// The text as one segment of a URL's path.
std::string
PercentEncode(const std::string& aText);

} // namespace firefly

#pragma once

// Shared parts of fireflyctl's commands: the processes to query, the options,
// and concurrent queries.

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

// The admin ports of the processes to query, as URLs without a path.
struct ControlTargets
{
  std::vector<std::string> entries;
  std::vector<std::string> stewards;
};

// The admin ports of all [[peers]] of the settings. A [host] that is not among
// them is left out.
ControlTargets
ControlTargetsOf(const Settings& aSettings);

// The options and the output streams of a command.
struct ControlOptions
{
  ControlTargets targets;
  OutputFormat format = OutputFormat::kText;
  // Maximum wait for confirmations of an edit, and for its outcome if that is
  // unknown.
  Duration timeout = std::chrono::seconds(10);
  std::ostream& out;
  std::ostream& err;
};

// A process that did not answer, or not with a valid answer.
struct ProcessFailure
{
  std::string url;
  std::string error;
};

// A process's answer with any HTTP status.
struct ProcessAnswer
{
  std::string url;
  HttpResult result;
};

// The results of querying several processes.
struct QueryResults
{
  std::vector<ProcessAnswer> answers;
  std::vector<ProcessFailure> failures;
};

// Sends a GET request for the same path to all processes concurrently.
QueryResults
QueryAll(Fetcher& aFetcher,
         const std::vector<std::string>& aUrls,
         const std::string& aPath);

// Prints one line for each process that failed to answer.
void
PrintFailures(std::ostream& aErr, const std::vector<ProcessFailure>& aFailures);

// Describes the error of a call for operators.
std::string
Describe(const HttpError& aError);

// Percent-encodes the text for use as one segment of a URL's path or as a value
// of its query.
std::string
PercentEncode(const std::string& aText);

} // namespace firefly

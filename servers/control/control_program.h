#pragma once

// The command line of fireflyctl.

#include <string>

#include "servers/control/control.h"

namespace firefly {

// Parses the arguments, runs one command and returns the exit code.
ExitCode
RunControl(Fetcher& aFetcher,
           std::ostream& aOut,
           std::ostream& aErr,
           const std::string& aVersion,
           int aCount,
           const char* const* aWords);

} // namespace firefly

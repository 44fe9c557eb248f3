#pragma once

// The command line of fireflyctl.

#include <string>

#include "servers/control/control.h"

namespace firefly {

// Runs one command and returns the code to exit with.
ExitCode
RunControl(Fetcher& aFetcher,
           std::ostream& aOut,
           std::ostream& aErr,
           const std::string& aVersion,
           int aCount,
           const char* const* aWords);

} // namespace firefly

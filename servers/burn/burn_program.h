#pragma once

// The command line of firefly-burn.

#include <ostream>
#include <string>

#include "core/executor.h"
#include "servers/control/fetcher.h"
#include "servers/settings/command_line.h"

namespace firefly {

// The dependencies of the program, replaced by fakes in tests.
struct BurnEnvironment
{
  Fetcher& fetcher;
  std::function<WallTime()> wallNow;
  std::ostream& out;
  std::ostream& err;
  std::string version;
};

// Parses the arguments, collects the samples, writes the report, and returns
// the exit code.
ExitCode
RunBurn(const BurnEnvironment& aEnvironment,
        int aCount,
        const char* const* aArgumentValues);

} // namespace firefly

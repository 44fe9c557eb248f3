#pragma once

// The command line of firefly-burn.

#include <ostream>
#include <string>

#include "core/executor.h"
#include "servers/control/fetcher.h"
#include "servers/settings/command_line.h"

namespace firefly {

// What the program uses of its surroundings.
struct BurnSurroundings
{
  Fetcher& fetcher;
  std::function<WallTime()> wallNow;
  std::ostream& out;
  std::ostream& err;
  std::string version;
};

// Gathers the samples, writes the report, and returns the exit code.
ExitCode
RunBurn(const BurnSurroundings& aSurroundings,
        int aCount,
        const char* const* aWords);

} // namespace firefly

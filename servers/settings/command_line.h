#pragma once

// The command line that all daemons share, and how each of them starts.

#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "servers/settings/settings.h"

namespace firefly {

// The exit codes of all programs.
enum class ExitCode : int
{
  kOk = 0,
  kFailed = 1,   // it could not do its work
  kUsage = 2,    // the command line or the settings are wrong
  kAway = 3,     // a process that was asked did not answer
  kConflict = 4, // an edit lost to another operator's
  kPending = 5,  // accepted, but not yet confirmed everywhere
};

// What a daemon says about itself.
struct DaemonOptions
{
  std::string program; // such as "firefly-entry"
  std::string purpose; // one sentence for --help
  std::string version;
};

// What the command line asked for.
struct DaemonArguments
{
  std::filesystem::path settingsFile;
  std::optional<HostId> host;
  bool checkOnly = false;
};

// A program's arguments as docopt gives them, behind our own types.
class ParsedArguments
{
public:
  struct Argument
  {
    std::string name;
    std::vector<std::string> values; // none when it was not given
  };

  explicit ParsedArguments(std::vector<Argument> aArguments)
    : mArguments(std::move(aArguments))
  {
  }

  // Whether the option or the command was given.
  [[nodiscard]] bool Has(const std::string& aName) const;

  // The option's value, or empty.
  [[nodiscard]] std::string Text(const std::string& aName) const;

  // All values of an option that may be repeated.
  [[nodiscard]] std::vector<std::string> Texts(const std::string& aName) const;

private:
  std::vector<Argument> mArguments;
};

// Parses by a docopt usage text. Help and version are printed to stdout and
// give kOk; a wrong line prints the usage to stderr and gives kUsage.
tl::expected<ParsedArguments, ExitCode>
ParseArguments(const std::string& aUsage,
               const std::string& aVersion,
               int aCount,
               const char* const* aWords);

// Parses a daemon's command line and loads its settings, printing faults to
// stderr. The error is the code to exit with, kOk after --check-settings.
tl::expected<Settings, ExitCode>
StartDaemon(const DaemonOptions& aOptions,
            int aCount,
            const char* const* aWords);

} // namespace firefly

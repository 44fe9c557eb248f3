#pragma once

// Command-line parsing of all programs, and loading of the daemons' settings.

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
  kFailed = 1, // the program could not do its work, or the outcome is unknown
  kUsage = 2,  // the command line, the settings or an input is invalid
  kUnreachable = 3, // no process answered, or a command could not be sent
  kConflict = 4,    // another edit was accepted first
  kPending = 5,     // accepted, but not yet confirmed by all live entries
};

// The texts that a daemon shows for --help and --version.
struct DaemonOptions
{
  std::string program; // such as "firefly-entry"
  std::string purpose; // one sentence for --help
  std::string version;
};

// The parsed command line of a daemon.
struct DaemonArguments
{
  std::filesystem::path settingsFile;
  std::optional<HostId> host;
  bool checkOnly = false; // --check-settings: check the file and exit
};

// The parsed arguments of a program. Keeps docopt's types out of the headers.
class ParsedArguments
{
public:
  struct Argument
  {
    std::string name;
    std::vector<std::string> values; // empty if it was not given
  };

  explicit ParsedArguments(std::vector<Argument> aArguments)
    : mArguments(std::move(aArguments))
  {
  }

  // True if the option or the command was given.
  [[nodiscard]] bool Has(const std::string& aName) const;

  // The option's first value; empty if it was not given.
  [[nodiscard]] std::string Text(const std::string& aName) const;

  // All values of an option that may be repeated.
  [[nodiscard]] std::vector<std::string> Texts(const std::string& aName) const;

private:
  std::vector<Argument> mArguments;
};

// Parses the arguments by a docopt usage text. On --help and --version, prints
// to stdout and returns kOk as the error; on invalid arguments, prints the
// usage to stderr and returns kUsage.
tl::expected<ParsedArguments, ExitCode>
ParseArguments(const std::string& aUsage,
               const std::string& aVersion,
               int aCount,
               const char* const* aWords);

// Parses a daemon's command line and loads its settings. Errors are printed to
// stderr. The error value is the exit code; it is kOk after a successful
// --check-settings.
tl::expected<Settings, ExitCode>
LoadDaemonSettings(const DaemonOptions& aOptions,
                   int aCount,
                   const char* const* aWords);

} // namespace firefly

#include "servers/settings/command_line.h"

#include <algorithm>
#include <iostream>

#include <docopt/docopt.h>

namespace firefly {

namespace {

ParsedArguments::Argument
Convert(const std::string& aName, const docopt::value& aValue)
{
  ParsedArguments::Argument argument{ .name = aName, .values = {} };
  if (aValue.isString()) {
    argument.values.push_back(aValue.asString());
  } else if (aValue.isStringList()) {
    argument.values = aValue.asStringList();
  } else if (aValue.isBool() && aValue.asBool()) {
    argument.values.emplace_back("true");
  } else if (aValue.isLong() && aValue.asLong() > 0) {
    argument.values.push_back(std::to_string(aValue.asLong()));
  }
  return argument;
}

std::string
DaemonUsage(const DaemonOptions& aOptions)
{
  const std::string& program = aOptions.program;
  return program + ": " + aOptions.purpose + "\n\nUsage:\n  " + program +
         " --settings FILE [--host ID] [--check-settings]\n  " + program +
         " --help\n  " + program + " --version\n" + R"(
Options:
  --settings FILE   The deployment's settings, in TOML.
  --host ID         Use the [[peers]] entry of that id as [host].
  --check-settings  Check the settings, print all errors, and exit.
  --help            Show this text.
  --version         Show the version.

Example:
  )" + program +
         R"( --settings settings/demo.toml --host host-1 --check-settings

Exit codes:
  0  stopped on request, or the settings are valid
  1  failed; the reason is on stderr
  2  invalid command line or settings; each error is a line on stderr
)";
}

DaemonArguments
ReadDaemonArguments(const ParsedArguments& aParsed)
{
  DaemonArguments arguments{
    .settingsFile = aParsed.Text("--settings"),
    .host = {},
    .checkOnly = aParsed.Has("--check-settings"),
  };
  if (aParsed.Has("--host")) {
    arguments.host = HostId(aParsed.Text("--host"));
  }
  return arguments;
}

} // namespace

bool
ParsedArguments::Has(const std::string& aName) const
{
  return !Texts(aName).empty();
}

std::string
ParsedArguments::Text(const std::string& aName) const
{
  const auto texts = Texts(aName);
  return texts.empty() ? "" : texts.front();
}

std::vector<std::string>
ParsedArguments::Texts(const std::string& aName) const
{
  const auto found = std::ranges::find(mArguments, aName, &Argument::name);
  return found == mArguments.end() ? std::vector<std::string>{} : found->values;
}

tl::expected<ParsedArguments, ExitCode>
ParseArguments(const std::string& aUsage,
               const std::string& aVersion,
               int aCount,
               const char* const* aWords)
{
  const std::vector<std::string> words(aWords + 1, aWords + aCount);
  try {
    std::vector<ParsedArguments::Argument> arguments;
    for (const auto& [name, value] :
         docopt::docopt_parse(aUsage, words, true, true)) {
      arguments.push_back(Convert(name, value));
    }
    return ParsedArguments(std::move(arguments));
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << aUsage;
    return tl::unexpected(ExitCode::kOk);
  } catch (const docopt::DocoptExitVersion&) {
    std::cout << aVersion << '\n';
    return tl::unexpected(ExitCode::kOk);
  } catch (const docopt::DocoptArgumentError& e) {
    std::cerr << e.what() << "\n\n" << aUsage;
    return tl::unexpected(ExitCode::kUsage);
  }
}

tl::expected<Settings, ExitCode>
LoadDaemonSettings(const DaemonOptions& aOptions,
                   int aCount,
                   const char* const* aWords)
{
  const auto parsed = ParseArguments(DaemonUsage(aOptions),
                                     aOptions.program + ' ' + aOptions.version,
                                     aCount,
                                     aWords);
  if (!parsed) {
    return tl::unexpected(parsed.error());
  }
  const auto arguments = ReadDaemonArguments(*parsed);
  auto settings = LoadSettings({ .file = arguments.settingsFile,
                                 .host = arguments.host,
                                 .needsHost = !arguments.checkOnly });
  if (!settings) {
    for (const auto& it : settings.error().lines) {
      std::cerr << it << '\n';
    }
    return tl::unexpected(ExitCode::kUsage);
  }
  if (arguments.checkOnly) {
    std::cout << arguments.settingsFile.string() << ": valid\n";
    return tl::unexpected(ExitCode::kOk);
  }
  return std::move(*settings);
}

} // namespace firefly

#include "servers/control/control_program.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <iostream>
#include <iterator>

#include "servers/control/fleet_commands.h"
#include "servers/control/table_commands.h"

namespace firefly {

namespace {

constexpr std::uint64_t kMaxTimeoutSeconds = 3'600;

constexpr const char* kUsage =
  R"(fireflyctl: inspects and controls a deployment.

Usage:
  fireflyctl table export [--entry URL]... [--settings FILE] [--format FORMAT]
  fireflyctl table apply FILE [--base N] [--timeout S] [--entry URL]... [--settings FILE] [--format FORMAT]
  fireflyctl table diff FILE [--entry URL]... [--settings FILE] [--format FORMAT]
  fireflyctl table history [--entry URL]... [--settings FILE] [--format FORMAT]
  fireflyctl table wait VERSION [--timeout S] [--entry URL]... [--settings FILE] [--format FORMAT]
  fireflyctl status [--entry URL]... [--steward URL]... [--settings FILE] [--format FORMAT]
  fireflyctl fleet [--steward URL]... [--settings FILE] [--format FORMAT]
  fireflyctl drain BACKEND [--steward URL]... [--settings FILE] [--format FORMAT]
  fireflyctl undrain BACKEND [--steward URL]... [--settings FILE] [--format FORMAT]
  fireflyctl role BACKEND ROLE [--steward URL]... [--settings FILE] [--format FORMAT]
  fireflyctl load BACKEND MODEL [--model-version V] [--adapter A] [--steward URL]... [--settings FILE] [--format FORMAT]
  fireflyctl why REQUEST [--entry URL]... [--settings FILE] [--format FORMAT]
  fireflyctl booking show KEY [--service ID] [--customer ID] [--entry URL]... [--settings FILE] [--format FORMAT]
  fireflyctl --help
  fireflyctl --version

Options:
  --entry URL       Admin address of an entry; may be repeated.
  --steward URL     Admin address of a steward; may be repeated.
  --settings FILE   Query all hosts in this settings file.
  --format FORMAT   text or json [default: text].
  --base N          Version that the edit replaces; else the newest one.
  --model-version V  The model's version; else the newest.
  --adapter A       The adapter to load with the model; else none.
  --service ID      Service of the booking; KEY is then the caller's own key.
  --customer ID     Customer of the booking.
  --timeout S       Seconds to wait for confirmations [default: 10].
  --help            Show this text.
  --version         Show the version.

Commands:
  table export      Print the table as CSV; its version goes to stderr.
  table apply       Apply FILE and wait until all live entries have it.
  table diff        Show what FILE would change.
  table history     List the versions that the entries have seen.
  table wait        Wait until all live entries have VERSION.
  status            Show entries, members, backend servers, queues and limits.
  fleet             Show the leader's view of each backend server.
  drain, undrain    Take a backend server out of service, or return it.
  role              Change an engine's role to mixed, prefill or decode.
  load              Order an engine to load a model.
  why               Show the steps and the outcome of a request.
  booking show      Show the state of a booking.

Examples:
  fireflyctl status --settings settings/demo.toml
  fireflyctl table export --entry http://127.0.0.1:17101 > table.csv
  fireflyctl table apply table.csv --settings settings/demo.toml --timeout 12
  fireflyctl drain engine-1 --settings settings/demo.toml
  fireflyctl booking show k-17 --service desk --settings settings/demo.toml

Exit codes:
  0  done
  1  rejected, unknown, or no leader
  2  invalid command line, settings or table; each error is a line on stderr
  3  no process that was queried answered
  4  another edit was accepted first; nothing changed
  5  accepted, but not yet confirmed by all live entries
)";

std::optional<std::uint64_t>
ParseUnsigned(const std::string& aText)
{
  std::uint64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto [ptr, ec] = std::from_chars(aText.data(), end, number);
  if (aText.empty() || ec != std::errc{} || ptr != end) {
    return std::nullopt;
  }
  return number;
}

// Selects the command by the parsed arguments and runs it.
class ControlProgram
{
public:
  ControlProgram(Fetcher& aFetcher,
                 std::ostream& aOut,
                 std::ostream& aErr,
                 const ParsedArguments& aArguments)
    : mFetcher(aFetcher)
    , mArguments(aArguments)
    , mOptions{ .targets = {}, .out = aOut, .err = aErr }
  {
  }

  ExitCode Run();

private:
  bool ReadOptions();
  bool ReadTargets();
  ExitCode RunTable();
  ExitCode RunApply(TableCommands& aCommands, const std::string& aCsv);
  std::optional<std::string> ReadFile();
  ExitCode ReportUsageError(const std::string& aText);

  Fetcher& mFetcher;
  const ParsedArguments& mArguments;
  ControlOptions mOptions;
};

ExitCode
ControlProgram::Run()
{
  if (!ReadOptions() || !ReadTargets()) {
    return ExitCode::kUsage;
  }
  if (mArguments.Has("table")) {
    return RunTable();
  }
  FleetCommands commands(mFetcher, mOptions);
  if (mArguments.Has("status")) {
    return commands.Status();
  }
  if (mArguments.Has("fleet")) {
    return commands.Fleet();
  }
  if (mArguments.Has("drain")) {
    return commands.Drain(BackendId(mArguments.Text("BACKEND")));
  }
  if (mArguments.Has("undrain")) {
    return commands.Undrain(BackendId(mArguments.Text("BACKEND")));
  }
  if (mArguments.Has("role")) {
    return commands.ChangeRole(BackendId(mArguments.Text("BACKEND")),
                               mArguments.Text("ROLE"));
  }
  if (mArguments.Has("load")) {
    return commands.Load(BackendId(mArguments.Text("BACKEND")),
                         { .model = ModelId(mArguments.Text("MODEL")),
                           .version = mArguments.Text("--model-version"),
                           .adapter = mArguments.Text("--adapter") });
  }
  if (mArguments.Has("why")) {
    return commands.Why(RequestId(mArguments.Text("REQUEST")));
  }
  return commands.Booking(BookingKey(mArguments.Text("KEY")),
                          ServiceId(mArguments.Text("--service")),
                          CustomerId(mArguments.Text("--customer")));
}

bool
ControlProgram::ReadOptions()
{
  const std::string format = mArguments.Text("--format");
  if (format != "text" && format != "json") {
    ReportUsageError("--format: must be text or json");
    return false;
  }
  mOptions.format =
    format == "json" ? OutputFormat::kJson : OutputFormat::kText;
  const auto seconds = ParseUnsigned(mArguments.Text("--timeout"));
  if (!seconds || *seconds > kMaxTimeoutSeconds) {
    ReportUsageError("--timeout: must be a whole number from 0 to 3600");
    return false;
  }
  mOptions.timeout = std::chrono::seconds(*seconds);
  return true;
}

bool
ControlProgram::ReadTargets()
{
  if (mArguments.Has("--settings")) {
    const auto settings = LoadSettings(
      { .file = mArguments.Text("--settings"), .needsHost = false });
    if (!settings) {
      for (const auto& it : settings.error().lines) {
        ReportUsageError(it);
      }
      return false;
    }
    mOptions.targets = ControlTargetsOf(*settings);
  }
  for (auto& it : mArguments.Texts("--entry")) {
    mOptions.targets.entries.push_back(std::move(it));
  }
  for (auto& it : mArguments.Texts("--steward")) {
    mOptions.targets.stewards.push_back(std::move(it));
  }
  constexpr std::array<const char*, 5> kStewardCommands{
    "fleet", "drain", "undrain", "role", "load"
  };
  const bool queriesSteward = std::ranges::any_of(
    kStewardCommands, [&](const char* aName) { return mArguments.Has(aName); });
  if (queriesSteward && mOptions.targets.stewards.empty()) {
    ReportUsageError(
      "no steward to query: give --steward URL or --settings FILE");
    return false;
  }
  if (!queriesSteward && mOptions.targets.entries.empty()) {
    ReportUsageError("no entry to query: give --entry URL or --settings FILE");
    return false;
  }
  return true;
}

ExitCode
ControlProgram::RunTable()
{
  TableCommands commands(mFetcher, mOptions);
  if (mArguments.Has("export")) {
    return commands.Export();
  }
  if (mArguments.Has("history")) {
    return commands.History();
  }
  if (mArguments.Has("wait")) {
    const auto version = ParseUnsigned(mArguments.Text("VERSION"));
    return version ? commands.Wait(*version)
                   : ReportUsageError("VERSION: must be a whole number");
  }
  const auto csv = ReadFile();
  if (!csv) {
    return ReportUsageError(mArguments.Text("FILE") + ": can't be read");
  }
  return mArguments.Has("diff") ? commands.Diff(*csv)
                                : RunApply(commands, *csv);
}

ExitCode
ControlProgram::RunApply(TableCommands& aCommands, const std::string& aCsv)
{
  if (!mArguments.Has("--base")) {
    return aCommands.Apply(aCsv, {});
  }
  const auto base = ParseUnsigned(mArguments.Text("--base"));
  return base ? aCommands.Apply(aCsv, base)
              : ReportUsageError("--base: must be a whole number");
}

std::optional<std::string>
ControlProgram::ReadFile()
{
  std::ifstream in(mArguments.Text("FILE"), std::ios::binary);
  if (!in) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(in), {});
}

ExitCode
ControlProgram::ReportUsageError(const std::string& aText)
{
  mOptions.err << aText << '\n';
  return ExitCode::kUsage;
}

} // namespace

ExitCode
RunControl(Fetcher& aFetcher,
           std::ostream& aOut,
           std::ostream& aErr,
           const std::string& aVersion,
           int aCount,
           const char* const* aWords)
{
  const auto arguments = ParseArguments(kUsage, aVersion, aCount, aWords);
  if (!arguments) {
    return arguments.error();
  }
  return ControlProgram(aFetcher, aOut, aErr, *arguments).Run();
}

} // namespace firefly

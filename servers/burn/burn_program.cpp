#include "servers/burn/burn_program.h"

#include <charconv>
#include <fstream>

#include "servers/burn/burn_format.h"
#include "servers/control/control.h"
#include "servers/metrics/metrics_text.h"

namespace firefly {

namespace {

constexpr std::uint64_t kMaxSamples = 1'000'000;
constexpr std::uint64_t kMaxIntervalSeconds = 86'400;

constexpr const char* kUsage =
  R"(firefly-burn: reports how fast services use up their error budgets.

Usage:
  firefly-burn [--entry URL]... [--settings FILE] [--interval S] [--samples N]
               [--record FILE] [--replay FILE]... [--format FORMAT] [--output FILE]
  firefly-burn --help
  firefly-burn --version

Options:
  --entry URL      Admin URL of an entry; may be repeated.
  --settings FILE  Query all hosts of this settings file and use its objectives.
  --interval S     Seconds between two samples [default: 5].
  --samples N      Samples to collect; 0 reports on saved ones [default: 2].
  --record FILE    Append each sample to FILE as a line of JSON.
  --replay FILE    Start with the samples of FILE; may be repeated, the oldest first.
  --format FORMAT  text, json or html [default: text].
  --output FILE    Write the report to FILE instead of stdout.
  --help           Show this text.
  --version        Show the version.

Examples:
  firefly-burn --settings settings/demo.toml --samples 3 --interval 1
  firefly-burn --settings settings/demo.toml --record burn.jsonl --samples 1
  firefly-burn --settings settings/demo.toml --replay burn.jsonl --samples 0 --format html --output burn.html

Exit codes:
  0  the report was written
  1  a file could not be read or written
  2  invalid arguments or settings; each error is a line on stderr
  3  no entry answered and there are no saved samples
)";

std::optional<std::uint64_t>
ParseInteger(const std::string& aText, std::uint64_t aMax)
{
  std::uint64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto [ptr, ec] = std::from_chars(aText.data(), end, number);
  if (aText.empty() || ec != std::errc{} || ptr != end || number > aMax) {
    return std::nullopt;
  }
  return number;
}

// Reads recorded samples, collects new ones and writes one report.
class BurnProgram
{
public:
  BurnProgram(const BurnEnvironment& aEnvironment,
              const ParsedArguments& aArguments)
    : mEnvironment(aEnvironment)
    , mArguments(aArguments)
  {
  }

  ExitCode Run();

private:
  bool ReadOptions();
  bool ReadSettings();
  bool ReplayFile(const std::string& aFile);
  bool CollectSamples();
  BurnSnapshot TakeSnapshot();
  EntrySample MakeSample(const std::string& aUrl, const FetchResult& aResult);
  bool AppendToRecord(const BurnSnapshot& aSnapshot);
  bool WriteReport(const BurnReport& aReport);
  bool ReportError(const std::string& aText);

  const BurnEnvironment& mEnvironment;
  const ParsedArguments& mArguments;
  std::vector<std::string> mEntries;
  std::map<BurnKey, BurnObjective> mObjectives;
  std::uint64_t mSampleCount = 0;
  Duration mInterval{};
  BurnHistory mHistory;
};

ExitCode
BurnProgram::Run()
{
  if (!ReadOptions() || !ReadSettings()) {
    return ExitCode::kUsage;
  }
  for (const auto& it : mArguments.Texts("--replay")) {
    if (!ReplayFile(it)) {
      return ExitCode::kFailed;
    }
  }
  if (!CollectSamples()) {
    return ExitCode::kFailed;
  }
  if (!WriteReport(MakeBurnReport(mHistory, mObjectives))) {
    return ExitCode::kFailed;
  }
  return mHistory.Keys().empty() ? ExitCode::kUnreachable : ExitCode::kOk;
}

bool
BurnProgram::ReadOptions()
{
  const std::string format = mArguments.Text("--format");
  if (format != "text" && format != "json" && format != "html") {
    return ReportError("--format: must be text, json or html");
  }
  const auto samples = ParseInteger(mArguments.Text("--samples"), kMaxSamples);
  if (!samples) {
    return ReportError("--samples: must be a whole number from 0 to 1000000");
  }
  const auto interval =
    ParseInteger(mArguments.Text("--interval"), kMaxIntervalSeconds);
  if (!interval || *interval == 0) {
    return ReportError("--interval: must be a whole number from 1 to 86400");
  }
  mSampleCount = *samples;
  mInterval = std::chrono::seconds(*interval);
  return true;
}

bool
BurnProgram::ReadSettings()
{
  if (mArguments.Has("--settings")) {
    const auto settings = LoadSettings(
      { .file = mArguments.Text("--settings"), .needsHost = false });
    if (!settings) {
      for (const auto& it : settings.error().lines) {
        ReportError(it);
      }
      return false;
    }
    mEntries = ControlTargetsOf(*settings).entries;
    mObjectives = ObjectivesOf(*settings);
  }
  for (auto& it : mArguments.Texts("--entry")) {
    mEntries.push_back(std::move(it));
  }
  if (mSampleCount > 0 && mEntries.empty()) {
    return ReportError(
      "no entry to query: give --entry URL or --settings FILE, or "
      "--samples 0 with --replay FILE");
  }
  if (mSampleCount == 0 && !mArguments.Has("--replay")) {
    return ReportError("--samples 0 needs --replay FILE");
  }
  return true;
}

bool
BurnProgram::ReplayFile(const std::string& aFile)
{
  std::ifstream in(aFile);
  if (!in) {
    return ReportError(aFile + ": can't be read");
  }
  std::size_t number = 0;
  for (std::string line; std::getline(in, line);) {
    ++number;
    const auto snapshot = ParseSnapshot(line);
    if (!snapshot) {
      return ReportError(aFile + ':' + std::to_string(number) +
                         ": not a sample: " + snapshot.error());
    }
    mHistory.Add(*snapshot);
  }
  return true;
}

bool
BurnProgram::CollectSamples()
{
  for (std::uint64_t n = 0; n < mSampleCount; ++n) {
    if (n > 0) {
      mEnvironment.fetcher.Sleep(mInterval);
    }
    const auto snapshot = TakeSnapshot();
    mHistory.Add(snapshot);
    if (!AppendToRecord(snapshot)) {
      return false;
    }
  }
  return true;
}

BurnSnapshot
BurnProgram::TakeSnapshot()
{
  std::vector<HttpCall> calls;
  for (const auto& it : mEntries) {
    HttpCall call;
    call.url = it + "/metrics";
    call.totalTimeout = std::chrono::seconds(5);
    calls.push_back(std::move(call));
  }
  BurnSnapshot snapshot{ .time = mEnvironment.wallNow(), .entries = {} };
  const auto results = mEnvironment.fetcher.FetchAll(std::move(calls));
  for (std::size_t n = 0; n < results.size(); ++n) {
    snapshot.entries.push_back(MakeSample(mEntries[n], results[n]));
  }
  return snapshot;
}

EntrySample
BurnProgram::MakeSample(const std::string& aUrl, const FetchResult& aResult)
{
  EntrySample sample{ .url = aUrl, .error = "", .counters = {} };
  if (!aResult) {
    sample.error = Describe(aResult.error());
    return sample;
  }
  if (aResult->status != 200) {
    sample.error = "status " + std::to_string(aResult->status);
    return sample;
  }
  const auto samples = ParseMetrics(aResult->body);
  if (!samples) {
    sample.error = "metrics, line " + std::to_string(samples.error().line) +
                   ": " + samples.error().message;
    return sample;
  }
  return MakeEntrySample(aUrl, *samples);
}

bool
BurnProgram::AppendToRecord(const BurnSnapshot& aSnapshot)
{
  const std::string file = mArguments.Text("--record");
  if (file.empty()) {
    return true;
  }
  std::ofstream out(file, std::ios::app);
  out << FormatSnapshot(aSnapshot) << '\n';
  out.close();
  return out ? true : ReportError(file + ": can't be written");
}

bool
BurnProgram::WriteReport(const BurnReport& aReport)
{
  const std::string format = mArguments.Text("--format");
  std::string text;
  if (format == "json") {
    text = FormatJson(aReport);
  } else if (format == "html") {
    text = FormatHtml(aReport);
  } else {
    text = FormatText(aReport);
  }
  const std::string file = mArguments.Text("--output");
  if (file.empty()) {
    mEnvironment.out << text;
    return true;
  }
  std::ofstream out(file);
  out << text;
  out.close();
  return out ? true : ReportError(file + ": can't be written");
}

// Writes the message to stderr. Returns false, for the caller to pass on.
bool
BurnProgram::ReportError(const std::string& aText)
{
  mEnvironment.err << aText << '\n';
  return false;
}

} // namespace

ExitCode
RunBurn(const BurnEnvironment& aEnvironment,
        int aCount,
        const char* const* aArgumentValues)
{
  const auto arguments =
    ParseArguments(kUsage, aEnvironment.version, aCount, aArgumentValues);
  if (!arguments) {
    return arguments.error();
  }
  return BurnProgram(aEnvironment, *arguments).Run();
}

} // namespace firefly

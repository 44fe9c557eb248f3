#include "servers/burn/burn_program.h"

#include <charconv>
#include <fstream>

#include "servers/burn/burn_format.h"
#include "servers/control/control.h"
#include "servers/metrics/metrics_text.h"

namespace firefly {

namespace {

constexpr std::uint64_t kMostSamples = 1'000'000;
constexpr std::uint64_t kMostInterval = 86'400;

constexpr const char* kUsage =
  R"(firefly-burn: reports how fast services use up their error budgets.

Usage:
  firefly-burn [--entry URL]... [--settings FILE] [--interval S] [--samples N]
               [--record FILE] [--replay FILE]... [--format FORMAT] [--output FILE]
  firefly-burn --help
  firefly-burn --version

Options:
  --entry URL      Admin address of an entry; may be repeated.
  --settings FILE  Ask all hosts of this settings file, and take its objectives.
  --interval S     Seconds between two samples [default: 5].
  --samples N      Samples to gather; 0 reports on saved ones [default: 2].
  --record FILE    Append each sample to FILE, a line of JSON each.
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
  2  wrong command line or settings; each fault is a line on stderr
  3  no entry answered and there are no saved samples
)";

std::optional<std::uint64_t>
ParseWhole(const std::string& aText, std::uint64_t aMost)
{
  std::uint64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto [ptr, ec] = std::from_chars(aText.data(), end, number);
  if (aText.empty() || ec != std::errc{} || ptr != end || number > aMost) {
    return std::nullopt;
  }
  return number;
}

// Gathers samples and writes one report.
class BurnProgram
{
public:
  BurnProgram(const BurnSurroundings& aSurroundings,
              const ParsedArguments& aArguments)
    : mSurroundings(aSurroundings)
    , mArguments(aArguments)
  {
  }

  ExitCode Run();

private:
  bool ReadOptions();
  bool ReadSettings();
  bool Replay(const std::string& aFile);
  bool Poll();
  BurnSnapshot TakeSnapshot();
  EntrySample MakeSample(const std::string& aUrl, const FetchResult& aResult);
  bool Record(const BurnSnapshot& aSnapshot);
  bool Write(const BurnReport& aReport);
  bool Refuse(const std::string& aText);

  const BurnSurroundings& mSurroundings;
  const ParsedArguments& mArguments;
  std::vector<std::string> mEntries;
  std::map<BurnKey, BurnObjective> mObjectives;
  std::uint64_t mSamples = 0;
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
    if (!Replay(it)) {
      return ExitCode::kFailed;
    }
  }
  if (!Poll()) {
    return ExitCode::kFailed;
  }
  if (!Write(MakeBurnReport(mHistory, mObjectives))) {
    return ExitCode::kFailed;
  }
  return mHistory.Keys().empty() ? ExitCode::kUnreachable : ExitCode::kOk;
}

bool
BurnProgram::ReadOptions()
{
  const std::string format = mArguments.Text("--format");
  if (format != "text" && format != "json" && format != "html") {
    return Refuse("--format: must be text, json or html");
  }
  const auto samples = ParseWhole(mArguments.Text("--samples"), kMostSamples);
  if (!samples) {
    return Refuse("--samples: must be a whole number from 0 to 1000000");
  }
  const auto interval =
    ParseWhole(mArguments.Text("--interval"), kMostInterval);
  if (!interval || *interval == 0) {
    return Refuse("--interval: must be a whole number from 1 to 86400");
  }
  mSamples = *samples;
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
        Refuse(it);
      }
      return false;
    }
    mEntries = ControlTargetsOf(*settings).entries;
    mObjectives = ObjectivesOf(*settings);
  }
  for (auto& it : mArguments.Texts("--entry")) {
    mEntries.push_back(std::move(it));
  }
  if (mSamples > 0 && mEntries.empty()) {
    return Refuse("whom to ask: give --entry URL or --settings FILE, or "
                  "--samples 0 with --replay FILE");
  }
  if (mSamples == 0 && !mArguments.Has("--replay")) {
    return Refuse("--samples 0 needs --replay FILE");
  }
  return true;
}

bool
BurnProgram::Replay(const std::string& aFile)
{
  std::ifstream in(aFile);
  if (!in) {
    return Refuse(aFile + ": can't be read");
  }
  std::size_t number = 0;
  for (std::string line; std::getline(in, line);) {
    ++number;
    const auto snapshot = ParseSnapshot(line);
    if (!snapshot) {
      return Refuse(aFile + ':' + std::to_string(number) +
                    ": not a sample: " + snapshot.error());
    }
    mHistory.Add(*snapshot);
  }
  return true;
}

bool
BurnProgram::Poll()
{
  for (std::uint64_t n = 0; n < mSamples; ++n) {
    if (n > 0) {
      mSurroundings.fetcher.Sleep(mInterval);
    }
    const auto snapshot = TakeSnapshot();
    mHistory.Add(snapshot);
    if (!Record(snapshot)) {
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
  BurnSnapshot snapshot{ .time = mSurroundings.wallNow(), .entries = {} };
  const auto results = mSurroundings.fetcher.FetchAll(std::move(calls));
  for (std::size_t n = 0; n < results.size(); ++n) {
    snapshot.entries.push_back(MakeSample(mEntries[n], results[n]));
  }
  return snapshot;
}

EntrySample
BurnProgram::MakeSample(const std::string& aUrl, const FetchResult& aResult)
{
  EntrySample away{ .url = aUrl, .error = "", .counters = {} };
  if (!aResult) {
    away.error = Describe(aResult.error());
    return away;
  }
  if (aResult->status != 200) {
    away.error = "status " + std::to_string(aResult->status);
    return away;
  }
  const auto samples = ParseMetrics(aResult->body);
  if (!samples) {
    away.error = "metrics, line " + std::to_string(samples.error().line) +
                 ": " + samples.error().message;
    return away;
  }
  return MakeEntrySample(aUrl, *samples);
}

bool
BurnProgram::Record(const BurnSnapshot& aSnapshot)
{
  const std::string file = mArguments.Text("--record");
  if (file.empty()) {
    return true;
  }
  std::ofstream out(file, std::ios::app);
  out << FormatSnapshot(aSnapshot) << '\n';
  out.close();
  return out ? true : Refuse(file + ": can't be written");
}

bool
BurnProgram::Write(const BurnReport& aReport)
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
    mSurroundings.out << text;
    return true;
  }
  std::ofstream out(file);
  out << text;
  out.close();
  return out ? true : Refuse(file + ": can't be written");
}

// Says what is wrong; false, for the caller to return.
bool
BurnProgram::Refuse(const std::string& aText)
{
  mSurroundings.err << aText << '\n';
  return false;
}

} // namespace

ExitCode
RunBurn(const BurnSurroundings& aSurroundings,
        int aCount,
        const char* const* aWords)
{
  const auto arguments =
    ParseArguments(kUsage, aSurroundings.version, aCount, aWords);
  if (!arguments) {
    return arguments.error();
  }
  return BurnProgram(aSurroundings, *arguments).Run();
}

} // namespace firefly

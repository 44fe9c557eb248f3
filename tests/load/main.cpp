// firefly-load: measures the overhead of an entry compared with direct calls to
// an engine, and the processor time and memory of streams in an entry.

#include <iostream>
#include <string>

#include "servers/metrics/metrics_text.h"
#include "servers/settings/command_line.h"
#include "tests/load/stream_load.h"

namespace {

// The time limit of a stream, long enough that the first streams last through
// all steps.
constexpr firefly::Duration kStreamsLimit = std::chrono::minutes(5);

using firefly::Duration;
using firefly::ToSeconds;
using firefly::testing::LoadResult;
using firefly::testing::Percentile;
using firefly::testing::StreamLoad;

constexpr const char* kUsage =
  R"(firefly-load: generates a limited load of streamed requests

Usage:
  firefly-load compare --direct URL --entry URL [options]
  firefly-load streams --entry URL --admin URL [options]
  firefly-load --help

compare alternates rounds of direct requests to the engine and requests through
the entry, and prints their times and ratio. streams opens streams step by step
and prints the entry's processor time and memory at each step.

Options:
  --direct URL    URL of an engine.
  --entry URL     URL of an entry.
  --admin URL     URL of the entry's port for operators.
  --model ID      The requested model. [default: assistant]
  --requests N    Requests per round. [default: 1000]
  --at-once N     Concurrent requests. [default: 16]
  --tokens N      Tokens per answer. [default: 16]
  --rounds N      Rounds of each kind. [default: 3]
  --streams N     Streams at the last step. [default: 2000]
  --steps N       Steps. [default: 4]
  --hold-ms N     The measured time of each step. [default: 3000]
  --help          Show this text.
)";

std::size_t
Number(const firefly::ParsedArguments& aArguments, const std::string& aName)
{
  return std::stoul(aArguments.Text(aName));
}

StreamLoad::Options
LoadOptions(const firefly::ParsedArguments& aArguments, const std::string& aUrl)
{
  return { .url = aUrl,
           .model = aArguments.Text("--model"),
           .requests = Number(aArguments, "--requests"),
           .atOnce = Number(aArguments, "--at-once"),
           .tokens = static_cast<int>(Number(aArguments, "--tokens")) };
}

void
Print(const std::string& aName, const LoadResult& aResult)
{
  constexpr double kMillis = 1000;
  const auto& times = aResult.firstTokenSeconds;
  std::cout << aName << ": whole " << aResult.whole << ", failed "
            << aResult.failed << ", requests/s "
            << static_cast<double>(aResult.whole) / aResult.seconds
            << ", first token ms p50 " << Percentile(times, 0.5) * kMillis
            << " p95 " << Percentile(times, 0.95) * kMillis << '\n';
}

int
Compare(const firefly::ParsedArguments& aArguments)
{
  std::size_t failed = 0;
  for (std::size_t i = 0; i < Number(aArguments, "--rounds"); ++i) {
    firefly::AsioExecutor executor;
    const auto direct =
      StreamLoad(LoadOptions(aArguments, aArguments.Text("--direct")), executor)
        .Run();
    const auto entry =
      StreamLoad(LoadOptions(aArguments, aArguments.Text("--entry")), executor)
        .Run();
    Print("direct", direct);
    Print("entry ", entry);
    constexpr double kMillis = 1000;
    std::cout << "added to the first token, ms: "
              << (Percentile(entry.firstTokenSeconds, 0.5) -
                  Percentile(direct.firstTokenSeconds, 0.5)) *
                   kMillis
              << "; ratio of requests/s: " << direct.seconds / entry.seconds
              << '\n';
    failed += direct.failed + entry.failed;
  }
  return failed == 0 ? 0 : 1;
}

// Returns a gauge or counter of the entry, or zero if it cannot be read.
double
Metric(firefly::AsioExecutor& aExecutor,
       const std::string& aAdminUrl,
       const std::string& aName)
{
  firefly::CurlClient client(aExecutor, {});
  firefly::HttpCall call;
  call.url = aAdminUrl + "/metrics";
  double value = 0;
  bool ended = false;
  client.Fetch(std::move(call), [&](const auto& aResult) {
    ended = true;
    const auto samples =
      firefly::ParseMetrics(aResult ? aResult->body : std::string());
    for (const auto& it :
         samples.value_or(std::vector<firefly::MetricSample>{})) {
      value = it.name == aName ? it.value : value;
    }
  });
  while (!ended) {
    aExecutor.Context().restart();
    aExecutor.Context().run_for(std::chrono::milliseconds(1));
  }
  return value;
}

int
Streams(const firefly::ParsedArguments& aArguments)
{
  const auto admin = aArguments.Text("--admin");
  const auto streams = Number(aArguments, "--streams");
  const auto steps = Number(aArguments, "--steps");
  const auto hold = std::chrono::milliseconds(Number(aArguments, "--hold-ms"));
  auto options = LoadOptions(aArguments, aArguments.Text("--entry"));
  options.requests = streams;
  options.atOnce = 0; // started step by step
  options.limit = kStreamsLimit;
  firefly::AsioExecutor executor;
  StreamLoad load(options, executor);
  for (std::size_t i = 0; i <= steps; ++i) {
    load.RunUntilStreaming(streams * i / steps);
    const auto cpu = Metric(executor, admin, "process_cpu_seconds_total");
    const auto begin = executor.Now();
    const auto chunks = load.Chunks();
    load.RunFor(hold);
    const auto seconds = ToSeconds(executor.Now() - begin);
    const auto used =
      Metric(executor, admin, "process_cpu_seconds_total") - cpu;
    constexpr double kMebi = 1048576;
    std::cout << "streams " << load.Streaming() << ", failed " << load.Failed()
              << ", chunks/s "
              << static_cast<double>(load.Chunks() - chunks) / seconds
              << ", cores " << used / seconds << ", memory MiB "
              << Metric(executor, admin, "process_resident_memory_bytes") /
                   kMebi
              << std::endl; // flushes each step
  }
  return load.Failed() == 0 ? 0 : 1;
}

} // namespace

int
main(int aCount, char** aWords)
{
  const auto arguments =
    firefly::ParseArguments(kUsage, "firefly-load", aCount, aWords);
  if (!arguments) {
    return static_cast<int>(arguments.error());
  }
  return arguments->Has("compare") ? Compare(*arguments) : Streams(*arguments);
}

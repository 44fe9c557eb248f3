// firefly-soak: runs a small copy of the users' deployment with the real relay
// program, injects faults drawn from a seed and checks the system's promises.

#include <csignal>
#include <fstream>
#include <iostream>

#include "core/random.h"
#include "servers/settings/command_line.h"
#include "tests/process/process_harness.h"
#include "tests/soak/report.h"

namespace {

constexpr const char* kUsage =
  R"(firefly-soak: injects random faults around real relays and checks promises.

Usage:
  firefly-soak [--seed N] [--seeds N] [--faults-for S] [--fault-gap-ms N]
               [--relays N] [--engines N] [--services N] [--callers N]
               [--logs DIR] [--json FILE] [--html FILE]
  firefly-soak --help
  firefly-soak --version

Options:
  --seed N          The first seed [default: 1].
  --seeds N         The number of consecutive seeds to run [default: 1].
  --faults-for S    Seconds in which faults begin [default: 12].
  --fault-gap-ms N  Mean time between two faults; 0 chooses 300 to 2000 ms from
                    the seed [default: 0].
  --relays N        Relay processes [default: 4].
  --engines N       Model engines [default: 5].
  --services N      Plain backend servers [default: 3].
  --callers N       Simulated callers [default: 40].
  --logs DIR        Keep settings and logs of the processes in DIR.
  --json FILE       Write the report as JSON.
  --html FILE       Write the report as a page with a timeline.
  --help            Show this text.
  --version         Show the version.

Exit codes:
  0  no promise was broken
  1  a promise was broken, or a soak could not start
  2  invalid command line
)";

// Frequent faults test combinations of faults. Rare faults leave undisturbed
// periods, in which promises with time limits can be checked.
std::chrono::milliseconds
FaultGapForSeed(std::uint64_t aSeed)
{
  constexpr std::uint64_t kMinGapMs = 300;
  constexpr std::uint64_t kGapRangeMs = 1700;
  return std::chrono::milliseconds(kMinGapMs +
                                   firefly::Random(aSeed).Below(kGapRangeMs));
}

} // namespace

int
main(int aCount, char** aWords)
{
  const auto parsed = firefly::ParseArguments(
    kUsage, std::string("firefly-soak ") + FIREFLY_VERSION, aCount, aWords);
  if (!parsed) {
    return static_cast<int>(parsed.error());
  }
  const auto number = [&](const char* aName) {
    return static_cast<std::uint64_t>(std::stoull(parsed->Text(aName)));
  };
  std::signal(SIGPIPE, SIG_IGN);
  const firefly::testing::TemporaryDirectory temporary;
  const std::filesystem::path logs =
    parsed->Has("--logs") ? parsed->Text("--logs") : temporary.Path().string();
  const auto gap = number("--fault-gap-ms");
  std::vector<firefly::soak::SoakResult> results;
  bool allKept = true;
  for (std::uint64_t i = 0; i < number("--seeds"); ++i) {
    const auto seed = number("--seed") + i;
    const auto result = firefly::soak::RunSoak(
      { .seed = seed,
        .relays = number("--relays"),
        .engines = number("--engines"),
        .services = number("--services"),
        .callers = number("--callers"),
        .faultPeriod = std::chrono::seconds(number("--faults-for")),
        .faultGap =
          gap > 0 ? std::chrono::milliseconds(gap) : FaultGapForSeed(seed),
        .directory = logs / ("seed-" + std::to_string(seed)) });
    std::cout << firefly::soak::FormatText(result) << std::flush;
    allKept = allKept && result.error.empty() && result.violations.empty();
    results.push_back(result);
  }
  if (parsed->Has("--json")) {
    std::ofstream(parsed->Text("--json")) << firefly::soak::FormatJson(results);
  }
  if (parsed->Has("--html")) {
    std::ofstream(parsed->Text("--html")) << firefly::soak::FormatHtml(results);
  }
  return static_cast<int>(allKept ? firefly::ExitCode::kOk
                                  : firefly::ExitCode::kFailed);
}

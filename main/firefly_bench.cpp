// firefly-bench: runs the policies in a simulation on a virtual clock, and
// measures the wall time that they cost.

#include <cstdio>
#include <iostream>
#include <map>
#include <string>

#include <docopt/docopt.h>

#include "bench/compare.h"
#include "bench/decision_cost.h"
#include "bench/html_report.h"
#include "bench/simulation.h"
#include "policy/policy_set.h"

namespace {

using Arguments = std::map<std::string, docopt::value>;

constexpr int kExitOk = 0;
constexpr int kExitTargetMissed = 1;
constexpr int kExitUsage = 2;

constexpr const char* kUsage =
  R"(firefly-bench: measures the policies on a virtual clock.

Usage:
  firefly-bench run [--scenario NAME] [--policy NAME] [--deployment NAME]
                    [--seed N] [--entries N] [--load X] [--calm]
                    [--without PARTS] [--format FORMAT]
  firefly-bench compare [--seeds N] [--entries N] [--scenario NAME]
                    [--deployment NAME] [--ablation] [--strict]
                    [--format FORMAT]
  firefly-bench cost [--backends N] [--entries N] [--format FORMAT]
  firefly-bench (-h | --help)
  firefly-bench --version

Options:
  --scenario NAME    shift, crest, hol, slow, poison or steady; "compare" runs
                     the first five unless one is named.
  --policy NAME      firefly, round-robin, least-reported-load, or clairvoyant
                     (an upper bound on worth) [default: firefly].
  --deployment NAME  macaskill or hooghly; "run" takes macaskill, "compare"
                     both, unless one is named.
  --seed N           The same seed gives the same output [default: 1].
  --seeds N          Runs seeds 1 to N [default: 3].
  --entries N        Entries, each with its own view of the fleet [default: 9].
  --load X           Offered load of "steady", as a fraction of the fleet's
                     fluid bound [default: 0.6].
  --calm             Leaves out stragglers, slowdowns and poison.
  --without PARTS    Parts of firefly to leave out, with commas between.
  --backends N       Backend servers for "cost" [default: 600].
  --ablation         Compares firefly with itself without each of its parts.
  --strict           Exit code 1 if a stated target is missed.
  --format FORMAT    text or json; "compare" also html [default: text].
  -h --help          Shows this text.
  --version          Shows the version.

Examples:
  firefly-bench run --scenario crest --seed 7 --format json
  firefly-bench run --scenario shift --without roles,affinity
  firefly-bench compare --seeds 5 --format html > compare.html
  firefly-bench cost --backends 600 --entries 370

"cost" measures wall time on this machine; all else runs on a virtual clock.

Exit codes:
  0  done
  1  done, but a target was missed (only with --strict)
  2  invalid arguments
)";

// The value of an option as a non-negative integer; throws an exception derived
// from std::exception if it is not one.
std::uint64_t
NumberOf(const Arguments& aArguments, const std::string& aName)
{
  const long number = aArguments.at(aName).asLong();
  if (number < 0) {
    throw std::invalid_argument(aName + " must not be negative");
  }
  return static_cast<std::uint64_t>(number);
}

std::set<std::string>
SplitParts(const std::string& aText)
{
  std::set<std::string> parts;
  std::size_t from = 0;
  while (from < aText.size()) {
    const auto to = std::min(aText.find(',', from), aText.size());
    if (to > from) {
      parts.insert(aText.substr(from, to - from));
    }
    from = to + 1;
  }
  return parts;
}

int
ReportUsageError(const std::string& aMessage)
{
  std::cerr << "firefly-bench: " << aMessage << "\n";
  return kExitUsage;
}

int
RunOne(const Arguments& aArguments)
{
  firefly::bench::RunOptions options;
  if (aArguments.at("--scenario")) {
    options.scenario = aArguments.at("--scenario").asString();
  }
  if (aArguments.at("--deployment")) {
    options.deployment = aArguments.at("--deployment").asString();
  }
  if (aArguments.at("--without")) {
    options.disabledParts = SplitParts(aArguments.at("--without").asString());
  }
  options.policy = aArguments.at("--policy").asString();
  options.seed = NumberOf(aArguments, "--seed");
  options.entries =
    static_cast<std::uint32_t>(NumberOf(aArguments, "--entries"));
  options.load = std::stod(aArguments.at("--load").asString());
  options.calm = aArguments.at("--calm").asBool();
  const auto format = aArguments.at("--format").asString();
  if (format != "text" && format != "json") {
    return ReportUsageError("unknown format '" + format + "'");
  }
  if (!(options.load > 0)) {
    return ReportUsageError("--load must be positive");
  }
  const auto result = firefly::bench::Run(options);
  if (!result) {
    return ReportUsageError(result.error());
  }
  std::cout << (format == "json" ? result->ToJson() : result->ToText());
  return kExitOk;
}

int
CompareAll(const Arguments& aArguments)
{
  firefly::bench::CompareOptions options;
  options.seeds = static_cast<std::uint32_t>(NumberOf(aArguments, "--seeds"));
  options.entries =
    static_cast<std::uint32_t>(NumberOf(aArguments, "--entries"));
  options.deployments = firefly::bench::DeploymentNames();
  options.scenarios = firefly::bench::ScenarioNames();
  options.ablation = aArguments.at("--ablation").asBool();
  if (aArguments.at("--scenario")) {
    options.scenarios = { aArguments.at("--scenario").asString() };
  }
  if (aArguments.at("--deployment")) {
    options.deployments = { aArguments.at("--deployment").asString() };
  }
  if (options.seeds == 0) {
    return ReportUsageError("--seeds must be positive");
  }
  const auto format = aArguments.at("--format").asString();
  if (format != "text" && format != "json" && format != "html") {
    return ReportUsageError("unknown format '" + format + "'");
  }
  const auto comparison = firefly::bench::Compare(options);
  if (!comparison) {
    return ReportUsageError(comparison.error());
  }
  if (format == "html") {
    std::cout << firefly::bench::ToHtml(*comparison);
  } else {
    std::cout << (format == "json" ? comparison->ToJson()
                                   : comparison->ToText());
  }
  bool allMet = true;
  for (const auto& target : comparison->targets) {
    allMet = allMet && target.IsMet();
  }
  const bool strict = aArguments.at("--strict").asBool();
  return strict && !allMet ? kExitTargetMissed : kExitOk;
}

int
ShowCost(const Arguments& aArguments)
{
  firefly::bench::CostOptions options;
  options.backends =
    static_cast<std::uint32_t>(NumberOf(aArguments, "--backends"));
  options.entries =
    static_cast<std::uint32_t>(NumberOf(aArguments, "--entries"));
  if (options.backends == 0 || options.entries == 0) {
    return ReportUsageError("--backends and --entries must be positive");
  }
  const auto format = aArguments.at("--format").asString();
  if (format != "text" && format != "json") {
    return ReportUsageError("unknown format '" + format + "'");
  }
  const auto cost = firefly::bench::MeasureCost(options);
  std::cout << (format == "json" ? cost.ToJson() : cost.ToText());
  return kExitOk;
}

} // namespace

int
main(int aCount, char** aValues)
{
  try {
    const auto arguments = docopt::docopt_parse(
      kUsage, { aValues + 1, aValues + aCount }, true, true);
    if (arguments.at("cost").asBool()) {
      return ShowCost(arguments);
    }
    return arguments.at("run").asBool() ? RunOne(arguments)
                                        : CompareAll(arguments);
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << kUsage;
    return kExitOk;
  } catch (const docopt::DocoptExitVersion&) {
    std::cout << "firefly-bench " FIREFLY_VERSION "\n";
    return kExitOk;
  } catch (const docopt::DocoptArgumentError& error) {
    std::cerr << error.what() << "\n\n" << kUsage;
    return kExitUsage;
  } catch (const std::exception& error) {
    return ReportUsageError(error.what());
  }
}

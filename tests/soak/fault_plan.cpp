#include "tests/soak/fault_plan.h"

#include <algorithm>
#include <array>

#include "core/random.h"

namespace firefly::soak {

namespace {

struct KindName
{
  FaultKind kind;
  std::string_view name;
};

constexpr std::array<KindName, kFaultKinds> kNames{ {
  { FaultKind::kRelayKill, "relay-kill" },
  { FaultKind::kRelayStop, "relay-stop" },
  { FaultKind::kRelayRollingStop, "relay-rolling-stop" },
  { FaultKind::kRelayHerdKill, "relay-herd-kill" },
  { FaultKind::kRelayFreeze, "relay-freeze" },
  { FaultKind::kRelayReload, "relay-reload" },
  { FaultKind::kCallersDelay, "callers-delay" },
  { FaultKind::kCallersReset, "callers-reset" },
  { FaultKind::kCallersLost, "callers-lost" },
  { FaultKind::kStoreWaySilent, "store-way-silent" },
  { FaultKind::kStoreWayOneWay, "store-way-one-way" },
  { FaultKind::kStoreWayReset, "store-way-reset" },
  { FaultKind::kStoreBusy, "store-busy" },
  { FaultKind::kStoreSlow, "store-slow" },
  { FaultKind::kStoreLostAnswers, "store-lost-answers" },
  { FaultKind::kStoreLateAppends, "store-late-appends" },
  { FaultKind::kStoreCompact, "store-compact" },
  { FaultKind::kStoreGarbage, "store-garbage" },
  { FaultKind::kRunnerCrash, "runner-crash" },
  { FaultKind::kRunnerDark, "runner-dark" },
  { FaultKind::kRunnerLeave, "runner-leave" },
  { FaultKind::kRunnerRelease, "runner-release" },
  { FaultKind::kRunnerFailing, "runner-failing" },
  { FaultKind::kRunnerLostAnswers, "runner-lost-answers" },
  { FaultKind::kRunnerSlow, "runner-slow" },
  { FaultKind::kRunnerReset, "runner-reset" },
  { FaultKind::kRunnerLost, "runner-lost" },
  { FaultKind::kChange, "change" },
  { FaultKind::kChangeStorm, "change-storm" },
} };

// Seconds that a fault lasts.
constexpr double kShortest = 0.5;
constexpr double kUsual = 2.5;
constexpr double kLongest = 6.0;
// Changes come more often than any fault, since most promises are about them.
constexpr double kChanges = 0.2;

} // namespace

std::string_view
ToString(FaultKind aKind)
{
  const auto* const it = std::ranges::find(kNames, aKind, &KindName::kind);
  return it == kNames.end() ? "unknown" : it->name;
}

std::vector<Fault>
PlanFaults(const FaultPlanOptions& aOptions)
{
  Random random(aOptions.seed);
  std::vector<Fault> faults;
  for (auto at = aOptions.from; at < aOptions.until;
       at += FromSeconds(random.Exponential(ToSeconds(aOptions.gap)))) {
    Fault fault;
    fault.kind = random.Chance(kChanges)
                   ? FaultKind::kChange
                   : static_cast<FaultKind>(random.Below(kFaultKinds));
    fault.at = at;
    fault.length = FromSeconds(
      std::min(kLongest, kShortest + random.Exponential(kUsual - kShortest)));
    fault.target = random.Next();
    fault.part = 0.2 + 0.8 * random.Uniform();
    faults.push_back(fault);
  }
  return faults;
}

} // namespace firefly::soak

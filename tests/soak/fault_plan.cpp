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

// Reports contain these names, so they stay if an enumerator is renamed.
constexpr std::array<KindName, kFaultKinds> kNames{ {
  { FaultKind::kRelayKill, "relay-kill" },
  { FaultKind::kRelayStop, "relay-stop" },
  { FaultKind::kRelayRollingStop, "relay-rolling-stop" },
  { FaultKind::kRelayMassKill, "relay-herd-kill" },
  { FaultKind::kRelayFreeze, "relay-freeze" },
  { FaultKind::kRelayReload, "relay-reload" },
  { FaultKind::kCallersDelay, "callers-delay" },
  { FaultKind::kCallersReset, "callers-reset" },
  { FaultKind::kCallersBlackholed, "callers-lost" },
  { FaultKind::kStoreNetworkSilent, "store-way-silent" },
  { FaultKind::kStoreNetworkOneWay, "store-way-one-way" },
  { FaultKind::kStoreNetworkReset, "store-way-reset" },
  { FaultKind::kStoreBusy, "store-busy" },
  { FaultKind::kStoreSlow, "store-slow" },
  { FaultKind::kStoreLostAnswers, "store-lost-answers" },
  { FaultKind::kStoreLateAppends, "store-late-appends" },
  { FaultKind::kStoreCompact, "store-compact" },
  { FaultKind::kStoreGarbage, "store-garbage" },
  { FaultKind::kBackendCrash, "runner-crash" },
  { FaultKind::kBackendUnreachable, "runner-dark" },
  { FaultKind::kBackendLeave, "runner-leave" },
  { FaultKind::kBackendRollingLeave, "runner-release" },
  { FaultKind::kBackendFailing, "runner-failing" },
  { FaultKind::kBackendLostAnswers, "runner-lost-answers" },
  { FaultKind::kBackendSlow, "runner-slow" },
  { FaultKind::kBackendReset, "runner-reset" },
  { FaultKind::kBackendBlackholed, "runner-lost" },
  { FaultKind::kTableChange, "change" },
  { FaultKind::kTableChangeBurst, "change-storm" },
} };

// The length of a fault in seconds.
constexpr double kMinSeconds = 0.5;
constexpr double kMeanSeconds = 2.5;
constexpr double kMaxSeconds = 6.0;
// The share of table changes. They are more frequent than any other kind,
// because most promises are about them.
constexpr double kTableChangeShare = 0.2;

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
    fault.kind = random.Chance(kTableChangeShare)
                   ? FaultKind::kTableChange
                   : static_cast<FaultKind>(random.Below(kFaultKinds));
    fault.at = at;
    fault.length = FromSeconds(
      std::min(kMaxSeconds,
               kMinSeconds + random.Exponential(kMeanSeconds - kMinSeconds)));
    fault.target = random.Next();
    fault.share = 0.2 + 0.8 * random.Uniform();
    faults.push_back(fault);
  }
  return faults;
}

} // namespace firefly::soak

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
constexpr std::array<KindName, kFaultKinds + 1> kNames{ {
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
  { FaultKind::kStoreRestored, "store-restored" },
} };

// The length of a fault in seconds.
constexpr double kMinSeconds = 0.5;
constexpr double kMeanSeconds = 2.5;
constexpr double kMaxSeconds = 6.0;
// The share of table changes. They are more frequent than any other kind,
// because most promises are about them.
constexpr double kTableChangeShare = 0.2;
// The share of schedules with a restore of the store, and of these, those in
// which a second one follows the first.
constexpr double kRestoreShare = 0.4;
constexpr double kSecondRestoreShare = 0.4;
constexpr double kMaxRestoreSeconds = 2;

// Adds restores of the store, drawn apart from the other faults.
void
AddRestores(const FaultPlanOptions& aOptions, std::vector<Fault>& aFaults)
{
  Random random(~aOptions.seed);
  if (!random.Chance(kRestoreShare)) {
    return;
  }
  const auto spread = ToSeconds(aOptions.until - aOptions.from);
  auto at = aOptions.from + FromSeconds(spread * random.Uniform());
  const int n = random.Chance(kSecondRestoreShare) ? 2 : 1;
  for (int i = 0; i < n && at < aOptions.until; ++i) {
    const auto length = FromSeconds(
      kMinSeconds + (kMaxRestoreSeconds - kMinSeconds) * random.Uniform());
    aFaults.push_back({ .kind = FaultKind::kStoreRestored,
                        .at = at,
                        .length = length,
                        .share = 0.2 + 0.8 * random.Uniform() });
    at += length + FromSeconds(3 * random.Uniform());
  }
  std::ranges::stable_sort(aFaults, {}, &Fault::at);
}

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
  AddRestores(aOptions, faults);
  return faults;
}

} // namespace firefly::soak

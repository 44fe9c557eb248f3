#pragma once

// The schedule of faults in a soak. It is drawn from a seed; faults may follow
// each other or overlap.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"

namespace firefly::soak {

enum class FaultKind : std::uint8_t
{
  // Relays.
  kRelayKill,
  kRelayStop,
  kRelayRollingStop,
  kRelayMassKill,
  kRelayFreeze,
  kRelayReload,
  // The network between callers and a relay.
  kCallersDelay,
  kCallersReset,
  kCallersBlackholed,
  // The network between a relay and the store.
  kStoreNetworkSilent,
  kStoreNetworkOneWay,
  kStoreNetworkReset,
  // The store.
  kStoreBusy,
  kStoreSlow,
  kStoreLostAnswers,
  kStoreLateAppends,
  kStoreCompact,
  kStoreGarbage,
  // Backend servers.
  kBackendCrash,
  kBackendUnreachable,
  kBackendLeave,
  kBackendRollingLeave,
  kBackendFailing,
  kBackendLostAnswers,
  kBackendSlow,
  kBackendReset,
  kBackendBlackholed,
  // Changes of the routing table by operators.
  kTableChange,
  kTableChangeBurst,
  // The store is away and returns to a copy. Not among the kinds that are drawn
  // for each fault, so that the schedules of known seeds stay what they were.
  kStoreRestored,
};

// The kinds that are drawn for each fault.
inline constexpr std::size_t kFaultKinds =
  static_cast<std::size_t>(FaultKind::kTableChangeBurst) + 1;

// The name of the kind in reports, such as "relay-kill".
std::string_view
ToString(FaultKind aKind);

struct Fault
{
  FaultKind kind = FaultKind::kTableChange;
  // From the start of the soak.
  Duration at{};
  Duration length{};
  // Selects the relay or backend server: its index is this modulo their number.
  std::uint64_t target = 0;
  // The share of connections, requests or relays that is affected, 0.2 to 1.
  // kStoreLateAppends and kBackendLostAnswers affect half of this share, and
  // kBackendSlow derives its factor from it. Kinds that have no share
  // ignore it.
  double share = 0;
};

struct FaultPlanOptions
{
  std::uint64_t seed = 1;
  // Faults begin at or after `from` and before `until`.
  Duration from = std::chrono::seconds(4);
  Duration until = std::chrono::seconds(16);
  // The mean time between the beginnings of two faults.
  Duration gap = std::chrono::milliseconds(900);
};

// Returns the faults in order of time. Equal options give equal faults.
std::vector<Fault>
PlanFaults(const FaultPlanOptions& aOptions);

} // namespace firefly::soak

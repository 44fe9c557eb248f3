#pragma once

// What goes wrong in a soak, and when: drawn from a seed, single, in series and
// overlapping.

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
  kRelayHerdKill,
  kRelayFreeze,
  kRelayReload,
  // Between callers and a relay.
  kCallersDelay,
  kCallersReset,
  kCallersLost,
  // Between a relay and the store.
  kStoreWaySilent,
  kStoreWayOneWay,
  kStoreWayReset,
  // The store.
  kStoreBusy,
  kStoreSlow,
  kStoreLostAnswers,
  kStoreLateAppends,
  kStoreCompact,
  kStoreGarbage,
  // Backend servers.
  kRunnerCrash,
  kRunnerDark,
  kRunnerLeave,
  kRunnerRelease,
  kRunnerFailing,
  kRunnerLostAnswers,
  kRunnerSlow,
  kRunnerReset,
  kRunnerLost,
  // Operators.
  kChange,
  kChangeStorm,
};

inline constexpr std::size_t kFaultKinds =
  static_cast<std::size_t>(FaultKind::kChangeStorm) + 1;

// The kind as a word, such as "relay-kill".
std::string_view
ToString(FaultKind aKind);

struct Fault
{
  FaultKind kind = FaultKind::kChange;
  // From the start of the soak.
  Duration at{};
  Duration length{};
  // Picks the relay or the backend server.
  std::uint64_t target = 0;
  // The part that is hit, where that fits.
  double part = 0;
};

struct FaultPlanOptions
{
  std::uint64_t seed = 1;
  // Faults begin in this span.
  Duration from = std::chrono::seconds(4);
  Duration until = std::chrono::seconds(16);
  // Between the beginnings of two faults, on average.
  Duration gap = std::chrono::milliseconds(900);
};

// The faults of a seed, in order of time. The same options give the same ones.
std::vector<Fault>
PlanFaults(const FaultPlanOptions& aOptions);

} // namespace firefly::soak

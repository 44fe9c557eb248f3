#include "policy/prefill_share_planner.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <set>

namespace firefly::policy {

namespace {

// Share of the engines that prefill before any load is known. It is above half
// because a prompt occupies its engine alone, while outputs are decoded
// together.
constexpr double kInitialPrefillShare = 0.7;

// Open engines with the same models, by the phase that each of them serves.
struct Group
{
  std::vector<BackendSlot> prefillEngines;
  std::vector<BackendSlot> decodeEngines;
  std::set<DomainId> domains;
};

std::map<std::vector<ModelId>, Group>
GroupEngines(const FleetView& aFleet)
{
  std::map<std::vector<ModelId>, Group> groups;
  const auto& all = aFleet.All();
  for (std::uint32_t i = 0; i < all.size(); ++i) {
    const auto& backend = all[i];
    if (backend.kind != BackendKind::kEngine ||
        backend.state != BackendState::kOpen ||
        backend.role == EngineRole::kMixed) {
      continue;
    }
    auto& group = groups[backend.models];
    auto& engines = backend.role == EngineRole::kPrefill ? group.prefillEngines
                                                         : group.decodeEngines;
    engines.emplace_back(i);
    group.domains.insert(backend.domain);
  }
  return groups;
}

// The time that requests wait in each second before engines that have so much
// work, by the formula for a queue.
double
WaitingBefore(double aWork, std::size_t aEngines)
{
  const double spare = static_cast<double>(aEngines) - aWork;
  return spare > 0 ? aWork * aWork / spare
                   : std::numeric_limits<double>::infinity();
}

// The work with which requests wait as long before so many engines as they did,
// if it is more than what was measured: not all of an engine's work is known,
// and bursts count more than their average. Inverts WaitingBefore().
double
EffectiveWork(const StageLoad& aLoad, std::size_t aEngines)
{
  const double waiting = aLoad.waiting;
  const double implied =
    (std::sqrt(waiting * (waiting + 4 * static_cast<double>(aEngines))) -
     waiting) /
    2;
  // Engines cannot have done more work than there are engines.
  return std::min(std::max(aLoad.work, implied), static_cast<double>(aEngines));
}

// Divides the engines so that requests wait least in both stages together: each
// gets the engines that its work needs, and those to spare are divided by the
// square roots of the work (Kleinrock's capacity assignment).
double
SquareRootSplit(double aPrefillWork, double aDecodeWork, double aEngines)
{
  const double work = aPrefillWork + aDecodeWork;
  const double spare = aEngines - work;
  if (spare <= 0) {
    return aEngines * aPrefillWork / work;
  }
  const double root = std::sqrt(aPrefillWork);
  return aPrefillWork + spare * root / (root + std::sqrt(aDecodeWork));
}

// Picks aCount of the engines to change, each time from the failure domain with
// the most engines left. The order is the same in all processes.
std::vector<BackendSlot>
PickEngines(const FleetView& aFleet,
            std::vector<BackendSlot> aFrom,
            std::size_t aCount)
{
  std::ranges::sort(
    aFrom, {}, [&](auto aSlot) { return aFleet.HashAt(aSlot); });
  std::vector<BackendSlot> picked;
  while (picked.size() < aCount && !aFrom.empty()) {
    std::map<DomainId, int> byDomain;
    for (const auto slot : aFrom) {
      byDomain[aFleet.At(slot).domain]++;
    }
    const auto it = std::ranges::max_element(
      aFrom, {}, [&](auto aSlot) { return byDomain[aFleet.At(aSlot).domain]; });
    picked.push_back(*it);
    aFrom.erase(it);
  }
  return picked;
}

} // namespace

PrefillSharePlanner::PrefillSharePlanner(Options aOptions)
  : mOptions(aOptions)
{
}

std::size_t
PrefillSharePlanner::WantedPrefillEngines(double aPrefillEngines,
                                          std::size_t aEngines,
                                          std::size_t aDomains) const
{
  // A KV cache is handed over within a failure domain if that has an engine
  // that decodes.
  const auto spread = std::min<std::size_t>(
    aDomains,
    aEngines - std::min<std::size_t>(aEngines, mOptions.minPrefillEngines));
  const auto decodeEngines =
    std::max<std::size_t>(mOptions.minDecodeEngines, spread);
  const auto most = aEngines > decodeEngines ? aEngines - decodeEngines : 0;
  const auto wanted = static_cast<std::size_t>(std::lround(aPrefillEngines));
  return std::min(most,
                  std::max<std::size_t>(mOptions.minPrefillEngines, wanted));
}

std::optional<std::size_t>
PrefillSharePlanner::BetterSplit(std::size_t aPrefillEngines,
                                 std::size_t aEngines,
                                 std::size_t aDomains,
                                 const StageLoads& aLoads) const
{
  const double prefillWork = EffectiveWork(aLoads.prefill, aPrefillEngines);
  const double decodeWork =
    EffectiveWork(aLoads.decode, aEngines - aPrefillEngines);
  if (prefillWork + decodeWork <= 0) {
    return std::nullopt;
  }
  const auto wanted = WantedPrefillEngines(
    SquareRootSplit(prefillWork, decodeWork, static_cast<double>(aEngines)),
    aEngines,
    aDomains);
  const auto waiting = [&](std::size_t aPrefill) {
    return WaitingBefore(prefillWork, aPrefill) +
           WaitingBefore(decodeWork, aEngines - aPrefill);
  };
  return waiting(aPrefillEngines) > mOptions.minWaitingRatio * waiting(wanted)
           ? std::optional(wanted)
           : std::nullopt;
}

std::size_t
PrefillSharePlanner::PlannedPrefillEngines(std::size_t aPrefillEngines,
                                           std::size_t aEngines,
                                           std::size_t aDomains,
                                           double aShare,
                                           bool aIsTolerant) const
{
  const auto n = static_cast<double>(aEngines);
  const auto wanted = WantedPrefillEngines(aShare * n, aEngines, aDomains);
  const auto tolerated =
    aIsTolerant ? static_cast<std::size_t>(std::ceil(mOptions.deadband * n))
                : 0;
  const auto deviation =
    std::max(wanted, aPrefillEngines) - std::min(wanted, aPrefillEngines);
  return deviation > tolerated ? wanted : aPrefillEngines;
}

std::vector<RoleChange>
PrefillSharePlanner::Plan(const FleetView& aFleet,
                          bool aHadTraffic,
                          const LoadsOf& aLoadsOf,
                          Instant aNow)
{
  std::vector<RoleChange> changes;
  if (mOptions.prefillShare == 0.0) {
    return changes;
  }
  for (const auto& [models, group] : GroupEngines(aFleet)) {
    const auto present = group.prefillEngines.size();
    const auto engineCount = present + group.decodeEngines.size();
    auto& share =
      mShares.try_emplace(models, Share{ .value = kInitialPrefillShare })
        .first->second;
    StageLoads loads;
    for (const auto& model : models) {
      loads += aLoadsOf(model);
    }
    const auto domains = group.domains.size();
    const bool isHeld = mOptions.prefillShare || aNow < share.heldUntil;
    const auto better =
      isHeld ? std::nullopt : BetterSplit(present, engineCount, domains, loads);
    if (better) {
      share = { .value = static_cast<double>(*better) /
                         static_cast<double>(engineCount),
                .heldUntil = aNow + mOptions.minHold };
    }
    // A new share is brought about exactly.
    const bool isTolerant = aHadTraffic && aNow >= share.heldUntil;
    const auto planned =
      PlannedPrefillEngines(present,
                            engineCount,
                            domains,
                            mOptions.prefillShare.value_or(share.value),
                            isTolerant);
    const bool toPrefill = planned > present;
    const auto role = toPrefill ? EngineRole::kPrefill : EngineRole::kDecode;
    for (const auto slot :
         PickEngines(aFleet,
                     toPrefill ? group.decodeEngines : group.prefillEngines,
                     toPrefill ? planned - present : present - planned)) {
      changes.push_back({ aFleet.At(slot).id, role });
    }
  }
  return changes;
}

} // namespace firefly::policy

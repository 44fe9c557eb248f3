#include "policy/stage_planner.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace firefly::policy {

namespace {

// Engines that hold the same models and do one part of the work each.
struct Group
{
  std::vector<BackendSlot> prompts;
  std::vector<BackendSlot> outputs;
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
    auto& engines =
      backend.role == EngineRole::kPrefill ? group.prompts : group.outputs;
    engines.emplace_back(i);
  }
  return groups;
}

// The engines to take from, those of the domain that has most of them first,
// in an order that is the same in all processes.
std::vector<BackendSlot>
Pick(const FleetView& aFleet,
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

StagePlanner::StagePlanner(Options aOptions)
  : mOptions(aOptions)
{
}

std::vector<RoleChange>
StagePlanner::Plan(const FleetView& aFleet, bool aHadTraffic) const
{
  std::vector<RoleChange> changes;
  if (mOptions.promptShare <= 0) {
    return changes;
  }
  for (const auto& [models, group] : GroupEngines(aFleet)) {
    const auto n = group.prompts.size() + group.outputs.size();
    const auto most = n > mOptions.leastOutputs ? n - mOptions.leastOutputs : 0;
    const auto wanted =
      std::min(most,
               static_cast<std::size_t>(
                 std::lround(mOptions.promptShare * static_cast<double>(n))));
    const auto slack =
      aHadTraffic ? static_cast<std::size_t>(
                      std::ceil(mOptions.deadband * static_cast<double>(n)))
                  : 0;
    if (group.prompts.size() + slack < wanted) {
      for (const auto slot :
           Pick(aFleet, group.outputs, wanted - group.prompts.size())) {
        changes.push_back({ aFleet.At(slot).id, EngineRole::kPrefill });
      }
    } else if (group.prompts.size() > wanted + slack) {
      for (const auto slot :
           Pick(aFleet, group.prompts, group.prompts.size() - wanted)) {
        changes.push_back({ aFleet.At(slot).id, EngineRole::kDecode });
      }
    }
  }
  return changes;
}

} // namespace firefly::policy

#include "servers/entry/fleet_view_updater.h"

#include <utility>

#include "servers/steward/plan_mapping.h"

namespace firefly {

namespace {

policy::EngineRole
ToEngineRole(BackendRole aRole)
{
  switch (aRole) {
    case BackendRole::kPrefill:
      return policy::EngineRole::kPrefill;
    case BackendRole::kDecode:
      return policy::EngineRole::kDecode;
    default:
      return policy::EngineRole::kMixed;
  }
}

policy::Backend
ToBackend(const BackendSettings& aSettings)
{
  policy::Backend backend;
  backend.id = aSettings.id;
  backend.domain = aSettings.domain;
  backend.role = ToEngineRole(aSettings.role);
  backend.capacity.slots = static_cast<std::uint32_t>(aSettings.slots);
  if (aSettings.kind == BackendKind::kPlain) {
    backend.kind = policy::BackendKind::kPlain;
    backend.services = { aSettings.service };
  } else if (!aSettings.models.empty()) {
    backend.models = { aSettings.models.front() };
  }
  return backend;
}

} // namespace

FleetViewUpdater::FleetViewUpdater(const Settings& aSettings)
  : mSettings(aSettings)
{
  for (const auto& it : mSettings.backends) {
    mView.Upsert(ToBackend(it));
  }
}

void
FleetViewUpdater::Apply(const coord::AuthorityState& aPlan)
{
  for (const auto& [id, entry] : aPlan.Plan()) {
    ApplyPlanEntry(id, entry);
  }
}

void
FleetViewUpdater::ApplyPlanEntry(const BackendId& aId,
                                 const coord::PlanEntry& aEntry)
{
  const auto* settings = mSettings.FindBackend(aId);
  if (settings == nullptr) {
    return;
  }
  auto backend = ToBackend(*settings);
  if (aEntry.serving && settings->kind == BackendKind::kEngine) {
    backend.role = ToEngineRole(aEntry.serving->role);
    backend.models = { aEntry.serving->model };
  }
  mView.Upsert(std::move(backend));
  mPlannedStates[aId] = ToBackendState(aEntry.state);
  SetState(aId);
}

void
FleetViewUpdater::SetLeaving(std::set<BackendId> aLeaving)
{
  mLeaving = std::move(aLeaving);
  for (const auto& it : mSettings.backends) {
    SetState(it.id);
  }
}

void
FleetViewUpdater::SetState(const BackendId& aId)
{
  const auto it = mPlannedStates.find(aId);
  auto state =
    it == mPlannedStates.end() ? policy::BackendState::kOpen : it->second;
  if (state == policy::BackendState::kOpen && mLeaving.contains(aId)) {
    state = policy::BackendState::kDraining;
  }
  mView.SetState(aId, state);
}

} // namespace firefly

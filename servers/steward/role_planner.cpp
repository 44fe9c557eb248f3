#include "servers/steward/role_planner.h"

#include <utility>

#include "servers/steward/plan_mapping.h"

namespace firefly {

RolePlanner::RolePlanner(std::unique_ptr<policy::RoleController> aController)
  : mController(std::move(aController))
{
}

void
RolePlanner::Add(const BackendId& aId,
                 const DomainId& aDomain,
                 const policy::RoleCapacities& aCapacities)
{
  mCapacities[aId] = aCapacities;
  mFleet.Upsert({ .id = aId,
                  .domain = aDomain,
                  .models = {},
                  .services = {},
                  .capacity = aCapacities.mixed });
}

void
RolePlanner::Plan(FleetChangeController& aChanges,
                  const policy::FleetDemand& aDemand,
                  Instant aNow)
{
  for (const BackendStatus& status : aChanges.Status()) {
    UpdateBackend(status, aNow);
  }
  for (const policy::RoleChange& change :
       mController->Decide(mFleet, aDemand, aNow)) {
    coord::WantedState wanted = *aChanges.ServingState(change.backend);
    wanted.role = ToBackendRole(change.role);
    const FleetChange order{ .kind = ChangeKind::kOrder, .wanted = wanted };
    if (aChanges.Request(change.backend, order)) {
      mController->OnStarted(change, aNow);
      mPendingRoleChanges.insert(change.backend);
    }
  }
}

void
RolePlanner::UpdateBackend(const BackendStatus& aStatus, Instant aNow)
{
  const auto it = mCapacities.find(aStatus.id);
  if (it == mCapacities.end()) {
    return;
  }
  const policy::EngineRole role = ToEngineRole(aStatus.serving.role);
  mFleet.SetRole(aStatus.id, role, it->second.Of(role));
  const policy::BackendState state = ToBackendState(aStatus.state);
  const bool isSettled =
    state == policy::BackendState::kOpen && !aStatus.change;
  mFleet.SetState(aStatus.id,
                  isSettled ? state : policy::BackendState::kDraining);
  if (isSettled && mPendingRoleChanges.erase(aStatus.id) > 0) {
    mController->OnFinished(aStatus.id, aNow);
  }
}

} // namespace firefly

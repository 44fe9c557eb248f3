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
RolePlanner::Plan(FleetChanges& aChanges,
                  const policy::FleetDemand& aDemand,
                  Instant aNow)
{
  for (const BackendStatus& status : aChanges.Status()) {
    Update(status, aNow);
  }
  for (const policy::RoleChange& change :
       mController->Decide(mFleet, aDemand, aNow)) {
    coord::WantedState wanted = *aChanges.Serving(change.backend);
    wanted.role = ToPlanRole(change.role);
    const FleetChange order{ .kind = ChangeKind::kOrder, .wanted = wanted };
    if (aChanges.Request(change.backend, order)) {
      mController->OnStarted(change, aNow);
      mStarted.insert(change.backend);
    }
  }
}

void
RolePlanner::Update(const BackendStatus& aStatus, Instant aNow)
{
  const auto it = mCapacities.find(aStatus.id);
  if (it == mCapacities.end()) {
    return;
  }
  const policy::EngineRole role = ToEngineRole(aStatus.serving.role);
  mFleet.SetRole(aStatus.id, role, it->second.Of(role));
  const policy::BackendState state = ToBackendState(aStatus.state);
  const bool steady = state == policy::BackendState::kOpen && !aStatus.change;
  mFleet.SetState(aStatus.id, steady ? state : policy::BackendState::kDraining);
  if (steady && mStarted.erase(aStatus.id) > 0) {
    mController->OnFinished(aStatus.id, aNow);
  }
}

} // namespace firefly

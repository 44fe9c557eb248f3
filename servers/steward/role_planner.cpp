#include "servers/steward/role_planner.h"

#include <utility>

namespace firefly {

namespace {

policy::EngineRole
ToPolicy(coord::BackendRole aRole)
{
  switch (aRole) {
    case coord::BackendRole::kPrefill:
      return policy::EngineRole::kPrefill;
    case coord::BackendRole::kDecode:
      return policy::EngineRole::kDecode;
    default:
      return policy::EngineRole::kMixed;
  }
}

coord::BackendRole
ToCoord(policy::EngineRole aRole)
{
  switch (aRole) {
    case policy::EngineRole::kPrefill:
      return coord::BackendRole::kPrefill;
    case policy::EngineRole::kDecode:
      return coord::BackendRole::kDecode;
    default:
      return coord::BackendRole::kMixed;
  }
}

policy::BackendState
ToPolicy(const std::string& aState)
{
  if (aState == "open") {
    return policy::BackendState::kOpen;
  }
  return aState == "out" ? policy::BackendState::kClosed
                         : policy::BackendState::kDraining;
}

} // namespace

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
    wanted.role = ToCoord(change.role);
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
  const policy::EngineRole role = ToPolicy(aStatus.serving.role);
  mFleet.SetRole(aStatus.id, role, it->second.Of(role));
  const policy::BackendState state = ToPolicy(aStatus.state);
  const bool steady = state == policy::BackendState::kOpen && !aStatus.change;
  mFleet.SetState(aStatus.id, steady ? state : policy::BackendState::kDraining);
  if (steady && mStarted.erase(aStatus.id) > 0) {
    mController->OnFinished(aStatus.id, aNow);
  }
}

} // namespace firefly

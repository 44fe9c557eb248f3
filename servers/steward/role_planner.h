#pragma once

// Shows the role controller the fleet according to the plan, and requests the
// changes of roles that the controller decides on.

#include <map>
#include <memory>
#include <set>

#include "policy/role_controller.h"
#include "servers/steward/fleet_change_controller.h"

namespace firefly {

class RolePlanner
{
public:
  explicit RolePlanner(std::unique_ptr<policy::RoleController> aController);

  // Adds an engine with its capacity in each role. The FleetChangeController
  // that is passed to Plan must also know the engine.
  void Add(const BackendId& aId,
           const DomainId& aDomain,
           const policy::RoleCapacities& aCapacities);

  // Requests the changes that the controller decides on for this demand.
  void Plan(FleetChangeController& aChanges,
            const policy::FleetDemand& aDemand,
            Instant aNow);

private:
  void UpdateBackend(const BackendStatus& aStatus, Instant aNow);

  std::unique_ptr<policy::RoleController> mController;
  policy::FleetView mFleet;
  std::map<BackendId, policy::RoleCapacities> mCapacities;
  std::set<BackendId> mPendingRoleChanges;
};

} // namespace firefly

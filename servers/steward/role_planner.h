#pragma once

// Lets the role controller look at the fleet as the plan has it, and turns
// what it decides into changes.

#include <map>
#include <memory>
#include <set>

#include "policy/role_controller.h"
#include "servers/steward/fleet_changes.h"

namespace firefly {

class RolePlanner
{
public:
  explicit RolePlanner(std::unique_ptr<policy::RoleController> aController);

  // Adds an engine with what it can carry in each role.
  void Add(const BackendId& aId,
           const DomainId& aDomain,
           const policy::RoleCapacities& aCapacities);

  // Asks for the changes that the controller decides on now.
  void Plan(FleetChanges& aChanges,
            const policy::FleetDemand& aDemand,
            Instant aNow);

private:
  void Update(const BackendStatus& aStatus, Instant aNow);

  std::unique_ptr<policy::RoleController> mController;
  policy::FleetView mFleet;
  std::map<BackendId, policy::RoleCapacities> mCapacities;
  std::set<BackendId> mStarted; // changes of roles that are under way
};

} // namespace firefly

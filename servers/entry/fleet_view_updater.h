#pragma once

// Keeps the fleet view up to date: backend servers from the settings, their
// state and what they serve from the authority's plan.

#include <map>
#include <set>

#include "coord/authority_state.h"
#include "policy/fleet_view.h"
#include "servers/settings/settings.h"

namespace firefly {

class FleetViewUpdater
{
public:
  // Takes all backend servers of the settings as open.
  explicit FleetViewUpdater(const Settings& aSettings);

  // Takes over the plan as it is folded now.
  void Apply(const coord::AuthorityState& aPlan);

  // The backend servers that the platform's host list names as leaving: they
  // get no new work, whatever the plan says.
  void SetLeaving(std::set<BackendId> aLeaving);

  [[nodiscard]] const policy::FleetView& View() const { return mView; }

private:
  void ApplyPlanEntry(const BackendId& aId, const coord::PlanEntry& aEntry);
  void SetState(const BackendId& aId);

  const Settings& mSettings;
  policy::FleetView mView;
  std::map<BackendId, policy::BackendState> mPlannedStates;
  std::set<BackendId> mLeaving;
};

} // namespace firefly

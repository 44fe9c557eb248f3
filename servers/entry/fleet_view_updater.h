#pragma once

// Keeps the fleet view up to date: the backend servers come from the settings,
// their states and what they serve come from the authority's plan.

#include <map>
#include <set>

#include "coord/authority_state.h"
#include "policy/fleet_view.h"
#include "servers/settings/settings.h"

namespace firefly {

class FleetViewUpdater
{
public:
  // Adds all backend servers of the settings as open. The settings must outlive
  // the updater.
  explicit FleetViewUpdater(const Settings& aSettings);

  // Applies all entries of the plan, except those of backend servers that the
  // settings do not contain.
  void Apply(const coord::AuthorityState& aPlan);

  // Sets the backend servers that the platform's host list marks as leaving.
  // They get no new work, even if the plan has them open.
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

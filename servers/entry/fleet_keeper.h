#pragma once

// Keeps the fleet view up to date: backend servers from the settings, their
// state and what they serve from the authority's plan.

#include "coord/authority_state.h"
#include "policy/fleet_view.h"
#include "servers/settings/settings.h"

namespace firefly {

class FleetKeeper
{
public:
  // Takes all backend servers of the settings as open.
  explicit FleetKeeper(const Settings& aSettings);

  // Takes over the plan as it is folded now.
  void Apply(const coord::AuthorityState& aPlan);

  [[nodiscard]] const policy::FleetView& View() const { return mView; }

private:
  void ApplyEntry(const BackendId& aId, const coord::PlanEntry& aEntry);

  const Settings& mSettings;
  policy::FleetView mView;
};

} // namespace firefly

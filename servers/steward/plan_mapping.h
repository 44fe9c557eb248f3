#pragma once

// Converts roles and states between the fleet plan (coord) and the policy
// classes. The policy classes have no role for a plain service, so it is
// converted to kMixed.

#include <string>

#include "coord/authority_state.h"
#include "policy/fleet_view.h"

namespace firefly {

[[nodiscard]] policy::EngineRole
ToEngineRole(coord::BackendRole aRole);

[[nodiscard]] coord::BackendRole
ToBackendRole(policy::EngineRole aRole);

// Converts a state of charts/backend.toml. Every state other than "open" and
// "out" becomes kDraining.
[[nodiscard]] policy::BackendState
ToBackendState(const std::string& aPlanState);

} // namespace firefly

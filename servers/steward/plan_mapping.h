#pragma once

// The plan's roles and states as the decision classes name them.

#include <string>

#include "coord/authority_state.h"
#include "policy/fleet_view.h"

namespace firefly {

[[nodiscard]] policy::EngineRole
ToEngineRole(coord::BackendRole aRole);

[[nodiscard]] coord::BackendRole
ToPlanRole(policy::EngineRole aRole);

// Takes a state of charts/backend.toml: one on its way out is draining.
[[nodiscard]] policy::BackendState
ToBackendState(const std::string& aPlanState);

} // namespace firefly

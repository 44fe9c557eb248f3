#include "servers/steward/plan_mapping.h"

namespace firefly {

policy::EngineRole
ToEngineRole(coord::BackendRole aRole)
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
ToBackendRole(policy::EngineRole aRole)
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
ToBackendState(const std::string& aPlanState)
{
  if (aPlanState == "open") {
    return policy::BackendState::kOpen;
  }
  return aPlanState == "out" ? policy::BackendState::kClosed
                             : policy::BackendState::kDraining;
}

} // namespace firefly

#include "policy/request_info.h"

namespace firefly::policy {

int
EnginePriority(Lane aLane)
{
  return static_cast<int>(aLane);
}

} // namespace firefly::policy

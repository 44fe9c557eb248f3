#include "policy/backend_selector.h"

#include <algorithm>

namespace firefly::policy {

bool
Contains(const std::vector<BackendSlot>& aSlots, BackendSlot aSlot)
{
  return std::find(aSlots.begin(), aSlots.end(), aSlot) != aSlots.end();
}

bool
IsOpenFor(const RequestInfo& aRequest,
          const SelectQuery& aQuery,
          const Backend& aBackend)
{
  return aBackend.state == BackendState::kOpen &&
         aBackend.Serves(aRequest, aQuery.phase);
}

} // namespace firefly::policy

#pragma once

// How the limits of backend servers affect the selection of one for a request.

#include <vector>

#include "policy/backend_selector.h"
#include "policy/rate_limit/backend_rate_limiter.h"

namespace firefly::policy {

// Removes the backend servers whose limits delay a request clearly longer than
// those of others.
void
KeepLeastLimited(std::vector<BackendSlot>& aSlots,
                 const BackendRateLimiter& aLimiter,
                 const FleetView& aFleet,
                 Instant aNow);

// Whether a request may wait for a place in a backend server's schedule if its
// answer is then expected after aExpectedWait. The first attempt waits only as
// long as it can be in time. Less urgent requests wait for a smaller part of
// that time, so that the remaining places go to more urgent ones. With
// SelectQuery::ignoreCapacity, the request waits as long as its caller does.
[[nodiscard]] bool
MayWaitForPlace(const RequestInfo& aRequest,
                const SelectQuery& aQuery,
                Duration aExpectedWait,
                Instant aNow);

} // namespace firefly::policy

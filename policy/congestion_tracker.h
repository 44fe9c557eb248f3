#pragma once

// Tracks for how long each service has had more requests than it can serve in
// time. Serves crests of load that last for many seconds: a request that has
// become late runs after all that can be in time, so that it would wait until
// its caller gives up.

#include <map>
#include <set>

#include "core/clock.h"
#include "core/ids.h"

namespace firefly::policy {

class CongestionTracker
{
public:
  // Reports the services for which requests that can still be in time are
  // waiting now.
  void Observe(const std::set<ServiceId>& aWaiting, Instant aNow);

  // How long such requests have been waiting for the service without a break;
  // zero if none are.
  [[nodiscard]] Duration DurationOf(const ServiceId& aService,
                                    Instant aNow) const;

private:
  std::map<ServiceId, Instant> mSince;
};

} // namespace firefly::policy

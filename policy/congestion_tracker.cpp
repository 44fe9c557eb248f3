#include "policy/congestion_tracker.h"

namespace firefly::policy {

void
CongestionTracker::Observe(const std::set<ServiceId>& aWaiting, Instant aNow)
{
  std::erase_if(mSince,
                [&](const auto& aIt) { return !aWaiting.contains(aIt.first); });
  for (const auto& service : aWaiting) {
    mSince.try_emplace(service, aNow);
  }
}

Duration
CongestionTracker::DurationOf(const ServiceId& aService, Instant aNow) const
{
  const auto it = mSince.find(aService);
  return it == mSince.end() ? Duration::zero() : Duration(aNow - it->second);
}

} // namespace firefly::policy

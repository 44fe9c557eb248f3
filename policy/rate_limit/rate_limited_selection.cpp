#include "policy/rate_limit/rate_limited_selection.h"

#include <algorithm>

namespace firefly::policy {

namespace {

// A wait that is longer by at most this does not outweigh a cached prefix.
constexpr Duration kSmallWait = std::chrono::milliseconds(100);
// Part of the time until the first token is due in which the most urgent
// requests must be expected to get it. The rest is for errors of the estimate.
constexpr double kWaitPart = 0.75;
// That part is smaller by this for each further rank up to the largest one.
constexpr double kWaitStepPerRank = 0.25;
constexpr std::uint32_t kMaxRank = 2;

} // namespace

void
KeepLeastLimited(std::vector<BackendSlot>& aSlots,
                 const BackendRateLimiter& aLimiter,
                 const FleetView& aFleet,
                 Instant aNow)
{
  if (!aLimiter.HasLimits() || aSlots.empty()) {
    return;
  }
  const auto waitAt = [&](BackendSlot aSlot) {
    return aLimiter.WaitAt(aSlot, aFleet.At(aSlot).startedAt, aNow);
  };
  auto least = Duration::max();
  for (const auto slot : aSlots) {
    least = std::min(least, waitAt(slot));
  }
  std::erase_if(aSlots,
                [&](auto aSlot) { return waitAt(aSlot) > least + kSmallWait; });
}

bool
MayWaitForPlace(const RequestInfo& aRequest,
                const SelectQuery& aQuery,
                Duration aExpectedWait,
                Instant aNow)
{
  if (aQuery.ignoreCapacity) {
    return aNow + aExpectedWait <= aRequest.AnswerDeadline();
  }
  const auto rank = std::min(aRequest.rank.value_or(0), kMaxRank);
  const auto left = aRequest.FirstTokenDeadline() - aNow;
  return ToSeconds(aExpectedWait) <=
         ToSeconds(left) * (kWaitPart - kWaitStepPerRank * rank);
}

} // namespace firefly::policy

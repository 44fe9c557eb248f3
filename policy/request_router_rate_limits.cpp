// What the router does about backend servers that limit the rate of requests.

#include <algorithm>
#include <utility>

#include "policy/request_router.h"

namespace firefly::policy {

bool
RequestRouter::OnRateLimit(const BackendId& aBackend,
                           std::uint64_t aStartedAt,
                           std::optional<RequestRate> aRate,
                           Instant aNow)
{
  if (mFleet.Find(aBackend) == nullptr) {
    return false;
  }
  const auto slot = mFleet.SlotOf(aBackend);
  const RateLimitNews news{ .startedAt = aStartedAt,
                            .rate = aRate,
                            .heardAt = aNow };
  if (!mPolicies.rateLimiter->OnNews(slot, news)) {
    return false;
  }
  mSink.Announce({ .kind = BackendNotice::Kind::kRateLimit,
                   .backend = mFleet.HashAt(slot),
                   .limit = news });
  return true;
}

bool
RequestRouter::WaitForPlace(Request& aRequest,
                            const Choice& aChoice,
                            bool aIsHedge,
                            Instant aNow)
{
  auto& limiter = *mPolicies.rateLimiter;
  const auto startedAt = mFleet.At(aChoice.slot).startedAt;
  if (!limiter.LimitOf(aChoice.slot, startedAt)) {
    return false;
  }
  const auto wait = limiter.WaitAt(aChoice.slot, startedAt, aNow);
  limiter.TakePlaces(aChoice.slot, 1, aNow);
  mSink.Announce({ .kind = BackendNotice::Kind::kRateLimit,
                   .backend = mFleet.HashAt(aChoice.slot),
                   .limit = *limiter.NewsOf(aChoice.slot),
                   .places = 1 });
  if (wait == Duration::zero()) {
    return false;
  }
  aRequest.delayedStart = DelayedStart{
    .choice = aChoice, .isHedge = aIsHedge, .at = aNow + wait, .wait = wait
  };
  auto& choice = aRequest.delayedStart->choice;
  choice.expectedWait -= std::exchange(choice.startAfter, Duration::zero());
  mDelayedStarts.push_back(aRequest.info.requestId);
  return true;
}

void
RequestRouter::StartDelayed(Instant aNow)
{
  std::vector<RequestId> due;
  for (const auto& id : mDelayedStarts) {
    if (mRequests.at(id).delayedStart->at <= aNow) {
      due.push_back(id);
    }
  }
  for (const auto& id : due) {
    std::erase(mDelayedStarts, id);
    auto& request = mRequests.at(id);
    const auto delayed = *std::exchange(request.delayedStart, std::nullopt);
    if (EndIfHeld(id, aNow)) {
      EndSuspectRun(id, aNow);
      continue;
    }
    const auto& backend = mFleet.At(delayed.choice.slot);
    if (backend.state == BackendState::kOpen &&
        backend.Serves(request.info, delayed.choice.phase)) {
      StartNow(request, delayed.choice, delayed.isHedge, aNow, delayed.wait);
      continue;
    }
    auto query = QueryFor(request);
    query.ignoreCapacity = true;
    if (const auto choice = Choose(request, query, aNow)) {
      Start(request, *choice, delayed.isHedge, aNow);
    } else {
      RefuseOrFail(id, RefusalReason::kNoBackend, aNow);
      EndSuspectRun(id, aNow);
    }
  }
}

} // namespace firefly::policy

#include "policy/plain_selectors.h"

#include <algorithm>

namespace firefly::policy {

std::vector<BackendSlot>
RoundRobinSelector::Eligible(const RequestInfo& aRequest,
                             const SelectQuery& aQuery,
                             const FleetView& aFleet)
{
  // Prompts longer than so many times the expected output are prefill work.
  constexpr double kPrefillRatio = 10;
  const bool prefill =
    aRequest.promptTokens.Value() > kPrefillRatio * aQuery.size.usual.Value();
  const auto unsuited = prefill ? EngineRole::kDecode : EngineRole::kPrefill;
  std::vector<BackendSlot> open;
  std::vector<BackendSlot> suited;
  const auto& all = aFleet.All();
  for (std::uint32_t i = 0; i < all.size(); ++i) {
    const BackendSlot slot(i);
    if (!IsOpenFor(aRequest, aQuery, all[i]) ||
        Contains(aQuery.excluded, slot)) {
      continue;
    }
    open.push_back(slot);
    if (all[i].role != unsuited) {
      suited.push_back(slot);
    }
  }
  return suited.empty() ? open : suited;
}

tl::expected<Choice, SelectError>
RoundRobinSelector::Select(const RequestInfo& aRequest,
                           const SelectQuery& aQuery,
                           const FleetView& aFleet,
                           Instant /*aNow*/)
{
  const auto slots = Eligible(aRequest, aQuery, aFleet);
  if (slots.empty()) {
    return tl::make_unexpected(SelectError{ SelectFailure::kNoBackend, {} });
  }
  const auto slot = slots[mTurn++ % slots.size()];
  return Choice{ .slot = slot,
                 .backend = aFleet.At(slot).id,
                 .expectedWait = {},
                 .expectedGap = {},
                 .cachedTokens = {},
                 .phase = aQuery.phase };
}

Tokens
RoundRobinSelector::ExpectedCached(const RequestInfo& /*aRequest*/) const
{
  return Tokens(0);
}

AttemptInfo
RoundRobinSelector::OnDispatch(const RequestInfo& aRequest,
                               const Choice& aChoice,
                               Lane aLane,
                               Instant /*aNow*/)
{
  return { .slot = aChoice.slot,
           .prefillTokens = aRequest.promptTokens,
           .expectedWait = {},
           .expectedGap = {},
           .lane = aLane,
           .hadFirstToken = false };
}

void
RoundRobinSelector::OnArrival(const RequestInfo& /*aRequest*/)
{
}

void
RoundRobinSelector::OnFirstToken(AttemptInfo& aAttempt,
                                 Duration /*aWait*/,
                                 Instant /*aNow*/)
{
  aAttempt.hadFirstToken = true;
}

void
RoundRobinSelector::OnTokens(const AttemptInfo& /*aAttempt*/,
                             Duration /*aMeanGap*/,
                             Instant /*aNow*/)
{
}

void
RoundRobinSelector::OnFinish(const AttemptInfo& /*aAttempt*/, Instant /*aNow*/)
{
}

void
RoundRobinSelector::OnError(const AttemptInfo& /*aAttempt*/, Instant /*aNow*/)
{
}

void
RoundRobinSelector::OnUnreachable(const AttemptInfo& /*aAttempt*/,
                                  Instant /*aNow*/)
{
}

void
RoundRobinSelector::OnOverdue(const AttemptInfo& /*aAttempt*/,
                              Duration /*aWaited*/,
                              Instant /*aNow*/)
{
}

void
RoundRobinSelector::OnReport(const LoadReport& /*aReport*/,
                             const FleetView& /*aFleet*/,
                             Instant /*aNow*/)
{
}

void
RoundRobinSelector::OnPeerDigest(const Digest& /*aDigest*/,
                                 const FleetView& /*aFleet*/,
                                 Instant /*aNow*/)
{
}

void
RoundRobinSelector::FillDigest(Digest& /*aDigest*/,
                               const FleetView& /*aFleet*/,
                               Instant /*aNow*/) const
{
}

tl::expected<Choice, SelectError>
LeastReportedLoadSelector::Select(const RequestInfo& aRequest,
                                  const SelectQuery& aQuery,
                                  const FleetView& aFleet,
                                  Instant /*aNow*/)
{
  const auto slots = Eligible(aRequest, aQuery, aFleet);
  if (slots.empty()) {
    return tl::make_unexpected(SelectError{ SelectFailure::kNoBackend, {} });
  }
  const auto loadOf = [&](BackendSlot aSlot) {
    return aSlot.Value() < mReported.size() ? mReported[aSlot.Value()] : 0;
  };
  // Ties go round, so that fresh processes don't all start with the first.
  auto best = slots[mTurn++ % slots.size()];
  for (const auto slot : slots) {
    if (loadOf(slot) < loadOf(best)) {
      best = slot;
    }
  }
  return Choice{ .slot = best,
                 .backend = aFleet.At(best).id,
                 .expectedWait = {},
                 .expectedGap = {},
                 .cachedTokens = {},
                 .phase = aQuery.phase };
}

void
LeastReportedLoadSelector::OnReport(const LoadReport& aReport,
                                    const FleetView& aFleet,
                                    Instant /*aNow*/)
{
  if (!aFleet.Find(aReport.backend)) {
    return;
  }
  const auto slot = aFleet.SlotOf(aReport.backend).Value();
  if (mReported.size() <= slot) {
    mReported.resize(slot + 1);
  }
  mReported[slot] = aReport.requests;
}

} // namespace firefly::policy

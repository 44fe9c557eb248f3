#include "policy/baseline_selectors.h"

namespace firefly::policy {

namespace {

// The open backend servers that serve the request and are not excluded; if the
// role of some of them suits the request's ratio of prompt to output, only
// those.
std::vector<BackendSlot>
Eligible(const RequestInfo& aRequest,
         const SelectQuery& aQuery,
         const FleetView& aFleet)
{
  // A request is mainly prefill work if its prompt is longer than its expected
  // output by this factor.
  constexpr double kPrefillRatio = 10;
  const bool prefill =
    aRequest.promptTokens.Value() > kPrefillRatio * aQuery.size.median.Value();
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

} // namespace

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
  const auto slot = Pick(slots);
  return Choice{ .slot = slot,
                 .backend = aFleet.At(slot).id,
                 .expectedWait = {},
                 .expectedGap = {},
                 .cachedTokens = {},
                 .phase = aQuery.phase };
}

BackendSlot
RoundRobinSelector::Pick(const std::vector<BackendSlot>& aSlots)
{
  return aSlots[mTurn++ % aSlots.size()];
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
RoundRobinSelector::OnFirstToken(AttemptInfo& aAttempt,
                                 Duration /*aWait*/,
                                 Instant /*aNow*/)
{
  aAttempt.hadFirstToken = true;
}

BackendSlot
LeastReportedLoadSelector::Pick(const std::vector<BackendSlot>& aSlots)
{
  const auto loadOf = [&](BackendSlot aSlot) {
    return aSlot.Value() < mReported.size() ? mReported[aSlot.Value()] : 0;
  };
  // Ties are resolved round-robin, because otherwise all processes without
  // reports would choose the first backend server.
  auto best = RoundRobinSelector::Pick(aSlots);
  for (const auto slot : aSlots) {
    if (loadOf(slot) < loadOf(best)) {
      best = slot;
    }
  }
  return best;
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

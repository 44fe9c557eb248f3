#include "policy/demand_tracker.h"

#include <cmath>

namespace firefly::policy {

namespace {

// Time constant of the exponential decay: demand of this long ago has a weight
// of 1/e, about a third.
constexpr double kTimeConstantSeconds = 5.0;
// A peer's demand is ignored when its last digest is older than this.
constexpr Duration kPeerTimeout = std::chrono::seconds(5);

} // namespace

void
DemandTracker::OnArrival(const ModelId& aModel,
                         Tokens aPrompt,
                         Tokens aOutput,
                         Instant aNow)
{
  Decay(aNow);
  auto& tally = mOwn[StableHash(aModel.Value())];
  tally.promptTokens += aPrompt.Value();
  tally.outputTokens += aOutput.Value();
}

bool
DemandTracker::OnPeerDigest(const Digest& aDigest, Instant aNow)
{
  auto& peer = mPeers[aDigest.host];
  const bool older = aDigest.incarnation < peer.incarnation ||
                     (aDigest.incarnation == peer.incarnation &&
                      aDigest.sequence <= peer.sequence && peer.sequence > 0);
  if (older) {
    return false;
  }
  peer.incarnation = aDigest.incarnation;
  peer.sequence = aDigest.sequence;
  peer.receivedAt = aNow;
  peer.demand = {};
  for (const auto& it : aDigest.models) {
    peer.demand.promptTokensPerSecond += it.promptTokensPerSecond;
    peer.demand.outputTokensPerSecond += it.outputTokensPerSecond;
  }
  return true;
}

void
DemandTracker::FillDigest(Digest& aDigest, Instant aNow)
{
  Decay(aNow);
  for (const auto& [model, tally] : mOwn) {
    aDigest.models.push_back(
      { .model = model,
        .promptTokensPerSecond =
          static_cast<std::uint32_t>(tally.promptTokens / kTimeConstantSeconds),
        .outputTokensPerSecond = static_cast<std::uint32_t>(
          tally.outputTokens / kTimeConstantSeconds) });
  }
}

FleetDemand
DemandTracker::Sum(Instant aNow) const
{
  FleetDemand demand;
  const double decay =
    std::exp(-ToSeconds(aNow - mDecayedAt) / kTimeConstantSeconds) /
    kTimeConstantSeconds;
  for (const auto& [model, tally] : mOwn) {
    demand.promptTokensPerSecond += tally.promptTokens * decay;
    demand.outputTokensPerSecond += tally.outputTokens * decay;
  }
  for (const auto& [host, peer] : mPeers) {
    if (aNow - peer.receivedAt <= kPeerTimeout) {
      demand.promptTokensPerSecond += peer.demand.promptTokensPerSecond;
      demand.outputTokensPerSecond += peer.demand.outputTokensPerSecond;
    }
  }
  return demand;
}

void
DemandTracker::Decay(Instant aNow)
{
  const double decay =
    std::exp(-ToSeconds(aNow - mDecayedAt) / kTimeConstantSeconds);
  for (auto& [model, tally] : mOwn) {
    tally.promptTokens *= decay;
    tally.outputTokens *= decay;
  }
  mDecayedAt = aNow;
}

} // namespace firefly::policy

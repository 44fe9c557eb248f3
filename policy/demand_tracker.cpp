#include "policy/demand_tracker.h"

#include <cmath>

namespace firefly::policy {

namespace {

// Demand of about this long ago weighs a third.
constexpr double kMemorySeconds = 5.0;
// A peer's demand counts for so long.
constexpr Duration kPeerMemory = std::chrono::seconds(5);

} // namespace

void
DemandTracker::Count(const ModelId& aModel,
                     Tokens aPrompt,
                     Tokens aOutput,
                     Instant aNow)
{
  Fade(aNow);
  auto& tally = mOwn[StableHash(aModel.Value())];
  tally.promptTokens += aPrompt.Value();
  tally.outputTokens += aOutput.Value();
}

bool
DemandTracker::TakePeer(const Digest& aDigest, Instant aNow)
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
  peer.heard = aNow;
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
  Fade(aNow);
  for (const auto& [model, tally] : mOwn) {
    aDigest.models.push_back(
      { .model = model,
        .promptTokensPerSecond =
          static_cast<std::uint32_t>(tally.promptTokens / kMemorySeconds),
        .outputTokensPerSecond =
          static_cast<std::uint32_t>(tally.outputTokens / kMemorySeconds) });
  }
}

FleetDemand
DemandTracker::Sum(Instant aNow) const
{
  FleetDemand demand;
  const double fade =
    std::exp(-ToSeconds(aNow - mFadedAt) / kMemorySeconds) / kMemorySeconds;
  for (const auto& [model, tally] : mOwn) {
    demand.promptTokensPerSecond += tally.promptTokens * fade;
    demand.outputTokensPerSecond += tally.outputTokens * fade;
  }
  for (const auto& [host, peer] : mPeers) {
    if (aNow - peer.heard <= kPeerMemory) {
      demand.promptTokensPerSecond += peer.demand.promptTokensPerSecond;
      demand.outputTokensPerSecond += peer.demand.outputTokensPerSecond;
    }
  }
  return demand;
}

void
DemandTracker::Fade(Instant aNow)
{
  const double fade = std::exp(-ToSeconds(aNow - mFadedAt) / kMemorySeconds);
  for (auto& [model, tally] : mOwn) {
    tally.promptTokens *= fade;
    tally.outputTokens *= fade;
  }
  mFadedAt = aNow;
}

} // namespace firefly::policy

#pragma once

// Tracks the recent demand for engines: this entry's own demand by model, and
// the demand of its peers from their digests.

#include <cstdint>
#include <map>
#include <unordered_map>

#include "policy/digest.h"
#include "policy/request_info.h"
#include "policy/role_controller.h"

namespace firefly::policy {

class DemandTracker
{
public:
  // Counts a request before its admission decision, so that requests refused by
  // that decision count too. aPrompt is its number of prompt tokens that are
  // in no cache, aOutput its expected number of output tokens.
  void OnArrival(const ModelId& aModel,
                 Tokens aPrompt,
                 Tokens aOutput,
                 Instant aNow);

  // Records the demand in a peer's digest; false if the digest is not newer
  // than the last one of that peer.
  bool OnPeerDigest(const Digest& aDigest, Instant aNow);

  // Adds this entry's demand by model to the digest.
  void FillDigest(Digest& aDigest, Instant aNow);

  // The demand of this entry and of all peers whose last digest is recent.
  [[nodiscard]] FleetDemand Sum(Instant aNow) const;

private:
  struct Tally
  {
    double promptTokens = 0;
    double outputTokens = 0;
  };
  struct Peer
  {
    Incarnation incarnation;
    std::uint64_t sequence = 0;
    Instant receivedAt{};
    FleetDemand demand;
  };

  void Decay(Instant aNow);

  // Exponentially decaying sums by the hash of the model.
  std::map<std::uint64_t, Tally> mOwn;
  Instant mDecayedAt{};
  std::unordered_map<HostId, Peer> mPeers;
};

} // namespace firefly::policy

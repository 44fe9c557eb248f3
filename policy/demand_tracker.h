#pragma once

// Recent demand for engines: this entry's own by model, and its peers' by
// their digests.

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
  // Counts an admitted request: prompt tokens that no cache holds, and the
  // output that is expected.
  void Count(const ModelId& aModel,
             Tokens aPrompt,
             Tokens aOutput,
             Instant aNow);

  // Takes a peer's digest; false if it is not newer than the one known.
  bool TakePeer(const Digest& aDigest, Instant aNow);

  // Adds the own demand by model.
  void FillDigest(Digest& aDigest, Instant aNow);

  // The demand of this entry and of all peers heard of lately.
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
    Instant heard{};
    FleetDemand demand;
  };

  void Fade(Instant aNow);

  // By the hash of the model, exponentially fading.
  std::map<std::uint64_t, Tally> mOwn;
  Instant mFadedAt{};
  std::unordered_map<HostId, Peer> mPeers;
};

} // namespace firefly::policy

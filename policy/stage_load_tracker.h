#pragma once

// Measures how much engine time the prefill and the decode stage of each model
// need: from this process's own requests, and from the digests of its peers.

#include <cstdint>
#include <unordered_map>

#include "policy/digest.h"
#include "policy/request_info.h"

namespace firefly::policy {

// The load of one stage over the recent past, in engine seconds per second.
struct StageLoad
{
  // Time that engines spent on requests.
  double work = 0;
  // Time that requests waited for an engine.
  double waiting = 0;
};

struct StageLoads
{
  StageLoad prefill;
  StageLoad decode;

  StageLoads& operator+=(const StageLoads& aOther);
};

enum class Stage : std::uint8_t
{
  kPrefill,
  kDecode,
};

// The work of a stage is the prefill of prompts and the share of an engine's
// slots that outputs take. What a request takes longer until its first token
// than its prefill and the typical time for the rest counts as waiting.
class StageLoadTracker
{
public:
  // A request has passed the stage, aTook after it was sent to the engine. At
  // the engine's rated speed, its prompt takes aPrefillSeconds there.
  void OnPassed(const ModelId& aModel,
                Stage aStage,
                double aPrefillSeconds,
                Duration aTook,
                Instant aNow);

  // An output has been decoded in aTook, during which it had one of aSlots of
  // its engine.
  void OnDecoded(const ModelId& aModel,
                 Duration aTook,
                 std::uint32_t aSlots,
                 Instant aNow);

  // Records the loads in a peer's digest. The caller ignores digests that are
  // not newer than the last one of that peer.
  void OnPeerDigest(const Digest& aDigest, Instant aNow);

  // Adds this process's loads to the digest.
  void FillDigest(Digest& aDigest, Instant aNow);

  // The loads for the model, of this process and of all peers whose last digest
  // is recent.
  [[nodiscard]] StageLoads Sum(const ModelId& aModel, Instant aNow) const;

private:
  struct Tally
  {
    // Exponentially decaying sums, in seconds.
    double work = 0;
    double waiting = 0;
    // Median of the time that requests took beyond their prefill, in seconds;
    // negative until the first request.
    double typical = -1;
    Instant lastAt{}; // when the last request passed
  };
  struct ModelTally
  {
    Tally prefill;
    Tally decode;
    Instant firstAt{};
    Instant decayedAt{};
  };
  struct Peer
  {
    Instant receivedAt{};
    // By the hash of the model.
    std::unordered_map<std::uint64_t, StageLoads> loads;
  };

  // The tally of the model, with sums that have decayed until now.
  ModelTally& TallyOf(const ModelId& aModel, Instant aNow);
  static StageLoads RateOf(const ModelTally& aTally, Instant aNow);

  // By the hash of the model.
  std::unordered_map<std::uint64_t, ModelTally> mOwn;
  std::unordered_map<HostId, Peer> mPeers;
};

} // namespace firefly::policy

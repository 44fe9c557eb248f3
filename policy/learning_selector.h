#pragma once

// The choice that learns: from own and peers' work, the speed that backend
// servers show, and who holds which prefix.

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/random.h"
#include "policy/backend_selector.h"
#include "policy/prefix_holders.h"
#include "policy/prompt_queues.h"
#include "policy/recent_map.h"

namespace firefly::policy {

// Predicts each candidate's time from own and peers' outstanding work, the
// speed it has shown and the prefix it is likely to hold, and takes the best of
// a few candidates. A prefix that was seen before has its homes: the backend
// servers that a hash names, the same ones in all entries. Load reports say
// nothing that own work and the peers' digests don't say sooner.
class LearningSelector : public BackendSelector
{
public:
  struct Options
  {
    std::uint64_t seed = 1;
    // Random candidates for each choice.
    std::uint32_t randomCandidates = 3;
    // Backend servers that hold a prefix.
    std::uint32_t homes = 2;
    // A backend server with this much predicted wait has no room.
    Duration fullAt = std::chrono::milliseconds(1000);
    // The part of the slots that stragglers may take ...
    double stragglerSlots = 0.5;
    // ... and the part that only short work may take.
    double shortReserve = 0.1;
    // A backend server that could not be reached is not tried for so long,
    // unless there is no other.
    Duration unreachableFor = std::chrono::milliseconds(1500);
    // A peer's word that it can't be reached counts for nothing against an
    // answer as young as this.
    Duration trustOwn = std::chrono::milliseconds(300);
    // A peer whose digest is older no longer counts.
    Duration peerMemory = std::chrono::seconds(3);
    // Prefix blocks remembered.
    std::size_t prefixMemory = 16384;
    // Where this process is; empty if that doesn't matter.
    DomainId domain{};
    // What it is worth to stay within the failure domain, as a longer wait.
    Duration farCost{};
    // Whether peers tell of each prompt as they send it.
    bool hearsPlaced = false;
    // Switches for ablations.
    bool usePeers = true;
    bool useSpeed = true;
    bool useAffinity = true;
    bool useLanes = true;
  };

  LearningSelector() = default;
  explicit LearningSelector(Options aOptions);

  tl::expected<Choice, SelectError> Select(const RequestInfo& aRequest,
                                           const SelectQuery& aQuery,
                                           const FleetView& aFleet,
                                           Instant aNow) override;
  void OnArrival(const RequestInfo& aRequest) override;
  [[nodiscard]] Tokens ExpectedCached(
    const RequestInfo& aRequest) const override;
  AttemptInfo OnDispatch(const RequestInfo& aRequest,
                         const Choice& aChoice,
                         Lane aLane,
                         Instant aNow) override;
  void OnFirstToken(AttemptInfo& aAttempt,
                    Duration aWait,
                    Instant aNow) override;
  void OnTokens(const AttemptInfo& aAttempt,
                Duration aMeanGap,
                Instant aNow) override;
  void OnFinish(const AttemptInfo& aAttempt, Instant aNow) override;
  void OnError(const AttemptInfo& aAttempt, Instant aNow) override;
  void OnUnreachable(const AttemptInfo& aAttempt, Instant aNow) override;
  void OnOverdue(const AttemptInfo& aAttempt,
                 Duration aWaited,
                 Instant aNow) override;
  void OnPeerDigest(const Digest& aDigest,
                    const FleetView& aFleet,
                    Instant aNow) override;
  void OnPeerPlaced(BackendSlot aSlot,
                    const BackendNotice& aNotice,
                    const FleetView& aFleet,
                    Instant aNow) override;
  void OnPeerSilent(BackendSlot aSlot, Instant aNow) override;
  void FillDigest(Digest& aDigest,
                  const FleetView& aFleet,
                  Instant aNow) const override;

  // The speed that a backend server has shown, 1 being its usual one.
  [[nodiscard]] double SpeedOf(BackendSlot aSlot) const;

private:
  struct PeerWork
  {
    std::uint32_t requests = 0;
    std::uint32_t prefillTokens = 0;
  };
  struct Load
  {
    std::uint32_t requests = 0;
    std::uint32_t stragglers = 0;
    std::uint32_t prefillTokens = 0;
    // Sums over the peers' digests.
    PeerWork peers;
    double speed = 1.0;
    Instant notBefore{};
    // When it last answered something.
    Instant heard{};
  };
  struct Peer
  {
    Instant heard{};
    std::vector<std::pair<BackendSlot, PeerWork>> work;
  };
  // All that is kept of a prefix block.
  struct Seen
  {};
  // The part of a prompt's prefix that was seen before.
  struct KnownPrefix
  {
    std::uint64_t hash = 0;
    // Its tokens, and those of them that a cache is likely to hold.
    std::uint32_t length = 0;
    std::uint32_t tokens = 0;
  };
  // A copy of a prefix's memory from another engine.
  struct Copy
  {
    BackendId backend;
    std::uint32_t tokens = 0;
    double seconds = 0;
  };
  struct Prediction
  {
    Choice choice;
    double score = 0;
    bool hasRoom = false;
  };

  Load& LoadAt(BackendSlot aSlot);
  void TakeSample(BackendSlot aSlot, double aSpeed);
  void Forget(Peer& aPeer);
  void ForgetSilentPeers(Instant aNow);
  void FindCandidates(const RequestInfo& aRequest,
                      const SelectQuery& aQuery,
                      const FleetView& aFleet,
                      Instant aNow);
  void AddCandidate(BackendSlot aSlot);
  Prediction Predict(const RequestInfo& aRequest,
                     const SelectQuery& aQuery,
                     const FleetView& aFleet,
                     BackendSlot aSlot,
                     Instant aNow);
  // Whether the part of the work has a prompt read, in the order of a queue.
  [[nodiscard]] bool IsQueued(const RequestInfo& aRequest,
                              WorkPhase aPhase) const;
  // Prompt tokens that need not be read there.
  [[nodiscard]] std::uint32_t CachedAt(const RequestInfo& aRequest,
                                       const SelectQuery& aQuery,
                                       BackendSlot aSlot,
                                       Instant aNow) const;
  // Where the prefix can be copied from, if that spares reading it there; the
  // engine itself holds so many tokens.
  [[nodiscard]] std::optional<Copy> CopySource(const RequestInfo& aRequest,
                                               const SelectQuery& aQuery,
                                               const FleetView& aFleet,
                                               BackendSlot aSlot,
                                               std::uint32_t aHeld,
                                               Instant aNow) const;
  void NoteHolder(const std::vector<std::uint64_t>& aPrefixes,
                  BackendSlot aSlot,
                  Instant aReadyAt,
                  Instant aNow);
  void ForgetHolder(const AttemptInfo& aAttempt);
  [[nodiscard]] KnownPrefix FindPrefix(const RequestInfo& aRequest) const;
  void AddHomes(const RequestInfo& aRequest,
                const SelectQuery& aQuery,
                const FleetView& aFleet,
                Instant aNow);

  Options mOptions;
  Random mRandom{ mOptions.seed };
  std::vector<Load> mLoads;
  PromptQueues mQueues;
  PrefixHolders mHolders;
  std::unordered_map<HostId, Peer> mPeers;
  Instant mPeersChecked{};
  // Scratch space of Select, kept to save allocations.
  std::vector<BackendSlot> mOpen;
  std::vector<BackendSlot> mCandidates;
  std::vector<std::pair<double, BackendSlot>> mRanked;
  // The backend servers that hold the request's prefix.
  std::vector<BackendSlot> mHomes;
  KnownPrefix mPrefix;
  // Prefix blocks that were seen.
  RecentMap<Seen> mPrefixes{ mOptions.prefixMemory };
  // Hashes of the slots' ids, learned from the fleet view.
  std::vector<std::uint64_t> mSlotHashes;
};

} // namespace firefly::policy

#pragma once

// A selector that learns from its own and its peers' outstanding work, from the
// observed speed of backend servers and from the contents of prefix caches.

#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/random.h"
#include "policy/backend_selector.h"
#include "policy/handover_estimator.h"
#include "policy/lru_map.h"
#include "policy/plain_service_estimator.h"
#include "policy/prefix_cache_tracker.h"
#include "policy/prompt_queue_estimator.h"
#include "policy/rate_limit/backend_rate_limiter.h"

namespace firefly::policy {

// Predicts the completion time at each of a few candidates from the own and the
// peers' outstanding work, the observed speed and the prefix that is likely to
// be cached there, and selects the best one. Each prefix has home backend
// servers, which rendezvous hashing selects among those that are open and
// reachable, so that the entries mostly agree on them. The homes and
// those known holders of the prefix that are open and reachable are always
// among the candidates. Load reports are ignored, because the own work and the
// peers' digests give the same information sooner.
class LearningSelector : public BackendSelector
{
public:
  struct Options
  {
    std::uint64_t seed = 1;
    // Number of random candidates for each selection.
    std::uint32_t randomCandidates = 3;
    // Number of home backend servers for each prefix.
    std::uint32_t homesPerPrefix = 2;
    // A backend server has no capacity if its predicted queueing time reaches
    // this.
    Duration maxQueueingTime = std::chrono::milliseconds(1000);
    // Fraction of the slots that stragglers may use.
    double stragglerSlots = 0.5;
    // Fraction of the slots that is reserved for short work.
    double shortReserve = 0.1;
    // How long an unreachable backend server is not tried again, unless no
    // other one that serves the request can be reached.
    Duration unreachableCooldown = std::chrono::milliseconds(1500);
    // A peer's report that a backend server is silent is ignored if this
    // process received an answer from the server within this time.
    Duration ownAnswerValidFor = std::chrono::milliseconds(300);
    // The work in a peer's last digest is discarded when the digest is older
    // than this.
    Duration peerDigestTimeout = std::chrono::seconds(3);
    // Maximum number of prefix hashes that are remembered as seen.
    std::size_t maxSeenPrefixes = 16384;
    // Failure domain of this process; empty to ignore failure domains.
    DomainId domain{};
    // Penalty for a backend server in another failure domain, as extra waiting
    // time in its score.
    Duration crossDomainPenalty{};
    // Whether peers announce each prompt when they dispatch it
    // (BackendNotice::Kind::kPromptDispatched). Engine queues and prefix caches
    // are then estimated prompt by prompt.
    bool peersAnnouncePrompts = false;
    // The limits that backend servers name; null if they name none.
    std::shared_ptr<const BackendRateLimiter> rateLimiter{};
    // Switches for ablation studies.
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
  void OnErrorAnswer(const AttemptInfo& aAttempt, Instant aNow) override;
  void OnError(const AttemptInfo& aAttempt, Instant aNow) override;
  void OnRejection(const AttemptInfo& aAttempt, Instant aNow) override;
  void OnUnreachable(const AttemptInfo& aAttempt, Instant aNow) override;
  void OnFirstTokenOverdue(const AttemptInfo& aAttempt,
                           Duration aWaited,
                           Instant aNow) override;
  void OnPeerDigest(const Digest& aDigest,
                    const FleetView& aFleet,
                    Instant aNow) override;
  void OnPeerDispatched(BackendSlot aSlot,
                        const BackendNotice& aNotice,
                        const FleetView& aFleet,
                        Instant aNow) override;
  void OnPeerSilent(BackendSlot aSlot, Instant aNow) override;
  void FillDigest(Digest& aDigest,
                  const FleetView& aFleet,
                  Instant aNow) override;

  // The observed speed of an engine as a fraction of its usual speed. The
  // estimate fades, because an engine that is avoided gives no samples that
  // could correct it.
  [[nodiscard]] double SpeedOf(BackendSlot aSlot, Instant aNow) const;

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
    Instant speedUpdatedAt{};
    Instant unreachableUntil{};
    // When this process last received tokens or an answer from it.
    Instant lastAnswer{};
  };
  struct Peer
  {
    Instant digestReceivedAt{};
    std::vector<std::pair<BackendSlot, PeerWork>> work;
  };
  // Empty value for mSeenPrefixes, which is used as a set.
  struct Seen
  {};
  // The leading part of a prompt that is likely to be shared with other
  // prompts.
  struct KnownPrefix
  {
    std::uint64_t hash = 0;
    // Its number of tokens, and how many of them a cache is likely to hold.
    std::uint32_t length = 0;
    std::uint32_t tokens = 0;
  };
  // A copy of a prefix's KV cache from another engine.
  struct Copy
  {
    BackendId backend;
    std::uint32_t tokens = 0;
    double seconds = 0;
  };
  struct Prediction
  {
    Choice choice;
    // Predicted cost in seconds; the candidate with the lowest score is
    // selected.
    double score = 0;
    bool hasCapacity = false;
    // Whether the backend server's rate limit delays the request too long.
    bool isLimited = false;
  };

  Load& LoadAt(BackendSlot aSlot);
  void UpdateSpeed(BackendSlot aSlot, double aSpeed, Instant aNow);
  void DropPeerWork(Peer& aPeer);
  void DropStalePeers(Instant aNow);
  void FindCandidates(const RequestInfo& aRequest,
                      const SelectQuery& aQuery,
                      const FleetView& aFleet,
                      Instant aNow);
  void AddCandidate(BackendSlot aSlot);
  // Shuffles aSlots.
  void AddRandomCandidates(std::vector<BackendSlot>& aSlots);
  Prediction Predict(const RequestInfo& aRequest,
                     const SelectQuery& aQuery,
                     const FleetView& aFleet,
                     BackendSlot aSlot,
                     Instant aNow);
  // The same for a backend server of a plain service.
  Prediction PredictPlain(const RequestInfo& aRequest,
                          const Backend& aBackend,
                          BackendSlot aSlot,
                          Instant aNow);
  // Adds the wait for the backend server's rate limit.
  void AddLimitWait(Prediction& aPrediction,
                    const RequestInfo& aRequest,
                    const SelectQuery& aQuery,
                    const Backend& aBackend,
                    Instant aNow) const;
  // Adds the penalty for a backend server in another failure domain than aFrom.
  void AddDistance(Prediction& aPrediction,
                   const Backend& aBackend,
                   const DomainId& aFrom) const;
  // Whether the phase includes the prefill of a prompt, for which engine queues
  // are estimated.
  [[nodiscard]] bool IsQueued(const RequestInfo& aRequest,
                              WorkPhase aPhase) const;
  // Prompt tokens that the engine need not prefill because it holds them.
  [[nodiscard]] std::uint32_t CachedAt(const RequestInfo& aRequest,
                                       const SelectQuery& aQuery,
                                       BackendSlot aSlot,
                                       Instant aNow) const;
  // The source from which the engine in aSlot can copy the prefix soonest
  // instead of prefilling it, if there is one. The engine itself holds
  // aHeldTokens.
  [[nodiscard]] std::optional<Copy> CopySource(const RequestInfo& aRequest,
                                               const SelectQuery& aQuery,
                                               const FleetView& aFleet,
                                               BackendSlot aSlot,
                                               std::uint32_t aHeldTokens,
                                               Instant aNow) const;
  void RecordHolder(const std::vector<std::uint64_t>& aPrefixes,
                    BackendSlot aSlot,
                    Instant aReadyAt,
                    Instant aNow);
  void RemoveHolder(const AttemptInfo& aAttempt);
  [[nodiscard]] KnownPrefix FindPrefix(const RequestInfo& aRequest) const;
  void AddHomes(const RequestInfo& aRequest,
                const SelectQuery& aQuery,
                const FleetView& aFleet,
                Instant aNow);

  Options mOptions;
  Random mRandom{ mOptions.seed };
  std::vector<Load> mLoads;
  PromptQueueEstimator mPromptQueues;
  PrefixCacheTracker mPrefixCaches;
  PlainServiceEstimator mPlainServices;
  HandoverEstimator mHandovers;
  std::unordered_map<HostId, Peer> mPeers;
  Instant mPeersCheckedAt{};
  // Scratch space of Select, kept to save allocations.
  std::vector<BackendSlot> mOpen;
  std::vector<BackendSlot> mCandidates;
  std::vector<std::pair<double, BackendSlot>> mRanked;
  // The home backend servers of the request's prefix.
  std::vector<BackendSlot> mHomes;
  KnownPrefix mPrefix;
  // Hashes of the prefixes that arrived in requests.
  LruMap<Seen> mSeenPrefixes{ mOptions.maxSeenPrefixes };
  // Hashes of the backend servers' ids by slot, copied from the fleet view.
  std::vector<std::uint64_t> mSlotHashes;
};

} // namespace firefly::policy

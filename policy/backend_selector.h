#pragma once

// The choice of a backend server for one request.

#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <tl/expected.hpp>

#include "core/random.h"
#include "policy/digest.h"
#include "policy/fleet_view.h"
#include "policy/prefix_holders.h"
#include "policy/prompt_queues.h"
#include "policy/request_info.h"
#include "policy/size_estimator.h"

namespace firefly::policy {

// A backend server that was chosen, and what is expected of it.
struct Choice
{
  BackendSlot slot;
  BackendId backend;
  // From the dispatch to the first token (or a plain service's answer).
  Duration expectedWait{};
  // Between tokens.
  Duration expectedGap{};
  // Prompt tokens that its prefix cache is expected to hold.
  Tokens cachedTokens;
  // Of reading the rest of the prompt at the engine's rated speed.
  Duration promptTime{};
  // The engine's order of work.
  EngineUrgency urgency{};
  // What it was chosen for.
  WorkPhase phase = WorkPhase::kWhole;
  // The engine to copy the shared part of the prompt's memory from, if that is
  // sooner than reading it again.
  std::optional<BackendId> copyFrom{};
};

enum class SelectFailure : std::uint8_t
{
  // No open backend server has the model or the service.
  kNoBackend,
  // All candidates are full; the request may wait.
  kNoRoom,
};

struct SelectError
{
  SelectFailure failure = SelectFailure::kNoBackend;
  // With kNoRoom: the least wait that a candidate promises.
  Duration expectedWait{};
};

// What Select is asked for beside the request.
struct SelectQuery
{
  // Expected output size.
  SizeEstimate size;
  Lane lane = Lane::kNormal;
  // Backend servers that must not be chosen: those of earlier attempts.
  std::vector<BackendSlot> excluded;
  // Whether room doesn't matter: a retry after a crash, a hedge.
  bool ignoreRoom = false;
  WorkPhase phase = WorkPhase::kWhole;
};

// An engine's own report of its load, some time old when it comes.
struct LoadReport
{
  BackendId backend;
  // Requests running and waiting there.
  std::uint32_t requests = 0;
  // Prompt tokens waiting there.
  std::uint32_t prefillTokens = 0;
};

// What a process tells the others at once of a backend server.
struct BackendNotice
{
  enum class Kind : std::uint8_t
  {
    // It was sent a prompt to read.
    kPlaced,
    // Its host acknowledges nothing any more.
    kSilent,
  };
  Kind kind = Kind::kPlaced;
  // FleetView::HashAt of the backend server.
  std::uint64_t backend = 0;
  // With kPlaced: what it is expected to read, and the hashes of the prompt's
  // prefixes (RequestInfo::prefixHashes), which it holds then.
  Tokens uncached{};
  EngineUrgency urgency{};
  std::vector<std::uint64_t> prefixes{};
};

// One dispatched attempt, told to the selector's feedback calls.
struct AttemptInfo
{
  BackendSlot slot;
  // Prompt tokens that count as backlog until the first token.
  Tokens prefillTokens;
  Duration expectedWait{};
  Duration expectedGap{};
  Lane lane = Lane::kNormal;
  bool hadFirstToken = false;
  // Its prompt in the engine's queue; none for other work.
  std::optional<PromptQueues::Ticket> prompt{};
  // The prefixes that its engine holds once the prompt is read.
  std::vector<std::uint64_t> prefixes{};
};

class BackendSelector
{
public:
  virtual ~BackendSelector() = default;

  // Chooses a backend server; it never returns one that is not open.
  virtual tl::expected<Choice, SelectError> Select(const RequestInfo& aRequest,
                                                   const SelectQuery& aQuery,
                                                   const FleetView& aFleet,
                                                   Instant aNow) = 0;

  // A request arrived, whether it will run or not.
  virtual void OnArrival(const RequestInfo& aRequest) = 0;

  // Prompt tokens of the request that some prefix cache is likely to hold.
  [[nodiscard]] virtual Tokens ExpectedCached(
    const RequestInfo& aRequest) const = 0;

  // The chosen backend server gets the request now. The result goes to the
  // calls below.
  virtual AttemptInfo OnDispatch(const RequestInfo& aRequest,
                                 const Choice& aChoice,
                                 Lane aLane,
                                 Instant aNow) = 0;

  // The first token (or a plain service's answer) came after that wait.
  virtual void OnFirstToken(AttemptInfo& aAttempt,
                            Duration aWait,
                            Instant aNow) = 0;

  // More tokens came, with that mean gap.
  virtual void OnTokens(const AttemptInfo& aAttempt,
                        Duration aMeanGap,
                        Instant aNow) = 0;

  // The attempt is over: finished or cancelled.
  virtual void OnFinish(const AttemptInfo& aAttempt, Instant aNow) = 0;

  // The attempt is over by an error of the backend server.
  virtual void OnError(const AttemptInfo& aAttempt, Instant aNow) = 0;

  // The attempt is over: its backend server could not be reached.
  virtual void OnUnreachable(const AttemptInfo& aAttempt, Instant aNow) = 0;

  // No token has come for longer than expected, and still none has.
  virtual void OnOverdue(const AttemptInfo& aAttempt,
                         Duration aWaited,
                         Instant aNow) = 0;

  // A load report came; it is as old as the reports' lag.
  virtual void OnReport(const LoadReport& aReport,
                        const FleetView& aFleet,
                        Instant aNow) = 0;

  // A peer told of its own outstanding work.
  virtual void OnPeerDigest(const Digest& aDigest,
                            const FleetView& aFleet,
                            Instant aNow) = 0;

  // A peer sent a prompt to an engine just now.
  virtual void OnPeerPlaced(BackendSlot /*aSlot*/,
                            const BackendNotice& /*aNotice*/,
                            const FleetView& /*aFleet*/,
                            Instant /*aNow*/)
  {
  }

  // A peer found that the backend server's host acknowledges nothing.
  virtual void OnPeerSilent(BackendSlot /*aSlot*/, Instant /*aNow*/) {}

  // Adds this process's own outstanding work to its digest.
  virtual void FillDigest(Digest& aDigest,
                          const FleetView& aFleet,
                          Instant aNow) const = 0;
};

// Predicts each candidate's time from own and peers' outstanding work, the
// speed it has shown and the prefix it is likely to hold, and takes the best of
// a few candidates. A prefix that was seen before has its homes: the backend
// servers that a hash names, the same ones in all entries.
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
  void OnReport(const LoadReport& aReport,
                const FleetView& aFleet,
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
    Incarnation incarnation;
    std::uint64_t sequence = 0;
    Instant heard{};
    std::vector<std::pair<BackendSlot, PeerWork>> work;
  };
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
  // Where the prefix can be copied from, if that spares reading it there.
  [[nodiscard]] std::optional<Copy> CopySource(const RequestInfo& aRequest,
                                               const SelectQuery& aQuery,
                                               const FleetView& aFleet,
                                               BackendSlot aSlot,
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
  // Prefix blocks seen, the newest first.
  std::list<std::uint64_t> mPrefixes;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
    mPrefixPlaces;
  // Hashes of the slots' ids, learned from the fleet view.
  std::vector<std::uint64_t> mSlotHashes;
};

// Takes open backend servers in turn, whatever their load.
class RoundRobinSelector : public BackendSelector
{
public:
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
  void OnReport(const LoadReport& aReport,
                const FleetView& aFleet,
                Instant aNow) override;
  void OnPeerDigest(const Digest& aDigest,
                    const FleetView& aFleet,
                    Instant aNow) override;
  void FillDigest(Digest& aDigest,
                  const FleetView& aFleet,
                  Instant aNow) const override;

protected:
  // The open backend servers that serve the request and aren't excluded; with
  // static roles, those whose role suits its shape, if there are any.
  static std::vector<BackendSlot> Eligible(const RequestInfo& aRequest,
                                           const SelectQuery& aQuery,
                                           const FleetView& aFleet);

private:
  std::uint64_t mTurn = 0;
};

// Takes the backend server with the least load in its last report.
class LeastReportedLoadSelector : public RoundRobinSelector
{
public:
  tl::expected<Choice, SelectError> Select(const RequestInfo& aRequest,
                                           const SelectQuery& aQuery,
                                           const FleetView& aFleet,
                                           Instant aNow) override;
  void OnReport(const LoadReport& aReport,
                const FleetView& aFleet,
                Instant aNow) override;

private:
  std::vector<double> mReported;
  std::uint64_t mTurn = 0;
};

} // namespace firefly::policy

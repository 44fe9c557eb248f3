#pragma once

// Combines the policies of one entry: decides which request runs on which
// backend server and when, and which request is refused, retried, hedged or
// resumed. It opens no sockets: the entry reports events to it and carries out
// its decisions. A relay uses the router in the same way; "entry" in these
// comments means either of them.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "policy/congestion_tracker.h"
#include "policy/crash_tracker.h"
#include "policy/demand_tracker.h"
#include "policy/fleet_view.h"
#include "policy/policy_set.h"
#include "policy/request_info.h"
#include "policy/stage_load_tracker.h"

namespace firefly::policy {

// An order to send a request to a backend server.
// Why an attempt is made.
enum class AttemptCause : std::uint8_t
{
  // The first attempt, or the one that goes on from a prompt that was read.
  kFirst,
  // The one before failed or was rejected.
  kRetry,
  // The connection of the one before broke.
  kRetryAfterBreak,
  // The one before did not reach its backend server.
  kRetryUnsent,
  // The one before is overdue and may still answer.
  kHedge,
  // The one before stopped in the middle of its answer.
  kResume,
};

const char*
ToString(AttemptCause aCause);

struct DispatchOrder
{
  RequestId requestId;
  AttemptNumber attempt;
  BackendId backend;
  // The request's priority in the engine's queue; smaller values run first.
  EngineUrgency urgency{};
  // Output tokens that the caller already received; the answer continues after
  // them.
  Tokens resumeFrom;
  // A second attempt that is sent while the first one may still answer.
  bool isHedge = false;
  AttemptCause cause = AttemptCause::kFirst;
  // With kPrefill the engine only prefills the prompt and keeps its KV cache
  // for a later attempt with kDecode.
  WorkPhase phase = WorkPhase::kWhole;
  // The engine from which the KV cache of the prompt's shared prefix is copied
  // before the request runs.
  std::optional<BackendId> copyFrom{};
  // The estimates behind the choice of the backend server, for the log.
  Duration expectedWait{};
  Tokens cachedTokens;
  // How long the attempt has waited for the backend server's rate limit.
  Duration limitWait{};
  // The version of the backend server's software.
  SoftwareVersion version{};
};

// A refusal means that no backend server ran the request: it was never sent, or
// each attempt was rejected or did not reach its backend server. Prefilling its
// prompt does not count as running it.
struct Refusal
{
  RefusalReason reason = RefusalReason::kNone;
  Duration retryAfter{};
};

enum class FailureReason : std::uint8_t
{
  // The request may have run and must not be repeated.
  kOutcomeUnknown,
  // The request was sent, and no further attempt is allowed or possible; or it
  // is a suspect and there is no backend server to run it on.
  kAttemptsExhausted,
  // The request, or what it has in common with others, crashed backend servers
  // and is not run anywhere.
  kQuarantined,
};

// The reason in text form, such as "outcome-unknown".
std::string_view
ToString(FailureReason aReason);

// An attempt that ran on a backend server when it crashed.
struct CrashedAttempt
{
  RequestId requestId;
  AttemptNumber attempt;
  WorkPhase phase = WorkPhase::kWhole;
  // Output tokens that the attempt had produced.
  Tokens produced;
};

// Carries out the router's decisions. It is called from within the router's
// methods and must not call the router back.
// Whether broken connections may come from this host's own links instead of
// from backend servers that crashed.
enum class LinkState : std::uint8_t
{
  kSound,
  // Connections failed lately; soon known.
  kInDoubt,
  kCutOff,
};

class RouterSink
{
public:
  virtual ~RouterSink() = default;

  // Sends the request to a backend server; also used for retries, hedges and
  // resumes.
  virtual void Dispatch(const DispatchOrder& aOrder) = 0;

  // Stops an attempt, because another one answers, the caller has gone, the
  // answer is resumed elsewhere, or another attempt of the request crashed.
  virtual void Cancel(const RequestId& aId, AttemptNumber aAttempt) = 0;

  // Answers the caller that the request was not run.
  virtual void Refuse(const RequestId& aId, const Refusal& aRefusal) = 0;

  // Answers the caller that the request failed; it may have run.
  virtual void Fail(const RequestId& aId, FailureReason aReason) = 0;

  [[nodiscard]] virtual LinkState Link() const { return LinkState::kSound; }

  // Reports an attempt that may have caused a crash, for the log.
  virtual void OnCrashedAttempt(const CrashedAttempt& /*aAttempt*/) {}

  // Sends the notice to the peers immediately, without a guarantee of delivery.
  virtual void Announce(const BackendNotice& /*aNotice*/) {}

  // Sends changed crash suspicions to the peers in the same way.
  virtual void AnnounceCrashSuspicions(
    const std::vector<CrashSuspicion>& /*aChanges*/)
  {
  }
};

// Why an attempt ended without a complete answer.
enum class AttemptError : std::uint8_t
{
  // The backend server was not reached and nothing was sent.
  kNotSent,
  // The backend server answered that it did not run the request.
  kRejected,
  // The connection was lost or the backend server failed; the request may have
  // run.
  kBroken,
  // The backend server ran the request and answered with an error.
  kFailed,
  // The backend server's host no longer acknowledges anything; the request may
  // have run.
  kSilent,
};

// Whether the error rules out that the backend server ran the request.
[[nodiscard]] constexpr bool
MeansNotRun(AttemptError aError)
{
  return aError == AttemptError::kNotSent || aError == AttemptError::kRejected;
}

class RequestRouter
{
public:
  struct Options
  {
    HostId self;
    Incarnation incarnation;
    // Maximum number of attempts that may run a request, including the first
    // one; see RequestInfo::maxAttempts.
    std::uint32_t maxAttempts = 4;
    // When there are more entries than backend servers, several entries take
    // turns to run their suspects on one backend server. This is the time
    // between two turns.
    Duration suspectTurnInterval = std::chrono::seconds(3);
  };

  // The sink and the fleet view must outlive the router. The owner keeps the
  // fleet view up to date.
  RequestRouter(Options aOptions,
                PolicySet aPolicies,
                const FleetView& aFleet,
                RouterSink& aSink);

  // Called when a caller sends a new request.
  void OnArrival(RequestInfo aRequest, Instant aNow);

  // Called for the first token of an attempt, or the start of a plain answer.
  // Returns whether this attempt's output goes to the caller. If so, the other
  // attempts are cancelled, otherwise this one.
  bool OnFirstToken(const RequestId& aId, AttemptNumber aAttempt, Instant aNow);

  // Called when an attempt with WorkPhase::kPrefill has prefilled the prompt.
  // The output is then decoded by another attempt from the KV cache that this
  // engine keeps.
  void OnPromptPrefilled(const RequestId& aId,
                         AttemptNumber aAttempt,
                         Instant aNow);

  // Called when the version of a backend server's software has changed under
  // its id. Answers that it has begun are continued nowhere, since they may
  // come from either version.
  void OnVersionChanged(const BackendId& aBackend);

  // Called when the answering attempt has produced more output tokens.
  void OnTokens(const RequestId& aId,
                AttemptNumber aAttempt,
                Tokens aCount,
                Instant aNow);

  // Called while the entry pauses reading from an attempt because its caller is
  // slow, so that the pause does not count as a stall of the backend server.
  void OnReadPaused(const RequestId& aId, AttemptNumber aAttempt, Instant aNow);

  // Called before the answering attempt ends with an error if the caller has a
  // part of the answer that no other attempt can continue. The request is then
  // not repeated.
  void OnUnrepeatable(const RequestId& aId);

  // Called when the answering attempt is complete.
  void OnFinish(const RequestId& aId, AttemptNumber aAttempt, Instant aNow);

  // Called when an attempt ended without a complete answer.
  void OnError(const RequestId& aId,
               AttemptNumber aAttempt,
               AttemptError aError,
               Instant aNow);

  // Called when the caller has disconnected; cancels all attempts of the
  // request.
  void OnCallerGone(const RequestId& aId, Instant aNow);

  // Handles timeouts, hedges and queued requests; call it every 10 to 20 ms.
  void Tick(Instant aNow);

  // Replaces the limits by the rows of the operators' table.
  void Configure(const std::vector<LimitRow>& aRows);

  // Sets the list of all live entries, including this one.
  void SetEntries(const std::vector<HostId>& aEntries, Instant aNow);

  // Called when a load report of a backend server arrives.
  void OnReport(const LoadReport& aReport, Instant aNow);

  // Called when a peer's digest arrives; ignores this entry's own digests and
  // those that are not newer than the latest one from that peer.
  void OnPeerDigest(const Digest& aDigest, Instant aNow);

  // Called when a peer's notice about a backend server arrives; ignores notices
  // about unknown backend servers. Returns whether the notice changes a rate
  // limit.
  bool OnPeerNotice(const BackendNotice& aNotice, Instant aNow);

  // Called when an answer of a backend server names its limit, or none. Returns
  // whether the limit has changed.
  bool OnRateLimit(const BackendId& aBackend,
                   std::uint64_t aStartedAt,
                   std::optional<RequestRate> aRate,
                   Instant aNow);

  // Called when a peer's crash suspicions arrive.
  void OnPeerCrashSuspicions(const std::vector<CrashSuspicion>& aSuspicions,
                             Instant aNow);

  // Builds this entry's digest for its peers; call it a few times a second.
  Digest MakeDigest(Instant aNow);

  // The demand that this entry measured plus the demand that its peers
  // reported, for the steward.
  [[nodiscard]] FleetDemand Demand(Instant aNow) const;

  // The load of the prefill and the decode stage for the model, of this entry
  // and its peers.
  [[nodiscard]] StageLoads LoadsOf(const ModelId& aModel, Instant aNow) const;

  [[nodiscard]] const PolicySet& Policies() const { return mPolicies; }
  [[nodiscard]] std::size_t Queued() const { return mPolicies.queue->Size(); }
  // Requests that have not ended: queued, dispatched or waiting as suspects.
  [[nodiscard]] std::size_t Live() const { return mRequests.size(); }

  // Counters for metrics; they never decrease.
  struct Counters
  {
    std::uint64_t admitted = 0;
    std::uint64_t queued = 0;
    std::uint64_t refused = 0;
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
    std::uint64_t resumes = 0;
    std::uint64_t failed = 0;
  };
  [[nodiscard]] const Counters& Count() const { return mCounters; }

private:
  struct Attempt
  {
    AttemptInfo info;
    Instant dispatched{};
    Instant firstToken{};
    Instant lastTokens{};
    Instant overdueAt{};
    Tokens produced;
    // Whether its output was reported as harmless.
    bool isHarmless = false;
    bool isHedge = false;
    WorkPhase phase = WorkPhase::kWhole;
    // The version of the backend server's software.
    SoftwareVersion version{};
  };
  // A start that a backend server's rate limit delays.
  struct DelayedStart
  {
    Choice choice;
    bool isHedge = false;
    Instant at{};
    Duration wait{};
  };
  struct Request
  {
    RequestInfo info;
    LimitPermit permit;
    SizeEstimate size;
    Lane lane = Lane::kNormal;
    std::map<AttemptNumber, Attempt> attempts;
    std::uint32_t attemptCount = 0;
    // Attempts that could run the request, unlike prefill-only ones; attempts
    // that were not sent are subtracted.
    std::uint32_t runAttempts = 0;
    // Attempts that did not reach their backend server.
    std::uint32_t unsentAttempts = 0;
    // Why the next attempt is made.
    AttemptCause cause = AttemptCause::kFirst;
    // Attempts that only prefilled the prompt.
    std::uint32_t prefillAttempts = 0;
    // Whether an engine keeps the KV cache of the prompt and no attempt has
    // used it yet.
    bool hasKvCache = false;
    // The failure domain of that engine.
    DomainId kvCacheDomain{};
    // Backend servers on which an attempt failed; retries avoid them.
    std::vector<BackendSlot> failedBackends;
    // Output tokens passed on to the caller.
    Tokens deliveredTokens;
    AttemptNumber answeringAttempt;
    Instant dispatchedFirst{};
    // Expected processing time, in seconds of one whole engine.
    double engineSeconds = 0;
    bool wasHedged = false;
    // The start that waits for a place in a backend server's schedule.
    std::optional<DelayedStart> delayedStart{};
    // Whether it runs as a test of a crash suspicion.
    bool isTrial = false;
    // Whether a backend server may have run an attempt.
    bool mayHaveRun = false;
  };
  // Ordered, so that the same calls produce the same decisions on all
  // platforms.
  using Requests = std::map<RequestId, Request>;

  [[nodiscard]] LoadSummary Summarize(
    const Request& aRequest,
    const tl::expected<Choice, SelectError>& aChoice) const;
  // The delay that the prompt of a whole run causes to the output streams on
  // the same engine, as a weighted penalty.
  [[nodiscard]] Duration StallPenalty(const Request& aRequest,
                                      const Choice& aChoice) const;
  void Admit(Request& aRequest, Instant aNow);
  // Refuses or fails the request if it may crash the backend server that would
  // run it. Returns whether it did.
  bool EndIfHeld(const RequestId& aId, Instant aNow);
  // Does this for all requests that no backend server answers yet.
  void EndHeldRequests(Instant aNow);
  void ReportHarmless(const Request& aRequest, Attempt& aAttempt, Instant aNow);
  void AnnounceCrashChanges();
  // Counts a crash as evidence against what the request had in common with
  // others, once it is known not to come from this host's own links.
  void OnCrashEvidence(const Request& aRequest,
                       Instant aDispatched,
                       Instant aNow);
  void ResolveCrashEvidence();
  [[nodiscard]] SelectQuery QueryFor(const Request& aRequest) const;
  // Chooses a backend server and how to start there: with a whole run, or with
  // a separate prefill.
  [[nodiscard]] tl::expected<Choice, SelectError> Choose(
    const Request& aRequest,
    const SelectQuery& aQuery,
    Instant aNow) const;
  [[nodiscard]] double EngineSeconds(const Request& aRequest,
                                     Tokens aCached) const;
  [[nodiscard]] double WorthPerEngineSecond(const Request& aRequest) const;
  void Enqueue(Request& aRequest);
  [[nodiscard]] QueuedRequest QueueEntry(const Request& aRequest) const;
  // The time from the dispatch to the answer of a plain service; zero for
  // engines, whose own queues are part of it.
  [[nodiscard]] Duration PlainTimeOf(const RequestInfo& aInfo) const;
  void RefuseEvicted(const std::optional<QueuedRequest>& aEvicted);
  // Starts an attempt, at once or when the backend server's rate limit allows
  // it.
  void Start(Request& aRequest,
             const Choice& aChoice,
             bool aIsHedge,
             Instant aNow);
  // Takes a place in the backend server's schedule if it has a limit. Returns
  // whether the attempt has to wait for it.
  bool WaitForPlace(Request& aRequest,
                    const Choice& aChoice,
                    bool aIsHedge,
                    Instant aNow);
  // Starts the attempts whose time has come.
  void StartDelayed(Instant aNow);
  void StartNow(Request& aRequest,
                const Choice& aChoice,
                bool aIsHedge,
                Instant aNow,
                Duration aLimitWait = {});
  // The time after which a request may return that all backend servers' limits
  // exclude now, a little longer for some so that their callers do not return
  // together.
  [[nodiscard]] static Duration ReturnAfter(const RequestInfo& aInfo,
                                            Duration aWait);
  // Reports to the load of its stage that the attempt has passed it.
  void RecordStage(const Request& aRequest,
                   const Attempt& aAttempt,
                   Instant aNow);
  void EndAttempt(Request& aRequest,
                  AttemptNumber aAttempt,
                  AttemptError aError,
                  Instant aNow);
  void Retry(const RequestId& aId, AttemptError aError, Instant aNow);
  void RefuseOrFail(const RequestId& aId, RefusalReason aReason, Instant aNow);
  // The time until the first of the backend servers that asked for no requests
  // takes this one, a little longer for some requests so that their callers do
  // not return together. Zero if none of them did.
  [[nodiscard]] Duration TimeUntilReopened(const RequestInfo& aInfo,
                                           Instant aNow) const;
  [[nodiscard]] std::uint32_t MaxAttempts(const Request& aRequest) const;
  void QueueSuspect(const RequestId& aId, Instant aNow);
  void EndSuspectRun(const RequestId& aId, Instant aNow);
  [[nodiscard]] std::vector<BackendSlot> SuspectCandidates(
    const Request& aRequest,
    Instant aNow) const;
  void CountFirstAttempt(const ServiceId& aService);
  // Hedges and resumptions are repeats, and have a smaller budget besides.
  bool TrySpendHedge(const ServiceId& aService);
  void Hedge(Request& aRequest, Instant aNow);
  void Resume(Request& aRequest, AttemptNumber aAttempt, Instant aNow);
  void HedgeOrResume(Request& aRequest, Instant aNow);
  void CancelAttempt(Request& aRequest, AttemptNumber aAttempt, Instant aNow);
  void CancelOthers(Request& aRequest, AttemptNumber aKept, Instant aNow);
  void DispatchQueued(Instant aNow);
  void StartNextSuspect(Instant aNow);
  // Moves queued requests that have become late behind those that can be in
  // time. Refuses them if their callers will have given up before the
  // congestion is expected to end.
  void HandleExpired(Instant aNow);
  void Refuse(const RequestId& aId,
              RefusalReason aReason,
              Duration aRetryAfter);
  void Fail(const RequestId& aId, FailureReason aReason);
  void RemoveRequest(const RequestId& aId);

  Options mOptions;
  PolicySet mPolicies;
  const FleetView& mFleet;
  RouterSink& mSink;
  Requests mRequests;
  // Requests that wait for a place in a backend server's schedule.
  std::vector<RequestId> mDelayedStarts;
  struct CrashEvidence
  {
    RequestInfo info;
    Instant dispatched{};
    Instant at{};
  };
  // Crashes that wait until it is known whether this host's links are at fault.
  std::vector<CrashEvidence> mCrashEvidence;
  // Suspects that wait for their turn, in order of arrival.
  std::vector<RequestId> mSuspectQueue;
  RequestId mRunningSuspect;
  Instant mSuspectQueueSince{};
  std::vector<HostId> mEntries;
  DemandTracker mDemand;
  StageLoadTracker mStageLoads;
  CongestionTracker mCongestion;
  // Moving averages over the answers of each plain service.
  std::map<ServiceId, Duration> mPlainTimes;
  CrashTracker mCrashes;
  std::uint64_t mSequence = 0;
  Counters mCounters;
};

} // namespace firefly::policy

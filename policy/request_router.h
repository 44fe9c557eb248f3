#pragma once

// Wires the policies of one entry together: which request runs where and when,
// which is refused, retried, hedged or resumed. It has no sockets: the entry
// tells it what happened and carries out what it asks for.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "policy/demand_tracker.h"
#include "policy/fleet_view.h"
#include "policy/policy_set.h"
#include "policy/request_info.h"

namespace firefly::policy {

// Send the request to a backend server.
struct DispatchOrder
{
  RequestId requestId;
  AttemptNumber attempt;
  BackendId backend;
  // The engine's order of work; smaller runs first.
  EngineUrgency urgency{};
  // Output tokens that the caller has already; the answer goes on after them.
  Tokens resumeFrom;
  // A second attempt while the first may still answer.
  bool isHedge = false;
  // kPrompt: only have the prompt read, and keep the memory for kOutput.
  WorkPhase phase = WorkPhase::kWhole;
  // The engine whose memory of the prompt's shared part is copied first.
  std::optional<BackendId> copyFrom{};
  // What the choice was based on, for the log.
  Duration expectedWait{};
  Tokens cachedTokens;
};

// The request was not run; nothing of it was ever sent to a backend server.
struct Refusal
{
  RefusalReason reason = RefusalReason::kNone;
  Duration retryAfter{};
};

enum class FailureReason : std::uint8_t
{
  // It may have run, and must not be repeated.
  kOutcomeUnknown,
  // All attempts that are allowed failed.
  kAttemptsExhausted,
  // It crashed backend servers and is repeated nowhere.
  kQuarantined,
};

// The reason as a word, such as "outcome-unknown".
std::string_view
ToString(FailureReason aReason);

// Carries out the router's decisions. Calls come from inside the router's
// own calls; an implementation must not call back into the router from them.
class RouterSink
{
public:
  virtual ~RouterSink() = default;

  // Sends the request, or sends it again.
  virtual void Dispatch(const DispatchOrder& aOrder) = 0;

  // Stops an attempt: another one brings the answer, or nobody waits for it.
  virtual void Cancel(const RequestId& aId, AttemptNumber aAttempt) = 0;

  // Answers the caller that the request was not run.
  virtual void Refuse(const RequestId& aId, const Refusal& aRefusal) = 0;

  // Answers the caller that the request failed after it was sent.
  virtual void Fail(const RequestId& aId, FailureReason aReason) = 0;

  // Tells peers at once; may be lost.
  virtual void Announce(const BackendNotice& /*aNotice*/) {}
};

// How an attempt ended without an answer.
enum class AttemptError : std::uint8_t
{
  // The backend server was never reached; nothing was sent.
  kNotSent,
  // The backend server said that it did not run the request.
  kRejected,
  // The connection broke or the backend server failed; it may have run.
  kBroken,
  // The backend server ran the request and answered with an error of its own.
  kFailed,
  // Its host acknowledges nothing any more; it may have run.
  kSilent,
};

// Whether the backend server can't have run the request.
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
    // Attempts of a request at most, the first one included.
    std::uint32_t maxAttempts = 4;
    // Between two entries' turns on one backend server with their suspects.
    Duration suspectTurn = std::chrono::seconds(3);
  };

  // The sink and the fleet view must outlive the router; the owner keeps the
  // fleet view up to date.
  RequestRouter(Options aOptions,
                PolicySet aPolicies,
                const FleetView& aFleet,
                RouterSink& aSink);

  // A new request of a caller.
  void OnArrival(RequestInfo aRequest, Instant aNow);

  // An attempt's first token (or the start of a plain answer). Returns whether
  // this attempt is the one to give to the caller; others are cancelled.
  bool OnFirstToken(const RequestId& aId, AttemptNumber aAttempt, Instant aNow);

  // An attempt with WorkPhase::kPrompt has read the prompt; the output is made
  // elsewhere, from the memory that it keeps.
  void OnPromptRead(const RequestId& aId, AttemptNumber aAttempt, Instant aNow);

  // More output tokens of the attempt that answers.
  void OnTokens(const RequestId& aId,
                AttemptNumber aAttempt,
                Tokens aCount,
                Instant aNow);

  // The entry holds the answering attempt back, because its caller is slow: the
  // silence is not the backend server's.
  void OnHeld(const RequestId& aId, AttemptNumber aAttempt, Instant aNow);

  // The attempt that answers is complete.
  void OnFinish(const RequestId& aId, AttemptNumber aAttempt, Instant aNow);

  // An attempt ended without a whole answer.
  void OnError(const RequestId& aId,
               AttemptNumber aAttempt,
               AttemptError aError,
               Instant aNow);

  // The caller is gone: its attempts are cancelled.
  void OnCallerGone(const RequestId& aId, Instant aNow);

  // Time passes: call it every 10 to 20 ms.
  void Tick(Instant aNow);

  // Takes over the operators' table.
  void Configure(const std::vector<LimitRow>& aRows);

  // All live entries, this one included.
  void SetEntries(const std::vector<HostId>& aEntries);

  // A load report of a backend server came.
  void OnReport(const LoadReport& aReport, Instant aNow);

  // A peer's digest came; older ones than those known are ignored.
  void OnPeerDigest(const Digest& aDigest, Instant aNow);

  // A peer tells of a backend server; unknown ones are ignored.
  void OnPeerNotice(const BackendNotice& aNotice, Instant aNow);

  // This entry's digest for its peers; call it a few times a second.
  Digest MakeDigest(Instant aNow);

  // Demand seen by this entry and told by its peers, for the steward.
  [[nodiscard]] FleetDemand Demand(Instant aNow) const;

  [[nodiscard]] const PolicySet& Policies() const { return mPolicies; }
  [[nodiscard]] std::size_t Queued() const { return mPolicies.queue->Size(); }
  // Requests that are known and not over: queued or dispatched.
  [[nodiscard]] std::size_t Live() const { return mRequests.size(); }

  // Counters for metrics; they only grow.
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
    Instant lastTokens{};
    Instant overdueAt{};
    bool isHedge = false;
    WorkPhase phase = WorkPhase::kWhole;
  };
  struct Request
  {
    RequestInfo info;
    LimitPermit permit;
    SizeEstimate size;
    Lane lane = Lane::kNormal;
    std::map<AttemptNumber, Attempt> attempts;
    std::uint32_t attemptsMade = 0;
    // Of these, the ones that could run it.
    std::uint32_t runsMade = 0;
    // Of these, the ones that only had the prompt read.
    std::uint32_t promptReads = 0;
    // An engine keeps the memory of its prompt, which no attempt has taken.
    bool hasMemory = false;
    // Backend servers that failed it.
    std::vector<BackendSlot> failedAt;
    // Output tokens given to the caller.
    Tokens delivered;
    AttemptNumber answering;
    Instant dispatchedFirst{};
    // Expected seconds of a whole engine.
    double engineSeconds = 0;
    bool hedged = false;
    // Whether an attempt may have run at a backend server.
    bool mayHaveRun = false;
  };
  // Ordered, so that the same calls give the same orders everywhere.
  using Requests = std::map<RequestId, Request>;

  [[nodiscard]] LoadSummary Summarize(
    const Request& aRequest,
    const tl::expected<Choice, SelectError>& aChoice) const;
  // What a whole run's prompt costs the streams that run beside it.
  [[nodiscard]] Duration StallOf(const Request& aRequest,
                                 const Choice& aChoice) const;
  void Admit(Request& aRequest, Instant aNow);
  [[nodiscard]] SelectQuery QueryFor(const Request& aRequest) const;
  // The best place to begin: a whole run, or reading the prompt apart.
  [[nodiscard]] tl::expected<Choice, SelectError> Choose(
    const Request& aRequest,
    const SelectQuery& aQuery,
    Instant aNow) const;
  [[nodiscard]] double EngineSeconds(const Request& aRequest,
                                     Tokens aCached) const;
  [[nodiscard]] double Density(const Request& aRequest) const;
  void Enqueue(Request& aRequest);
  void Start(Request& aRequest,
             const Choice& aChoice,
             bool aIsHedge,
             Instant aNow);
  void EndAttempt(Request& aRequest,
                  AttemptNumber aAttempt,
                  AttemptError aError,
                  Instant aNow);
  void Retry(const RequestId& aId, AttemptError aError, Instant aNow);
  void GiveUp(const RequestId& aId, RefusalReason aReason);
  [[nodiscard]] std::uint32_t MaxAttempts(const Request& aRequest) const;
  void AddSuspect(const RequestId& aId, Instant aNow);
  void ReleaseSuspect(const RequestId& aId, Instant aNow);
  [[nodiscard]] std::vector<BackendSlot> SuspectPlaces(
    const Request& aRequest) const;
  void Hedge(Request& aRequest, Instant aNow);
  void Resume(Request& aRequest, AttemptNumber aAttempt, Instant aNow);
  void Watch(Request& aRequest, Instant aNow);
  void CancelAttempt(Request& aRequest, AttemptNumber aAttempt, Instant aNow);
  void CancelOthers(Request& aRequest, AttemptNumber aKept, Instant aNow);
  void Pump(Instant aNow);
  void PumpSuspects(Instant aNow);
  void ExpireQueue(Instant aNow);
  void Refuse(const RequestId& aId,
              RefusalReason aReason,
              Duration aRetryAfter);
  void Fail(const RequestId& aId, FailureReason aReason);
  void Drop(const RequestId& aId);

  Options mOptions;
  PolicySet mPolicies;
  const FleetView& mFleet;
  RouterSink& mSink;
  Requests mRequests;
  // Suspects that wait for their turn, in order.
  std::vector<RequestId> mSuspects;
  RequestId mSuspectRunning;
  Instant mSuspectsSince{};
  std::vector<HostId> mEntries;
  DemandTracker mDemand;
  std::uint64_t mSequence = 0;
  Counters mCounters;
};

} // namespace firefly::policy

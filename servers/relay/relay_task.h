#pragma once

// One request from its arrival to its end. Carries out the router's decisions
// on the request and reports events back to the router.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "policy/request_router.h"
#include "policy/routing_table.h"
#include "servers/http1/backend_pool.h"
#include "servers/http1/caller_server.h"
#include "servers/log/log.h"
#include "servers/relay/backend_registry.h"
#include "servers/relay/dialect.h"
#include "servers/relay/relay_attempt.h"
#include "servers/relay/relay_metrics.h"

namespace firefly {

// The objects that all tasks of a relay share; they must outlive the tasks.
struct RelayContext
{
  Executor* executor = nullptr;
  const Dialect* dialect = nullptr;
  BackendPool* pool = nullptr;
  BackendRegistry* backendRegistry = nullptr;
  policy::RequestRouter* router = nullptr;
  RelayMetrics* metrics = nullptr;
  const Log* log = nullptr;
  // Counts the answers that are held; none if they are not counted.
  std::shared_ptr<MemoryBudget> memory;
  // Called once for each request that a backend server began to run, if set;
  // the customer may be empty.
  std::function<void(const CustomerId&)> onRequestStarted{};
  // Called when a stream is sent to a backend server, and when its first event
  // has arrived from there, if set.
  std::function<void(const ServiceId&, const policy::StreamSend&)>
    onStreamSend{};
};

class RelayTask
  : private CallerObserver
  , private RelayAttemptListener
{
public:
  struct Options
  {
    RelayRequest request;
    // The routing table in force when the request arrived, and the route that
    // matched.
    std::shared_ptr<const policy::RoutingTable> table;
    const policy::Route* route = nullptr;
    // The customer that sent the request, owned by the table; null if it is not
    // known.
    const policy::Customer* customer = nullptr;
    ServiceId service;
    // When the request arrived.
    Instant arrivedAt{};
    // The version that began the stream which the request continues.
    std::optional<policy::SoftwareVersion> requiredVersion{};
    // Maximum number of output tokens in one event.
    std::uint32_t tokensPerEvent = 1;
    std::shared_ptr<CallerAnswer> answer;
    // Called once, when the task may be destroyed; never from within a call to
    // the task.
    std::function<void(const RequestId&)> onDone;
  };

  RelayTask(const RelayContext& aContext, Options aOptions);
  ~RelayTask() override;
  RelayTask(const RelayTask&) = delete;
  RelayTask& operator=(const RelayTask&) = delete;

  // Starts the deadline timer and submits the request to the router.
  void Start();

  // Carry out a decision of the router.
  void Dispatch(const policy::DispatchOrder& aOrder);
  void Cancel(policy::AttemptNumber aAttempt);
  void Refuse(const policy::Refusal& aRefusal);
  void Fail(policy::FailureReason aReason);

  // Answers a request that has no complete answer by now.
  void EndUnanswered(const std::string& aWhy);

  // Logs what ran when a backend server crashed.
  void OnCrashedAttempt(const policy::CrashedAttempt& aAttempt);

private:
  void OnCallerGone() override;
  void OnOutputAccepted() override;

  void OnAvailability(const policy::BackendRun& aBackend,
                      const AvailabilityNotice& aNotice) override;
  void OnRateLimit(const policy::BackendRun& aBackend,
                   std::optional<policy::RequestRate> aRate) override;
  void OnAttemptError(policy::AttemptNumber aAttempt,
                      policy::AttemptError aError,
                      const std::string& aWhy) override;
  void OnPrefillAnswer(policy::AttemptNumber aAttempt,
                       const BackendAnswer& aAnswer,
                       const BackendId& aBackend) override;
  void OnAttemptFailure(policy::AttemptNumber aAttempt,
                        BackendAnswer aAnswer) override;
  void OnPlainAnswer(policy::AttemptNumber aAttempt,
                     const BackendAnswer& aAnswer) override;
  EventOrder OnContinuation(const StreamEvent& aEvent) override;
  bool OnFirstEvent(policy::AttemptNumber aAttempt,
                    const MessageHead& aHead) override;
  void OnEvent(policy::AttemptNumber aAttempt,
               const StreamEvent& aEvent) override;
  void OnEventsDelivered(RelayAttempt& aAttempt) override;
  void OnStreamEnd(policy::AttemptNumber aAttempt) override;

  // Removes an attempt that is over and returns it, or null if it is unknown.
  // The attempt is destroyed only after the current event, since it may be the
  // caller of this function.
  std::shared_ptr<RelayAttempt> DetachAttempt(policy::AttemptNumber aAttempt);
  // Frees the prompt's KV cache if no attempt has taken it.
  void ReleaseKvCache();
  // Returns an empty address if there is no backend server or if it was
  // removed.
  [[nodiscard]] std::string AddressOf(
    const std::optional<BackendId>& aBackend) const;
  // Returns the version of its software, or nothing if it was removed.
  [[nodiscard]] std::string VersionOf(const BackendId& aBackend) const;
  [[nodiscard]] policy::RequestInfo MakeInfo() const;
  [[nodiscard]] Instant Now() const;
  [[nodiscard]] bool MayHaveRun() const;
  void SendOwnAnswer(OwnAnswerKind aKind,
                     const std::string& aDetail,
                     Duration aRetryAfter = {});
  void SendFailure(const BackendAnswer& aFailure);
  void RecordFirstAnswer();
  // Reports that the first event of the stream came from this attempt.
  void ReportStreamBegin(const RelayAttempt& aAttempt) const;
  void ReportStreamSend(const BackendId& aBackend,
                        policy::SoftwareVersion aVersion,
                        bool aHasBegun) const;
  // Reports that a backend server ran the request, once for all attempts.
  void RecordStart();
  // The same for an answer; a stream has run only if it had an event.
  void RecordAnswerAsStart();
  // Ends the task and reports the outcome to the log and the metrics.
  void EndTask(const std::string& aOutcome, const std::string& aWhy = {});

  const RelayContext& mContext;
  Options mOptions;
  Instant mArrival{};
  Instant mDeadline{};
  Timer mDeadlineTimer;
  std::map<policy::AttemptNumber, std::unique_ptr<RelayAttempt>> mAttempts;
  std::uint32_t mAttemptCount = 0;
  // The KV cache at the engine that prefilled the prompt, until an attempt
  // takes it.
  std::optional<KvCacheRef> mKvCache;
  BackendId mKvCacheBackend;
  // An attempt that may have run ended without an answer to the caller.
  bool mEndedAttemptMayHaveRun = false;
  // The failure that a backend server answered with, kept until it is known
  // whether another attempt succeeds.
  std::optional<BackendAnswer> mBackendFailure;
  // The head of the answer has been sent to the caller.
  bool mHasBegun = false;
  // The events that the caller has.
  EventSequence mEvents;
  // The backend servers that the request was sent to, for the log.
  std::string mTriedBackends;
  std::optional<Duration> mFirstAnswer;
  // For a stream: when the last event arrived, and the maximum time between two
  // events.
  Instant mLastEventTime{};
  Duration mMaxEventGap{};
  std::uint32_t mEventCount = 0;
  int mStatus = 0;
  bool mDone = false;
  // The customer that the request counts for; empty if none.
  CustomerId mCustomer;
  bool mIsCounted = false;
};

} // namespace firefly

#pragma once

// One request from its arrival to its end: carries out the router's decisions
// on it and tells the router what happened.

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
#include "servers/relay/backend_directory.h"
#include "servers/relay/dialect.h"
#include "servers/relay/relay_attempt.h"
#include "servers/relay/relay_metrics.h"

namespace firefly {

// What the tasks of a relay share; all of it outlives them.
struct RelayContext
{
  Executor* executor = nullptr;
  const Dialect* dialect = nullptr;
  BackendPool* pool = nullptr;
  const BackendDirectory* directory = nullptr;
  policy::RequestRouter* router = nullptr;
  RelayMetrics* metrics = nullptr;
  const Log* log = nullptr;
};

class RelayTask
  : private CallerObserver
  , private RelayAttemptListener
{
public:
  struct Options
  {
    RelayRequest request;
    // The table that the request began with, and its route in it.
    std::shared_ptr<const policy::RoutingTable> table;
    const policy::Route* route = nullptr;
    ServiceId service;
    // Output tokens in one event at most.
    std::uint32_t tokensPerEvent = 1;
    std::shared_ptr<CallerAnswer> answer;
    // Called once, when the task may be destroyed; never inside a call to it.
    std::function<void(const RequestId&)> onDone;
  };

  RelayTask(const RelayContext& aContext, Options aOptions);
  ~RelayTask() override;
  RelayTask(const RelayTask&) = delete;
  RelayTask& operator=(const RelayTask&) = delete;

  // Hands the request to the router.
  void Start();

  // The router's decisions.
  void Dispatch(const policy::DispatchOrder& aOrder);
  void Cancel(policy::AttemptNumber aAttempt);
  void Refuse(const policy::Refusal& aRefusal);
  void Fail(policy::FailureReason aReason);

private:
  void OnCallerGone() override;
  void OnCallerTookAll() override;

  void OnExpired();
  void OnAttemptError(policy::AttemptNumber aAttempt,
                      policy::AttemptError aError,
                      const std::string& aWhy) override;
  void OnPromptRead(policy::AttemptNumber aAttempt,
                    const BackendAnswer& aAnswer,
                    const BackendId& aBackend) override;
  void OnAttemptFailure(policy::AttemptNumber aAttempt,
                        BackendAnswer aAnswer) override;
  void OnPlainAnswer(policy::AttemptNumber aAttempt,
                     const BackendAnswer& aAnswer) override;
  bool OnFirstEvent(policy::AttemptNumber aAttempt,
                    const MessageHead& aHead) override;
  void OnEvent(policy::AttemptNumber aAttempt,
               const StreamEvent& aEvent) override;
  void OnEventsGiven(RelayAttempt& aAttempt) override;
  void OnStreamEnd(policy::AttemptNumber aAttempt) override;

  // An attempt that is over, or null; it is destroyed after the current event.
  std::shared_ptr<RelayAttempt> TakeAttempt(policy::AttemptNumber aAttempt);
  // Frees a prompt's memory that no attempt takes any more.
  void ReleaseMemory();
  // Where the backend server is reached; empty if it is none or is gone.
  [[nodiscard]] std::string AddressOf(
    const std::optional<BackendId>& aBackend) const;
  [[nodiscard]] policy::RequestInfo MakeInfo() const;
  [[nodiscard]] Instant Now() const;
  [[nodiscard]] bool MayHaveRun() const;
  void SendOwn(OwnAnswerKind aKind,
               const std::string& aDetail,
               Duration aRetryAfter = {});
  void SendFailure(const BackendAnswer& aFailure);
  void CountFirstAnswer();
  // Ends the task; the outcome goes to the log and the metrics.
  void Done(const std::string& aOutcome, const std::string& aWhy = {});

  const RelayContext& mContext;
  Options mOptions;
  Instant mArrival{};
  Instant mExpires{};
  Timer mExpiry;
  std::map<policy::AttemptNumber, std::unique_ptr<RelayAttempt>> mAttempts;
  std::uint32_t mAttemptsMade = 0;
  // Kept at an engine that read the prompt, until an attempt takes it.
  std::optional<PromptMemory> mMemory;
  BackendId mMemoryAt;
  // An attempt ended that may have run.
  bool mRanUnseen = false;
  // A backend server's failure, kept until it is known whether another one
  // answers better.
  std::optional<BackendAnswer> mFailure;
  // The head of the answer is out.
  bool mBegun = false;
  std::string mLastEventId;
  std::string mBackends; // that it was sent to, for the log
  std::optional<Duration> mFirstAnswer;
  // Of a stream: when its last event came, and the longest pause before one.
  Instant mLastEvent{};
  Duration mLongestGap{};
  std::uint32_t mEvents = 0;
  int mStatus = 0;
  bool mDone = false;
};

} // namespace firefly

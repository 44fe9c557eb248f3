#pragma once

// Accepts requests from callers, passes them to the router for placement, and
// owns the task of each live request.

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

#include "policy/access/access_control.h"
#include "policy/request_router.h"
#include "policy/stream_origin/stream_origin_tracker.h"
#include "servers/http1/caller_server.h"
#include "servers/relay/relay_task.h"
#include "servers/relay/routing_table_replica.h"

namespace firefly {

class Relay
  : public CallerHandler
  , private policy::RouterSink
{
public:
  struct Options
  {
    HostId self;
    Incarnation incarnation;
    std::uint64_t seed = 1;
    DomainId domain{};
    // Extra predicted wait that is accepted to stay within the failure domain.
    Duration crossDomainPenalty{};
    // Maximum number of requests that wait for capacity.
    std::size_t queueBound = 256;
    // Retry-After for callers if no better estimate is available.
    Duration retryAfter = std::chrono::seconds(1);
    // From this age of the routing table's confirmation on, keys of customers
    // are not accepted; none if revocation is not strict.
    std::optional<Duration> stalenessBound{};
    // What the repeats of all hosts may add to a service's load.
    policy::RetryAllowance retryAllowance{};
    // Within which a change of the routing table must be in force.
    Duration changeBound = std::chrono::seconds(2);
  };

  // All of these must outlive the relay.
  struct Parts
  {
    Executor* executor = nullptr;
    const Dialect* dialect = nullptr;
    BackendPool* pool = nullptr;
    BackendRegistry* backendRegistry = nullptr;
    const policy::FleetView* fleet = nullptr;
    const RoutingTableReplica* routing = nullptr;
    RelayMetrics* metrics = nullptr;
    std::shared_ptr<MemoryBudget> memory{};
    // Knows which versions began the streams that callers resume; null if
    // versions are not told apart.
    policy::StreamOriginTracker* streamOrigins = nullptr;
    // Calls back, not within the call, when all changes of the backend servers
    // up to the instant are known, or when that can't be waited for. Without
    // this function, nothing is waited for.
    std::function<void(Instant, std::function<void()>)> awaitBackends{};
    // Tells the other relays that a stream was sent to a backend server.
    std::function<void(const policy::StreamSend&)> announceStreamSend{};
    // Sends a notice about a backend server to the other relays.
    std::function<void(const policy::BackendNotice&)> announce{};
    // Whether broken connections may come from this host's own links. Without
    // this function, they never do.
    std::function<policy::LinkState()> linkState{};
    // Sends changed crash suspicions to the other relays.
    std::function<void(const std::vector<policy::CrashSuspicion>&)>
      announceCrashSuspicions{};
    // The time up to which the routing table is known to contain all changes.
    // Without this function, no table is ever confirmed.
    std::function<std::optional<Instant>()> tableConfirmedAt{};
    // Since when no host can read the log of the routing table, if that is so.
    std::function<std::optional<Instant>()> logAwaySince{};
    // Asks for a confirmation of the routing table, because a request could not
    // be refused without one.
    std::function<void()> confirmTable{};
    // Called once for each request that a backend server began to run.
    std::function<void(const CustomerId&)> onRequestStarted{};
  };

  Relay(Options aOptions, const Parts& aParts);
  ~Relay() override;
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  void OnRequest(CallerRequest aRequest,
                 std::shared_ptr<CallerAnswer> aAnswer) override;
  void OnRejected(const CallerRejection& aRejection) override;
  RefusalAnswer ComposeRefusal(const MessageHead& aHead) override;

  // Accepts no further requests; live requests continue.
  void Close() { mIsClosed = true; }

  // Answers all live requests, because the process ends.
  void EndRequests();

  // Returns true once a request has been routed.
  [[nodiscard]] bool HasRoutedRequest() const { return mHasRoutedRequest; }

  // Number of requests that have not ended.
  [[nodiscard]] std::size_t LiveRequests() const
  {
    return mTasks.size() + mTakeUps.size();
  }
  // The age of the routing table's confirmation; none if it is not confirmed.
  [[nodiscard]] std::optional<Duration> ConfirmationAge() const
  {
    return GetAccessTime().Age();
  }
  [[nodiscard]] policy::RequestRouter& Router() { return mRouter; }

private:
  class TakeUp;

  // A request that is allowed on its route.
  struct AdmittedRequest
  {
    RelayRequest request;
    std::shared_ptr<const policy::RoutingTable> table;
    const policy::Route* route = nullptr;
    const policy::Customer* customer = nullptr;
    ServiceId service;
    Instant arrivedAt{};
    std::shared_ptr<CallerAnswer> answer;
  };

  void Dispatch(const policy::DispatchOrder& aOrder) override;
  void Cancel(const RequestId& aId, policy::AttemptNumber aAttempt) override;
  void Refuse(const RequestId& aId, const policy::Refusal& aRefusal) override;
  void Fail(const RequestId& aId, policy::FailureReason aReason) override;
  [[nodiscard]] policy::LinkState Link() const override;
  void OnCrashedAttempt(const policy::CrashedAttempt& aAttempt) override;
  void Announce(const policy::BackendNotice& aNotice) override;
  void AnnounceCrashSuspicions(
    const std::vector<policy::CrashSuspicion>& aChanges) override;

  // Starts the task of a request; aOrigin is the version that began the stream
  // which it continues.
  void StartTask(AdmittedRequest aRequest,
                 std::optional<policy::SoftwareVersion> aOrigin);
  // Continues a stream at the version that began it, as soon as that is known,
  // or refuses to.
  void ContinueStream(AdmittedRequest aRequest);
  // Decides about a request that waited, unless it has been answered.
  void ResolveTakeUp(const RequestId& aId);
  // Starts the task of a request that continues a stream, or refuses it.
  void DecideTakeUp(AdmittedRequest aRequest,
                    const policy::StreamOrigin& aOrigin);
  [[nodiscard]] policy::StreamOrigin FindOrigin(
    const AdmittedRequest& aRequest) const;
  void OnStreamSend(const ServiceId& aService, const policy::StreamSend& aSend);
  // Answers a request that matches no route.
  void RejectUnrouted(CallerAnswer& aAnswer, const RequestId& aId);
  void RejectRequest(CallerAnswer& aAnswer,
                     OwnAnswerKind aKind,
                     const RequestId& aId,
                     const std::string& aDetail,
                     const LogFields& aMoreFields = {});
  // The version, source and age of the current table, which must exist.
  [[nodiscard]] LogFields TableFields(const policy::AccessTime& aTime) const;
  [[nodiscard]] policy::AccessTime GetAccessTime() const;
  // Asks for a confirmation of the routing table and counts the request.
  void OnTableInDoubt(std::string_view aDecision);
  // Logs that keys are no longer accepted because the table is not confirmed,
  // or that they are accepted again.
  void LogStalenessChange(const policy::AccessTime& aTime);
  // Counts the decision, and answers the request unless it is admitted.
  void ApplyDecision(const policy::AccessDecision& aDecision,
                     const policy::AccessTime& aTime,
                     CallerAnswer& aAnswer,
                     const RequestId& aId);
  void Tick();

  Options mOptions;
  Parts mParts;
  Log mLog{ "relay" };
  policy::RequestRouter mRouter;
  RelayContext mContext;
  std::unordered_map<RequestId, std::unique_ptr<RelayTask>> mTasks;
  // Requests that wait until the origin of their stream is known.
  std::unordered_map<RequestId, std::unique_ptr<TakeUp>> mTakeUps;
  bool mIsClosed = false;
  bool mHasRoutedRequest = false;
  // Whether the table was too old at the last request for which it mattered.
  bool mIsTableStale = false;
  Timer mTickTimer;
};

} // namespace firefly

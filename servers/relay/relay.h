#pragma once

// Accepts requests from callers, passes them to the router for placement, and
// owns the task of each live request.

#include <functional>
#include <memory>
#include <unordered_map>

#include "policy/request_router.h"
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
    // Sends a notice about a backend server to the other relays.
    std::function<void(const policy::BackendNotice&)> announce{};
    // Sends changed crash suspicions to the other relays.
    std::function<void(const std::vector<policy::CrashSuspicion>&)>
      announceCrashSuspicions{};
    // Called once for each request that a backend server began to run.
    std::function<void(const CustomerId&)> onRequestStarted{};
  };

  Relay(Options aOptions, const Parts& aParts);
  ~Relay() override;
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  void OnRequest(CallerRequest aRequest,
                 std::shared_ptr<CallerAnswer> aAnswer) override;
  void OnRejected(int aStatus, const std::string& aPeer) override;

  // Accepts no further requests; live requests continue.
  void Close() { mIsClosed = true; }

  // Answers all live requests, because the process ends.
  void EndRequests();

  // Returns true once a request has been routed.
  [[nodiscard]] bool HasRoutedRequest() const { return mHasRoutedRequest; }

  // Number of requests that have not ended.
  [[nodiscard]] std::size_t LiveRequests() const { return mTasks.size(); }
  [[nodiscard]] policy::RequestRouter& Router() { return mRouter; }

private:
  void Dispatch(const policy::DispatchOrder& aOrder) override;
  void Cancel(const RequestId& aId, policy::AttemptNumber aAttempt) override;
  void Refuse(const RequestId& aId, const policy::Refusal& aRefusal) override;
  void Fail(const RequestId& aId, policy::FailureReason aReason) override;
  void OnCrashedAttempt(const policy::CrashedAttempt& aAttempt) override;
  void Announce(const policy::BackendNotice& aNotice) override;
  void AnnounceCrashSuspicions(
    const std::vector<policy::CrashSuspicion>& aChanges) override;

  void RejectRequest(CallerAnswer& aAnswer,
                     OwnAnswerKind aKind,
                     const RequestId& aId,
                     const std::string& aDetail);
  void Tick();

  Options mOptions;
  Parts mParts;
  Log mLog{ "relay" };
  policy::RequestRouter mRouter;
  RelayContext mContext;
  std::unordered_map<RequestId, std::unique_ptr<RelayTask>> mTasks;
  bool mIsClosed = false;
  bool mHasRoutedRequest = false;
  Timer mTickTimer;
};

} // namespace firefly

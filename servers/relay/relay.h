#pragma once

// Takes requests from callers, has the router decide on them, and keeps their
// tasks.

#include <functional>
#include <memory>
#include <unordered_map>

#include "policy/request_router.h"
#include "servers/http1/caller_server.h"
#include "servers/relay/relay_task.h"
#include "servers/relay/routing_keeper.h"

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
    // What it is worth to stay within the failure domain, as a longer wait.
    Duration farCost{};
    // Requests that may wait for room.
    std::size_t queueBound = 256;
    // What a caller is told to wait where nothing better is known.
    Duration retryAfter = std::chrono::seconds(1);
  };

  // All of these must outlive the relay.
  struct Parts
  {
    Executor* executor = nullptr;
    const Dialect* dialect = nullptr;
    BackendPool* pool = nullptr;
    const BackendDirectory* directory = nullptr;
    const policy::FleetView* fleet = nullptr;
    const RoutingKeeper* routing = nullptr;
    RelayMetrics* metrics = nullptr;
    // Tells the other relays of a backend server.
    std::function<void(const policy::BackendNotice&)> announce{};
  };

  Relay(Options aOptions, const Parts& aParts);
  ~Relay() override;
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  void OnRequest(CallerRequest aRequest,
                 std::shared_ptr<CallerAnswer> aAnswer) override;
  void OnRejected(int aStatus, const std::string& aPeer) override;

  // Takes no further requests; those that run go on.
  void Close() { mClosed = true; }

  // Whether a request was routed yet.
  [[nodiscard]] bool HadTraffic() const { return mHadTraffic; }

  // Requests that have not ended.
  [[nodiscard]] std::size_t Live() const { return mTasks.size(); }
  [[nodiscard]] policy::RequestRouter& Router() { return mRouter; }

private:
  void Dispatch(const policy::DispatchOrder& aOrder) override;
  void Cancel(const RequestId& aId, policy::AttemptNumber aAttempt) override;
  void Refuse(const RequestId& aId, const policy::Refusal& aRefusal) override;
  void Fail(const RequestId& aId, policy::FailureReason aReason) override;
  void Announce(const policy::BackendNotice& aNotice) override;

  void Answer(CallerAnswer& aAnswer,
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
  bool mClosed = false;
  bool mHadTraffic = false;
  Timer mTickTimer;
};

} // namespace firefly

#pragma once

// Joins the tasks of the requests to the policies: carries the router's
// decisions to the task that they speak of, and gives the router its time.

#include <cstddef>
#include <memory>
#include <unordered_map>

#include "core/executor.h"
#include "policy/request_router.h"
#include "servers/entry/request_task.h"

namespace firefly {

class Dispatcher : private policy::RouterSink
{
public:
  struct Options
  {
    policy::RequestRouter::Options router;
    std::size_t maxRequests = 10000; // at once
    Duration tickInterval = std::chrono::milliseconds(20);
    Duration sweepInterval = std::chrono::milliseconds(250);
  };

  // The executor and the fleet must outlive the dispatcher.
  Dispatcher(const Options& aOptions,
             Executor& aExecutor,
             policy::PolicySet aPolicies,
             const policy::FleetView& aFleet);

  // Hands a request to the router; false, and no call, if there are too many.
  bool Start(const std::shared_ptr<RequestTask>& aTask,
             policy::RequestInfo aInfo);

  // The task is over and hears nothing more.
  void Forget(const RequestId& aId) { mTasks.erase(aId); }

  // Whether one more request may start.
  [[nodiscard]] bool HasRoom() const
  {
    return mTasks.size() < mOptions.maxRequests;
  }

  [[nodiscard]] std::size_t Running() const { return mTasks.size(); }
  [[nodiscard]] policy::RequestRouter& Router() { return mRouter; }

private:
  void Dispatch(const policy::DispatchOrder& aOrder) override;
  void Cancel(const RequestId& aId, policy::AttemptNumber aAttempt) override;
  void Refuse(const RequestId& aId, const policy::Refusal& aRefusal) override;
  void Fail(const RequestId& aId, policy::FailureReason aReason) override;

  [[nodiscard]] std::shared_ptr<RequestTask> Find(const RequestId& aId) const;
  // Finds the task that a decision speaks of.
  std::shared_ptr<RequestTask> FindDecided(const RequestId& aId);
  void Tick();
  void Sweep();

  Options mOptions;
  Executor& mExecutor;
  std::unordered_map<RequestId, std::shared_ptr<RequestTask>> mTasks;
  // The request that is being handed to the router, until it is decided on.
  RequestId mUndecidedArrival;
  policy::RequestRouter mRouter;
  Timer mTickTimer;
  Timer mSweepTimer;
};

} // namespace firefly

#pragma once

// Connects request tasks with the policies: forwards each decision of the
// router to the task it concerns, and calls RequestRouter::Tick() and
// RequestTask::Sweep() periodically.

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
    std::size_t maxRequests = 10000; // at the same time
    Duration tickInterval = std::chrono::milliseconds(20);
    Duration sweepInterval = std::chrono::milliseconds(250);
  };

  // The executor and the fleet must outlive the dispatcher.
  Dispatcher(const Options& aOptions,
             Executor& aExecutor,
             policy::PolicySet aPolicies,
             const policy::FleetView& aFleet);

  // Passes a request to the router. Returns false, without calling the router,
  // if maxRequests requests are active.
  bool Start(const std::shared_ptr<RequestTask>& aTask,
             policy::RequestInfo aInfo);

  // Removes a finished task, which then receives no more decisions.
  void Forget(const RequestId& aId) { mTasks.erase(aId); }

  // Whether another request may start.
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
  // Finds the task that a decision concerns, and marks a request that is just
  // arriving as decided.
  std::shared_ptr<RequestTask> FindDecided(const RequestId& aId);
  void Tick();
  void Sweep();

  Options mOptions;
  Executor& mExecutor;
  std::unordered_map<RequestId, std::shared_ptr<RequestTask>> mTasks;
  // The request being passed to the router; empty once the router has decided.
  RequestId mUndecidedArrival;
  policy::RequestRouter mRouter;
  Timer mTickTimer;
  Timer mSweepTimer;
};

} // namespace firefly

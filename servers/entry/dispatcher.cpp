#include "servers/entry/dispatcher.h"

#include <utility>
#include <vector>

namespace firefly {

Dispatcher::Dispatcher(const Options& aOptions,
                       Executor& aExecutor,
                       policy::PolicySet aPolicies,
                       const policy::FleetView& aFleet)
  : mOptions(aOptions)
  , mExecutor(aExecutor)
  , mRouter(aOptions.router, std::move(aPolicies), aFleet, *this)
{
  Tick();
  Sweep();
}

bool
Dispatcher::Start(const std::shared_ptr<RequestTask>& aTask,
                  policy::RequestInfo aInfo)
{
  if (!HasRoom()) {
    return false;
  }
  const auto id = aInfo.requestId;
  mTasks[id] = aTask;
  mUndecidedArrival = id;
  mRouter.OnArrival(std::move(aInfo), mExecutor.Now());
  if (mUndecidedArrival == id) {
    aTask->OnQueued();
  }
  mUndecidedArrival = {};
  return true;
}

std::shared_ptr<RequestTask>
Dispatcher::Find(const RequestId& aId) const
{
  const auto it = mTasks.find(aId);
  return it == mTasks.end() ? nullptr : it->second;
}

std::shared_ptr<RequestTask>
Dispatcher::FindDecided(const RequestId& aId)
{
  if (mUndecidedArrival == aId) {
    mUndecidedArrival = {};
  }
  return Find(aId);
}

void
Dispatcher::Dispatch(const policy::DispatchOrder& aOrder)
{
  if (const auto task = FindDecided(aOrder.requestId)) {
    task->Dispatch(aOrder);
  }
}

void
Dispatcher::Cancel(const RequestId& aId, policy::AttemptNumber aAttempt)
{
  if (const auto task = Find(aId)) {
    task->Cancel(aAttempt);
  }
}

void
Dispatcher::Refuse(const RequestId& aId, const policy::Refusal& aRefusal)
{
  if (const auto task = FindDecided(aId)) {
    task->Refuse(aRefusal);
  }
}

void
Dispatcher::Fail(const RequestId& aId, policy::FailureReason aReason)
{
  if (const auto task = FindDecided(aId)) {
    task->Fail(aReason);
  }
}

void
Dispatcher::Tick()
{
  mRouter.Tick(mExecutor.Now());
  mTickTimer = mExecutor.RunAfter(mOptions.tickInterval, [this] { Tick(); });
}

void
Dispatcher::Sweep()
{
  std::vector<std::shared_ptr<RequestTask>> tasks;
  tasks.reserve(mTasks.size());
  for (const auto& [id, task] : mTasks) {
    tasks.push_back(task);
  }
  for (const auto& it : tasks) {
    it->Sweep(mExecutor.Now());
  }
  mSweepTimer = mExecutor.RunAfter(mOptions.sweepInterval, [this] { Sweep(); });
}

} // namespace firefly

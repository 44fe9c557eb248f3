#include "servers/entry/lookup_task.h"

#include <utility>

#include "servers/entry/dispatcher.h"
#include "servers/entry/request_profile.h"

namespace firefly {

namespace {

constexpr int kTooManyRequests = 429;
constexpr int kFirstServerError = 500;

// Another backend server may do better.
bool
IsWorthRetrying(int aStatus)
{
  return aStatus == kTooManyRequests || aStatus >= kFirstServerError;
}

} // namespace

LookupTask::LookupTask(const TaskContext& aContext,
                       PlainCall aCall,
                       RequestId aId,
                       HttpResponderPtr aResponder)
  : mContext(aContext)
  , mCall(std::move(aCall))
  , mId(std::move(aId))
  , mResponder(std::move(aResponder))
  , mLife(aContext.life, mCall.head)
{
}

void
LookupTask::Start()
{
  const auto& limits = *mContext.dispatcher->Router().Policies().limits;
  auto info = ProfileOf(mCall, mId, limits, mLife.Arrival());
  mLateAfter = info.lateAfter;
  if (!mContext.dispatcher->Start(shared_from_this(), std::move(info))) {
    Refuse({ .reason = policy::RefusalReason::kQueueFull,
             .retryAfter = std::chrono::seconds(1) });
  }
}

void
LookupTask::OnQueued()
{
  mLife.Fire("admit");
  mLife.Fire("queue");
}

void
LookupTask::Dispatch(const policy::DispatchOrder& aOrder)
{
  mLife.OnDispatch(aOrder);
  const auto number = aOrder.attempt;
  const auto* backend = mContext.settings->FindBackend(aOrder.backend);
  const bool fresh = number.Value() > 1;
  mAttempts[number] = std::make_unique<PlainCallRunner>(
    *mContext.client,
    MakePlainCall(mCall, backend->url, mContext.settings->entry, fresh),
    mContext.outstanding->Begin(aOrder.backend),
    [weak = weak_from_this(), number](Result aResult) {
      if (const auto self = weak.lock()) {
        self->OnResult(number, std::move(aResult));
      }
    });
}

void
LookupTask::OnResult(Number aNumber, Result aResult)
{
  if (!aResult) {
    const auto error = ToAttemptError(aResult.error());
    mMayHaveRun = mMayHaveRun || error != policy::AttemptError::kNotSent;
    Retry(aNumber, error);
    return;
  }
  if (IsWorthRetrying(aResult->status)) {
    mMayHaveRun = true;
    Retry(aNumber, policy::AttemptError::kRejected);
    return;
  }
  mAttempts.erase(aNumber);
  auto& router = mContext.dispatcher->Router();
  router.OnFirstToken(mId, aNumber, mContext.executor->Now());
  router.OnFinish(mId, aNumber, mContext.executor->Now());
  mLife.OnFirstOutput(mLateAfter);
  mLife.Fire("answer");
  mResponder->Send(ToCallerResponse(std::move(*aResult), mCall.head.requestId));
  Finish(true, {});
}

void
LookupTask::Retry(Number aNumber, policy::AttemptError aError)
{
  mAttempts.erase(aNumber);
  mContext.dispatcher->Router().OnError(
    mId, aNumber, aError, mContext.executor->Now());
}

void
LookupTask::Cancel(Number aAttempt)
{
  mMayHaveRun = mMayHaveRun || mAttempts.erase(aAttempt) > 0;
}

Execution
LookupTask::ExecutionSoFar() const
{
  return mMayHaveRun ? Execution::kUnknown : Execution::kNotRun;
}

void
LookupTask::Refuse(const policy::Refusal& aRefusal)
{
  if (mLife.Is("dispatched")) {
    mLife.Fire("retry");
  }
  const std::string reason(policy::ToString(aRefusal.reason));
  mLife.Fire("refuse", {}, reason);
  mResponder->Send(
    ToResponse(ToProblem(aRefusal, ExecutionSoFar()), mCall.head.requestId));
  Finish(false, reason);
}

void
LookupTask::Fail(policy::FailureReason aReason)
{
  const std::string reason(policy::ToString(aReason));
  mLife.Fire(mLife.Is("queued") ? "refuse" : "fail", {}, reason);
  mResponder->Send(
    ToResponse(ToProblem(aReason, ExecutionSoFar()), mCall.head.requestId));
  Finish(false, reason);
}

void
LookupTask::Sweep(Instant /*aNow*/)
{
}

void
LookupTask::Finish(bool aAnswered, const std::string& aReason)
{
  mLife.End(aAnswered, aReason);
  mContext.dispatcher->Forget(mId);
}

} // namespace firefly

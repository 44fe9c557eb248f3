#include "servers/entry/idempotent_request_task.h"

#include <utility>

#include "servers/entry/dispatcher.h"
#include "servers/entry/request_profile.h"

namespace firefly {

namespace {

constexpr int kTooManyRequests = 429;
constexpr int kFirstServerError = 500;

// Whether another backend server may answer the request after this status.
bool
IsRetryable(int aStatus)
{
  return aStatus == kTooManyRequests || aStatus >= kFirstServerError;
}

} // namespace

IdempotentRequestTask::IdempotentRequestTask(const TaskContext& aContext,
                                             PlainCall aCall,
                                             RequestId aId,
                                             HttpResponderPtr aResponder)
  : mContext(aContext)
  , mCall(std::move(aCall))
  , mId(std::move(aId))
  , mResponder(std::move(aResponder))
  , mLifecycle(aContext.lifecycle, mCall.head)
{
}

void
IdempotentRequestTask::Start()
{
  const auto& limits = *mContext.dispatcher->Router().Policies().limits;
  auto info = MakeRequestInfo(mCall, mId, limits, mLifecycle.Arrival());
  mLateAfter = info.lateAfter;
  if (!mContext.dispatcher->Start(shared_from_this(), std::move(info))) {
    Refuse({ .reason = policy::RefusalReason::kQueueFull,
             .retryAfter = std::chrono::seconds(1) });
  }
}

void
IdempotentRequestTask::OnQueued()
{
  mLifecycle.Fire("admit");
  mLifecycle.Fire("queue");
}

void
IdempotentRequestTask::Dispatch(const policy::DispatchOrder& aOrder)
{
  mLifecycle.OnDispatch(aOrder);
  const auto number = aOrder.attempt;
  const auto* backend = mContext.settings->FindBackend(aOrder.backend);
  mAttempts[number] = std::make_unique<PlainCallRunner>(
    *mContext.client,
    MakePlainCall(mCall, backend->url, mContext.settings->entry),
    mContext.outstanding->Begin(aOrder.backend),
    [weak = weak_from_this(), number](Result aResult) {
      if (const auto self = weak.lock()) {
        self->OnResult(number, std::move(aResult));
      }
    });
}

void
IdempotentRequestTask::OnResult(Number aNumber, Result aResult)
{
  if (!aResult) {
    const auto error = ToAttemptError(aResult.error());
    mMayHaveRun = mMayHaveRun || error != policy::AttemptError::kNotSent;
    ReportAttemptError(aNumber, error);
    return;
  }
  if (IsRetryable(aResult->status)) {
    mMayHaveRun = true;
    ReportAttemptError(aNumber, policy::AttemptError::kRejected);
    return;
  }
  mAttempts.erase(aNumber);
  auto& router = mContext.dispatcher->Router();
  router.OnFirstToken(mId, aNumber, mContext.executor->Now());
  router.OnFinish(mId, aNumber, mContext.executor->Now());
  mLifecycle.OnFirstOutput(mLateAfter);
  mLifecycle.Fire("answer");
  mResponder->Send(ToCallerResponse(std::move(*aResult), mCall.head.requestId));
  Finish(true, {});
}

void
IdempotentRequestTask::ReportAttemptError(Number aNumber,
                                          policy::AttemptError aError)
{
  mAttempts.erase(aNumber);
  mContext.dispatcher->Router().OnError(
    mId, aNumber, aError, mContext.executor->Now());
}

void
IdempotentRequestTask::Cancel(Number aAttempt)
{
  mMayHaveRun = mMayHaveRun || mAttempts.erase(aAttempt) > 0;
}

Execution
IdempotentRequestTask::ExecutionSoFar() const
{
  return mMayHaveRun ? Execution::kUnknown : Execution::kNotRun;
}

void
IdempotentRequestTask::Refuse(const policy::Refusal& aRefusal)
{
  if (mLifecycle.Is("dispatched")) {
    mLifecycle.Fire("retry");
  }
  const std::string reason(policy::ToString(aRefusal.reason));
  mLifecycle.Fire("refuse", {}, reason);
  mResponder->Send(
    ToResponse(ToProblem(aRefusal, ExecutionSoFar()), mCall.head.requestId));
  Finish(false, reason);
}

void
IdempotentRequestTask::Fail(policy::FailureReason aReason)
{
  const std::string reason(policy::ToString(aReason));
  mLifecycle.Fire(mLifecycle.Is("queued") ? "refuse" : "fail", {}, reason);
  mResponder->Send(
    ToResponse(ToProblem(aReason, ExecutionSoFar()), mCall.head.requestId));
  Finish(false, reason);
}

void
IdempotentRequestTask::Sweep(Instant /*aNow*/)
{
}

void
IdempotentRequestTask::Finish(bool aAnswered, const std::string& aReason)
{
  mLifecycle.End(aAnswered, aReason);
  mContext.dispatcher->Forget(mId);
}

} // namespace firefly

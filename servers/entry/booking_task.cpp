#include "servers/entry/booking_task.h"

#include <utility>

#include "servers/entry/dispatcher.h"
#include "servers/entry/request_profile.h"

namespace firefly {

namespace {

using coord::PermitVerdict;
using policy::AttemptError;

// Interval between permit requests while another attempt holds the key.
constexpr Duration kOpenKeyPollInterval = std::chrono::milliseconds(100);
constexpr int kConflict = 409;
constexpr int kUnprocessable = 422;
constexpr int kFirstServerError = 500;
constexpr int kUnavailable = 503;

coord::RequestDigest
DigestOfCall(const PlainCall& aCall)
{
  return coord::DigestOf(aCall.head.type->name.Value() + '?' + aCall.query +
                         '\n' + aCall.body);
}

Problem
NoPermitProblem(const std::string& aDetail)
{
  return { .status = kUnavailable,
           .type = "no-permit",
           .title = "No permit could be had, so that nothing was run",
           .detail = aDetail,
           .retryAfter = std::chrono::seconds(1) };
}

Problem
OutcomeUnknownProblem()
{
  return { .status = kConflict,
           .type = "outcome-unknown",
           .title = "An earlier request with this key may have run",
           .execution = Execution::kUnknown };
}

Problem
KeyMismatchProblem()
{
  return { .status = kUnprocessable,
           .type = "key-mismatch",
           .title = "The key was used for another request" };
}

Problem
KeyExpiredProblem()
{
  return { .status = kUnprocessable,
           .type = "key-expired",
           .title = "The key is older than what is remembered of keys",
           .execution = Execution::kUnknown };
}

} // namespace

BookingKey
MakeLedgerKey(const ServiceId& aService,
              const CustomerId& aCustomer,
              const std::string& aKey)
{
  return BookingKey(aService.Value() + '/' + aCustomer.Value() + '/' + aKey);
}

BookingTask::BookingTask(const TaskContext& aContext,
                         const Ledger& aLedger,
                         PlainCall aCall,
                         RequestId aId,
                         HttpResponderPtr aResponder)
  : mContext(aContext)
  , mLedger(aLedger)
  , mCall(std::move(aCall))
  , mId(std::move(aId))
  , mResponder(std::move(aResponder))
  , mLifecycle(aContext.lifecycle, mCall.head)
  , mKey(MakeLedgerKey(mCall.head.service->id,
                       mCall.head.customer,
                       mCall.idempotencyKey))
{
}

void
BookingTask::Start()
{
  const auto timeout = mContext.settings->ledger.permitTimeout;
  mPermitDeadline = mContext.executor->Now() + timeout;
  RequestPermit();
}

void
BookingTask::RequestPermit()
{
  // The callback owns the task until the dispatcher does.
  mLedger.client->RequestPermit(
    { .key = mKey, .digest = DigestOfCall(mCall) },
    mPermitDeadline - mContext.executor->Now(),
    [self = shared_from_this()](const PermitResult& aResult) {
      self->OnPermit(aResult);
    });
}

void
BookingTask::OnPermit(const PermitResult& aResult)
{
  if (!aResult) {
    EndWithProblem(NoPermitProblem(aResult.error().message), "not_run");
    return;
  }
  switch (aResult->verdict) {
    case PermitVerdict::kGranted:
      mPermit = aResult->holder;
      StartDispatch();
      break;
    case PermitVerdict::kCompleted:
      ReplayOutcome(aResult->outcome.value_or(coord::BookingOutcome{}));
      break;
    case PermitVerdict::kOpen:
      OnKeyHeldByOtherAttempt();
      break;
    case PermitVerdict::kMismatch:
      EndWithProblem(KeyMismatchProblem(), "not_run");
      break;
    case PermitVerdict::kExpired:
      EndWithProblem(KeyExpiredProblem(), "unknown");
      break;
  }
}

// Requests the permit again until the deadline, since the other attempt's
// outcome may be recorded soon.
void
BookingTask::OnKeyHeldByOtherAttempt()
{
  if (mContext.executor->Now() + kOpenKeyPollInterval >= mPermitDeadline) {
    EndWithProblem(OutcomeUnknownProblem(), "unknown");
    return;
  }
  mPermitTimer = mContext.executor->RunAfter(
    kOpenKeyPollInterval,
    [self = shared_from_this()] { self->RequestPermit(); });
}

void
BookingTask::ReplayOutcome(const coord::BookingOutcome& aOutcome)
{
  mLifecycle.Fire("replay");
  if (aOutcome.truncated) {
    EndWithProblem(
      { .status = kConflict,
        .type = "answer-not-kept",
        .title = "The booking has run; its answer was too large to keep",
        .detail = "status " + std::to_string(aOutcome.status),
        .execution = Execution::kUnknown },
      "done");
    return;
  }
  mResponder->Send({ .status = static_cast<int>(aOutcome.status),
                     .headers = { { "X-Request-Id", mCall.head.requestId },
                                  { "Idempotent-Replayed", "true" } },
                     .body = aOutcome.answer });
  mLifecycle.OnFirstOutput(mCall.head.type->lateAfter);
  mLifecycle.End(true, {});
}

void
BookingTask::StartDispatch()
{
  const auto& limits = *mContext.dispatcher->Router().Policies().limits;
  auto info = MakeRequestInfo(mCall, mId, limits, mLifecycle.Arrival());
  mLateAfter = info.lateAfter;
  mHasStartedDispatch = true;
  if (!mContext.dispatcher->Start(shared_from_this(), std::move(info))) {
    Refuse({ .reason = policy::RefusalReason::kQueueFull,
             .retryAfter = std::chrono::seconds(1) });
  }
}

void
BookingTask::OnQueued()
{
  mLifecycle.Fire("admit");
  mLifecycle.Fire("queue");
}

void
BookingTask::Dispatch(const policy::DispatchOrder& aOrder)
{
  mLifecycle.OnDispatch(aOrder);
  const auto number = aOrder.attempt;
  const auto* backend = mContext.settings->FindBackend(aOrder.backend);
  mRunner = std::make_unique<PlainCallRunner>(
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
BookingTask::OnResult(Number aNumber, Result aResult)
{
  const auto runner = std::move(mRunner);
  const bool notSent =
    !aResult && aResult.error().kind == HttpErrorKind::kNotSent;
  const bool answered = aResult && aResult->status < kFirstServerError;
  if (answered) {
    Complete(aNumber, std::move(*aResult));
    return;
  }
  // A server error does not show whether the booking took effect.
  mMayHaveRun = mMayHaveRun || !notSent;
  const auto error = notSent ? AttemptError::kNotSent : AttemptError::kBroken;
  mContext.dispatcher->Router().OnError(
    mId, aNumber, error, mContext.executor->Now());
}

void
BookingTask::Complete(Number aNumber, HttpResult aResult)
{
  auto& router = mContext.dispatcher->Router();
  router.OnFirstToken(mId, aNumber, mContext.executor->Now());
  router.OnFinish(mId, aNumber, mContext.executor->Now());
  RecordOutcome(aResult);
  mLifecycle.OnFirstOutput(mLateAfter);
  mLifecycle.Fire("answer");
  mResponder->Send(ToCallerResponse(std::move(aResult), mCall.head.requestId));
  mLifecycle.EndBooking("done");
  mLifecycle.End(true, {});
  mContext.dispatcher->Forget(mId);
}

void
BookingTask::RecordOutcome(const HttpResult& aResult)
{
  const coord::BookingOutcome outcome{
    .status = static_cast<std::uint32_t>(aResult.status), .answer = aResult.body
  };
  auto* tracker = mLedger.tracker;
  tracker->OnRecordCallStarted();
  mLedger.client->RecordOutcome(mKey, mPermit, outcome, [tracker](const auto&) {
    tracker->OnRecordCallEnded();
  });
}

void
BookingTask::AbandonPermit()
{
  if (mPermit.Value().empty()) {
    return;
  }
  auto* tracker = mLedger.tracker;
  tracker->OnRecordCallStarted();
  mLedger.client->Abandon(
    mKey, mPermit, [tracker](const auto&) { tracker->OnRecordCallEnded(); });
  mPermit = {};
}

void
BookingTask::Cancel(Number /*aAttempt*/)
{
}

void
BookingTask::Sweep(Instant /*aNow*/)
{
}

Execution
BookingTask::ExecutionSoFar() const
{
  return mMayHaveRun ? Execution::kUnknown : Execution::kNotRun;
}

void
BookingTask::Refuse(const policy::Refusal& aRefusal)
{
  if (mLifecycle.Is("dispatched")) {
    mLifecycle.Fire("retry");
  }
  mLifecycle.Fire("refuse", {}, std::string(policy::ToString(aRefusal.reason)));
  EndWithProblem(ToProblem(aRefusal, ExecutionSoFar()),
                 mMayHaveRun ? "unknown" : "not_run");
}

void
BookingTask::Fail(policy::FailureReason aReason)
{
  const std::string reason(policy::ToString(aReason));
  const char* event = mMayHaveRun ? "lose" : "fail";
  mLifecycle.Fire(mLifecycle.Is("queued") ? "refuse" : event, {}, reason);
  EndWithProblem(ToProblem(aReason, ExecutionSoFar()),
                 mMayHaveRun ? "unknown" : "not_run");
}

// Ends the request with a problem instead of an answer by the service.
void
BookingTask::EndWithProblem(const Problem& aProblem,
                            const std::string& aOutcome)
{
  if (!mMayHaveRun) {
    AbandonPermit();
  }
  if (!mLifecycle.IsOver()) {
    mLifecycle.Fire("refuse", {}, aProblem.type);
  }
  if (mMayHaveRun) {
    mLedger.tracker->AddUnknownBooking(
      { .key = mKey,
        .service = mCall.head.service->id,
        .requestType = mCall.head.type->name,
        .since = mContext.executor->WallNow() });
  }
  mResponder->Send(ToResponse(aProblem, mCall.head.requestId));
  mLifecycle.EndBooking(aOutcome);
  mLifecycle.End(false, aProblem.type);
  if (mHasStartedDispatch) {
    mContext.dispatcher->Forget(mId);
  }
}

} // namespace firefly

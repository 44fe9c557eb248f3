#include "servers/entry/model_request_task.h"

#include <utility>

#include "servers/entry/dispatcher.h"
#include "servers/entry/engine_call.h"
#include "servers/entry/request_profile.h"

namespace firefly {

namespace {

using policy::AttemptError;

constexpr std::size_t kMaxWholeAnswerBytes = 8U << 20U;
constexpr std::size_t kMaxRefusalBytes = 4096;
constexpr int kOk = 200;
constexpr int kFirstClientError = 400;
constexpr int kTimeoutStatus = 408;
constexpr int kTooManyRequests = 429;
constexpr int kFirstServerError = 500;
constexpr int kUnavailable = 503;

bool
IsNotRun(int aStatus)
{
  return aStatus == kTooManyRequests || aStatus == kUnavailable;
}

// The engine says that the caller's request is wrong.
bool
IsCallersFault(int aStatus)
{
  return aStatus >= kFirstClientError && aStatus < kFirstServerError &&
         aStatus != kTimeoutStatus && aStatus != kTooManyRequests;
}

std::string
ReasonOf(PieceVerdict aVerdict)
{
  return aVerdict == PieceVerdict::kDropCrossed ? "crossed" : "duplicate";
}

} // namespace

ModelRequestTask::ModelRequestTask(const TaskContext& aContext,
                                   ModelCall aCall,
                                   RequestId aId,
                                   HttpResponderPtr aResponder)
  : mContext(aContext)
  , mCall(std::move(aCall))
  , mId(std::move(aId))
  , mResponder(std::move(aResponder))
  , mLife(aContext.life, mCall.head)
  , mHead{ .id = (mCall.chat ? "chatcmpl-" : "cmpl-") + mCall.head.requestId,
           .model = mCall.head.service->model.Value(),
           .chat = mCall.chat }
{
}

policy::RequestRouter&
ModelRequestTask::Router() const
{
  return mContext.dispatcher->Router();
}

void
ModelRequestTask::Start()
{
  auto info =
    ProfileOf(mCall, mId, *Router().Policies().limits, mLife.Arrival());
  mLateAfter = info.lateAfter;
  if (!mContext.dispatcher->Start(shared_from_this(), std::move(info))) {
    Refuse({ .reason = policy::RefusalReason::kQueueFull,
             .retryAfter = std::chrono::seconds(1) });
  }
}

void
ModelRequestTask::OnQueued()
{
  mLife.Fire("admit");
  mLife.Fire("queue");
}

void
ModelRequestTask::Dispatch(const policy::DispatchOrder& aOrder)
{
  const auto* backend = mContext.settings->FindBackend(aOrder.backend);
  const auto number = aOrder.attempt;
  mLife.OnDispatch(aOrder);
  const EngineExtension extension{ .requestId = mId.Value() + "-" +
                                                std::to_string(number.Value()),
                                   .priority = aOrder.urgency.Value(),
                                   .resumeFrom = aOrder.resumeFrom.Value() };
  auto& attempt =
    mAttempts
      .emplace(number,
               Attempt{ .backend = aOrder.backend,
                        .id = extension.requestId,
                        .token = mContext.outstanding->Begin(aOrder.backend),
                        .transfer = nullptr,
                        .reader = {},
                        .checker = AnswerChecker(extension.requestId,
                                                 extension.resumeFrom),
                        .refusalBody = {},
                        .lastPiece = mContext.executor->Now() })
      .first->second;
  const auto& entry = mContext.settings->entry;
  const bool fresh = number.Value() > 1;
  attempt.transfer = mContext.client->Stream(
    MakeEngineCall(mCall,
                   backend->url,
                   extension,
                   { .connectTimeout = entry.connectTimeout,
                     .requestTimeout = entry.requestTimeout },
                   fresh),
    HandlersFor(number));
}

HttpStreamHandlers
ModelRequestTask::HandlersFor(Number aNumber)
{
  const auto weak = weak_from_this();
  return { .onHead =
             [weak, aNumber](int aStatus, const HttpHeaders&) {
               const auto self = weak.lock();
               auto* attempt = self ? self->Find(aNumber) : nullptr;
               if (attempt != nullptr) {
                 attempt->status = aStatus;
               }
             },
           .onBody =
             [weak, aNumber](std::string_view aBytes) {
               if (const auto self = weak.lock()) {
                 self->OnBody(aNumber, aBytes);
               }
             },
           .onDone =
             [weak, aNumber](const tl::expected<void, HttpError>& aResult) {
               if (const auto self = weak.lock()) {
                 self->OnDone(aNumber, aResult);
               }
             } };
}

ModelRequestTask::Attempt*
ModelRequestTask::Find(Number aNumber)
{
  const auto it = mAttempts.find(aNumber);
  return it == mAttempts.end() ? nullptr : &it->second;
}

void
ModelRequestTask::OnBody(Number aNumber, std::string_view aBytes)
{
  auto* attempt = Find(aNumber);
  if (attempt == nullptr) {
    return;
  }
  attempt->lastPiece = mContext.executor->Now();
  if (attempt->status != kOk) {
    const auto room = kMaxRefusalBytes - attempt->refusalBody.size();
    attempt->refusalBody += aBytes.substr(0, room);
    return;
  }
  const auto events = attempt->reader.Feed(aBytes);
  const bool overflowed = attempt->reader.Overflowed();
  for (const auto& it : events) {
    if (Find(aNumber) != nullptr) {
      TakeEvent(aNumber, it);
    }
  }
  if (overflowed) {
    EndAttempt(aNumber, AttemptError::kBroken);
  }
  Flush();
  if (mResponder->Unsent() > mContext.settings->entry.streamBufferBytes) {
    Hold(aNumber);
  }
}

void
ModelRequestTask::TakeEvent(Number aNumber, const std::string& aData)
{
  const auto piece = ParsePiece(aData, mCall.chat);
  if (!piece) {
    mContext.metrics->droppedPieces.With({ "malformed" }).Add();
    EndAttempt(aNumber, AttemptError::kBroken);
    return;
  }
  const auto verdict = Find(aNumber)->checker.Check(*piece);
  switch (verdict) {
    case PieceVerdict::kTake:
      TakePiece(aNumber, *piece);
      break;
    case PieceVerdict::kBroken:
      mContext.metrics->droppedPieces.With({ "gap" }).Add();
      EndAttempt(aNumber, AttemptError::kBroken);
      break;
    default:
      mContext.metrics->droppedPieces.With({ ReasonOf(verdict) }).Add();
  }
}

bool
ModelRequestTask::AcceptFirst(Number aNumber)
{
  if (Find(aNumber)->accepted) {
    return true;
  }
  const auto now = mContext.executor->Now();
  if (!Router().OnFirstToken(mId, aNumber, now)) {
    Cancel(aNumber);
    return false;
  }
  Find(aNumber)->accepted = true;
  mLife.Fire("first_token", Find(aNumber)->backend.Value());
  if (mFirstTokenAt == Instant{}) {
    mFirstTokenAt = now;
    mLife.OnFirstOutput(mLateAfter);
  }
  return true;
}

void
ModelRequestTask::TakePiece(Number aNumber, const TokenPiece& aPiece)
{
  if (aPiece.kind == PieceKind::kOther || !AcceptFirst(aNumber)) {
    return;
  }
  if (mHead.created == 0) {
    mHead.created = aPiece.created;
  }
  switch (aPiece.kind) {
    case PieceKind::kToken:
      TakeToken(aNumber, aPiece);
      break;
    case PieceKind::kFinish:
      mFinishReason = aPiece.finishReason;
      mOut += mCall.stream ? ToCallerEvent(mHead, aPiece) : std::string();
      break;
    default:
      Complete(aNumber);
  }
}

void
ModelRequestTask::TakeToken(Number aNumber, const TokenPiece& aPiece)
{
  ++mDelivered;
  Router().OnTokens(mId, aNumber, policy::Tokens(1), mContext.executor->Now());
  if (mCall.stream) {
    mOut += ToCallerEvent(mHead, aPiece);
    return;
  }
  mText += aPiece.text;
  if (mText.size() > kMaxWholeAnswerBytes) {
    Router().OnCallerGone(mId, mContext.executor->Now());
    mLife.Fire("fail");
    Tell({ .status = kFirstServerError,
           .type = "answer-too-large",
           .title = "The answer is too large to be given whole",
           .execution = Execution::kUnknown });
    Finish(false, "answer-too-large");
  }
}

void
ModelRequestTask::OnDone(Number aNumber,
                         const tl::expected<void, HttpError>& aResult)
{
  auto* attempt = Find(aNumber);
  if (attempt == nullptr) {
    return;
  }
  if (!aResult) {
    EndAttempt(aNumber, ToAttemptError(aResult.error()));
  } else if (attempt->status != kOk) {
    OnRefusedByEngine(aNumber);
  } else {
    // The stream ended before its end mark.
    EndAttempt(aNumber, AttemptError::kBroken);
  }
}

void
ModelRequestTask::OnRefusedByEngine(Number aNumber)
{
  const auto* attempt = Find(aNumber);
  const auto status = attempt->status;
  if (!IsCallersFault(status) || mBegun || mDelivered > 0) {
    mMayHaveRun = mMayHaveRun || !IsNotRun(status);
    EndAttempt(aNumber, AttemptError::kRejected);
    return;
  }
  const auto body = attempt->refusalBody;
  mAttempts.erase(aNumber);
  Router().OnFinish(mId, aNumber, mContext.executor->Now());
  mLife.Fire("answer");
  mResponder->Send({ .status = status,
                     .headers = { { "X-Request-Id", mCall.head.requestId } },
                     .body = body });
  Finish(true, {});
}

void
ModelRequestTask::EndAttempt(Number aNumber, AttemptError aError)
{
  const auto it = mAttempts.find(aNumber);
  if (it == mAttempts.end()) {
    return;
  }
  const auto attempt = std::move(it->second);
  mAttempts.erase(it);
  Flush();
  CancelAtEngine(attempt);
  mMayHaveRun =
    mMayHaveRun || aError == AttemptError::kBroken || attempt.accepted;
  if (mLife.Is("streaming") && attempt.accepted) {
    mLife.Fire("stall", attempt.backend.Value());
  }
  Router().OnError(mId, aNumber, aError, mContext.executor->Now());
}

void
ModelRequestTask::Cancel(Number aAttempt)
{
  const auto it = mAttempts.find(aAttempt);
  if (it == mAttempts.end()) {
    return;
  }
  CancelAtEngine(it->second);
  if (mLife.Is("streaming") && it->second.accepted && !mEnded) {
    mLife.Fire("stall", it->second.backend.Value());
  }
  mMayHaveRun = true;
  mAttempts.erase(it);
}

void
ModelRequestTask::CancelAtEngine(const Attempt& aAttempt) const
{
  const auto* backend = mContext.settings->FindBackend(aAttempt.backend);
  mContext.client->Fetch(
    MakeCancelCall(
      backend->url, aAttempt.id, mContext.settings->entry.connectTimeout),
    [](const tl::expected<HttpResult, HttpError>&) {});
}

Execution
ModelRequestTask::ExecutionSoFar() const
{
  return mMayHaveRun ? Execution::kUnknown : Execution::kNotRun;
}

void
ModelRequestTask::Refuse(const policy::Refusal& aRefusal)
{
  if (mLife.Is("dispatched")) {
    mLife.Fire("retry");
  }
  const std::string reason(policy::ToString(aRefusal.reason));
  mLife.Fire("refuse", {}, reason);
  Tell(ToProblem(aRefusal, ExecutionSoFar()));
  Finish(false, reason);
}

void
ModelRequestTask::Fail(policy::FailureReason aReason)
{
  const std::string reason(policy::ToString(aReason));
  mLife.Fire(mLife.Is("queued") ? "refuse" : "fail", {}, reason);
  Tell(ToProblem(aReason, ExecutionSoFar()));
  Finish(false, reason);
}

void
ModelRequestTask::Tell(const Problem& aProblem)
{
  const auto& requestId = mCall.head.requestId;
  if (!mBegun) {
    mResponder->Send(ToResponse(aProblem, requestId));
    return;
  }
  // The error event, then a cut: no client takes the answer for whole.
  mResponder->Write(ErrorEvent(aProblem, requestId),
                    [responder = mResponder](bool) { responder->Abort(); });
}

void
ModelRequestTask::Complete(Number aNumber)
{
  mAttempts.erase(aNumber);
  const auto now = mContext.executor->Now();
  Router().OnFinish(mId, aNumber, now);
  mLife.Fire("answer");
  if (mDelivered > 1) {
    const auto gap = ToSeconds(now - mFirstTokenAt) / (mDelivered - 1);
    const auto& head = mCall.head;
    mContext.metrics->tokenGap
      .With({ head.service->id.Value(), head.type->name.Value() })
      .Observe(gap);
  }
  if (mCall.stream) {
    mOut += DoneEvent();
    Flush();
    mResponder->End();
  } else {
    SendWhole();
  }
  Finish(true, {});
}

void
ModelRequestTask::SendWhole()
{
  const AnswerUsage usage{ .promptTokens = EstimateTokens(mCall.prompt).Value(),
                           .outputTokens = mDelivered };
  mResponder->Send({ .headers = { { "X-Request-Id", mCall.head.requestId } },
                     .body = WholeBody(mHead, mText, mFinishReason, usage) });
}

void
ModelRequestTask::Flush()
{
  if (mOut.empty()) {
    return;
  }
  if (!std::exchange(mBegun, true)) {
    mResponder->Begin(200,
                      { { "Content-Type", "text/event-stream" },
                        { "Cache-Control", "no-cache" },
                        { "X-Request-Id", mCall.head.requestId } });
  }
  mResponder->Write(std::exchange(mOut, {}),
                    [weak = weak_from_this()](bool aTaken) {
                      if (const auto self = weak.lock()) {
                        self->OnWritten(aTaken);
                      }
                    });
}

void
ModelRequestTask::OnWritten(bool aTaken)
{
  if (!aTaken) {
    OnCallerGone();
    return;
  }
  const auto bound = mContext.settings->entry.streamBufferBytes;
  if (mHeld.Value() != 0 && mResponder->Unsent() <= bound / 2) {
    Release();
  }
}

void
ModelRequestTask::Hold(Number aNumber)
{
  auto* attempt = Find(aNumber);
  if (attempt == nullptr || mHeld.Value() != 0) {
    return;
  }
  mHeld = aNumber;
  attempt->transfer->Pause();
}

void
ModelRequestTask::Release()
{
  auto* attempt = Find(std::exchange(mHeld, {}));
  if (attempt == nullptr) {
    return;
  }
  attempt->lastPiece = mContext.executor->Now();
  attempt->transfer->Resume();
}

void
ModelRequestTask::Sweep(Instant aNow)
{
  if (mResponder->Lost()) {
    OnCallerGone();
    return;
  }
  if (mHeld.Value() != 0) {
    Router().OnHeld(mId, mHeld, aNow);
    return;
  }
  const auto bound = mContext.settings->entry.stallTimeout;
  for (const auto& [number, attempt] : mAttempts) {
    if (attempt.accepted && aNow - attempt.lastPiece > bound) {
      EndAttempt(number, AttemptError::kRejected);
      return;
    }
  }
}

void
ModelRequestTask::OnCallerGone()
{
  if (mEnded) {
    return;
  }
  mEnded = true;
  Router().OnCallerGone(mId, mContext.executor->Now());
  mLife.Fire("cancel");
  mLife.End(false, "caller-gone");
  mContext.dispatcher->Forget(mId);
}

void
ModelRequestTask::Finish(bool aAnswered, const std::string& aReason)
{
  mEnded = true;
  mLife.End(aAnswered, aReason);
  mContext.dispatcher->Forget(mId);
}

} // namespace firefly

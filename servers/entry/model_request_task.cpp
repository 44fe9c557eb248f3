#include "servers/entry/model_request_task.h"

#include <utility>

#include "servers/entry/dispatcher.h"
#include "servers/entry/engine_call.h"
#include "servers/entry/request_profile.h"

namespace firefly {

namespace {

using policy::AttemptError;

constexpr std::size_t kMaxBufferedAnswerBytes = 8U << 20U;
constexpr std::size_t kMaxErrorBodyBytes = 4096;
constexpr int kOk = 200;
constexpr int kFirstClientError = 400;
constexpr int kTimeoutStatus = 408;
constexpr int kTooManyRequests = 429;
constexpr int kFirstServerError = 500;
constexpr int kUnavailable = 503;

bool
IsNotRunStatus(int aStatus)
{
  return aStatus == kTooManyRequests || aStatus == kUnavailable;
}

// Whether the engine's status means that the caller's request is invalid.
bool
IsCallerError(int aStatus)
{
  return aStatus >= kFirstClientError && aStatus < kFirstServerError &&
         aStatus != kTimeoutStatus && aStatus != kTooManyRequests;
}

std::string
DropReason(ChunkVerdict aVerdict)
{
  return aVerdict == ChunkVerdict::kDropOtherStream ? "crossed" : "duplicate";
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
  , mLifecycle(aContext.lifecycle, mCall.head)
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
  auto info = MakeRequestInfo(
    mCall, mId, *Router().Policies().limits, mLifecycle.Arrival());
  mLateAfter = info.lateAfter;
  if (!mContext.dispatcher->Start(shared_from_this(), std::move(info))) {
    Refuse({ .reason = policy::RefusalReason::kQueueFull,
             .retryAfter = std::chrono::seconds(1) });
  }
}

void
ModelRequestTask::OnQueued()
{
  mLifecycle.Fire("admit");
  mLifecycle.Fire("queue");
}

void
ModelRequestTask::Dispatch(const policy::DispatchOrder& aOrder)
{
  const auto* backend = mContext.settings->FindBackend(aOrder.backend);
  const auto number = aOrder.attempt;
  mLifecycle.OnDispatch(aOrder);
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
                        .errorBody = {},
                        .lastReceived = mContext.executor->Now() })
      .first->second;
  const auto& entry = mContext.settings->entry;
  attempt.transfer = mContext.client->Stream(
    MakeEngineCall(mCall,
                   backend->url,
                   extension,
                   { .connectTimeout = entry.connectTimeout,
                     .requestTimeout = entry.requestTimeout }),
    MakeStreamHandlers(number));
}

HttpStreamHandlers
ModelRequestTask::MakeStreamHandlers(Number aNumber)
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
  attempt->lastReceived = mContext.executor->Now();
  if (attempt->status != kOk) {
    const auto room = kMaxErrorBodyBytes - attempt->errorBody.size();
    attempt->errorBody += aBytes.substr(0, room);
    return;
  }
  const auto events = attempt->reader.Feed(aBytes);
  const bool overflowed = attempt->reader.Overflowed();
  for (const auto& it : events) {
    if (Find(aNumber) != nullptr) {
      HandleEvent(aNumber, it);
    }
  }
  if (overflowed) {
    EndAttempt(aNumber, AttemptError::kBroken);
  }
  Flush();
  if (mResponder->UnsentBytes() > mContext.settings->entry.streamBufferBytes) {
    PauseTransfer(aNumber);
  }
}

void
ModelRequestTask::HandleEvent(Number aNumber, const std::string& aData)
{
  const auto chunk = ParseChunk(aData, mCall.chat);
  if (!chunk) {
    mContext.metrics->droppedChunks.With({ "malformed" }).Add();
    EndAttempt(aNumber, AttemptError::kBroken);
    return;
  }
  const auto verdict = Find(aNumber)->checker.Check(*chunk);
  switch (verdict) {
    case ChunkVerdict::kAccept:
      HandleChunk(aNumber, *chunk);
      break;
    case ChunkVerdict::kBroken:
      mContext.metrics->droppedChunks.With({ "gap" }).Add();
      EndAttempt(aNumber, AttemptError::kBroken);
      break;
    default:
      mContext.metrics->droppedChunks.With({ DropReason(verdict) }).Add();
  }
}

bool
ModelRequestTask::AcceptFirstOutput(Number aNumber)
{
  if (Find(aNumber)->isAccepted) {
    return true;
  }
  const auto now = mContext.executor->Now();
  if (!Router().OnFirstToken(mId, aNumber, now)) {
    Cancel(aNumber);
    return false;
  }
  Find(aNumber)->isAccepted = true;
  mLifecycle.Fire("first_token", Find(aNumber)->backend.Value());
  if (mFirstTokenAt == Instant{}) {
    mFirstTokenAt = now;
    mLifecycle.OnFirstOutput(mLateAfter);
  }
  return true;
}

void
ModelRequestTask::HandleChunk(Number aNumber, const StreamChunk& aChunk)
{
  if (aChunk.kind == ChunkKind::kOther || !AcceptFirstOutput(aNumber)) {
    return;
  }
  if (mHead.created == 0) {
    mHead.created = aChunk.created;
  }
  switch (aChunk.kind) {
    case ChunkKind::kToken:
      HandleToken(aNumber, aChunk);
      break;
    case ChunkKind::kFinish:
      mFinishReason = aChunk.finishReason;
      mPendingEvents +=
        mCall.stream ? ToCallerEvent(mHead, aChunk) : std::string();
      break;
    default:
      Complete(aNumber);
  }
}

void
ModelRequestTask::HandleToken(Number aNumber, const StreamChunk& aChunk)
{
  ++mDeliveredTokens;
  Router().OnTokens(mId, aNumber, policy::Tokens(1), mContext.executor->Now());
  if (mCall.stream) {
    mPendingEvents += ToCallerEvent(mHead, aChunk);
    return;
  }
  mAnswerText += aChunk.text;
  if (mAnswerText.size() > kMaxBufferedAnswerBytes) {
    Router().OnCallerGone(mId, mContext.executor->Now());
    mLifecycle.Fire("fail");
    SendProblem({ .status = kFirstServerError,
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
    OnEngineError(aNumber);
  } else {
    // The engine ended the stream without its end mark.
    EndAttempt(aNumber, AttemptError::kBroken);
  }
}

void
ModelRequestTask::OnEngineError(Number aNumber)
{
  const auto* attempt = Find(aNumber);
  const auto status = attempt->status;
  if (!IsCallerError(status) || mHasBegun || mDeliveredTokens > 0) {
    mMayHaveRun = mMayHaveRun || !IsNotRunStatus(status);
    EndAttempt(aNumber, AttemptError::kRejected);
    return;
  }
  const auto body = attempt->errorBody;
  mAttempts.erase(aNumber);
  Router().OnFinish(mId, aNumber, mContext.executor->Now());
  mLifecycle.Fire("answer");
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
    mMayHaveRun || aError == AttemptError::kBroken || attempt.isAccepted;
  if (mLifecycle.Is("streaming") && attempt.isAccepted) {
    mLifecycle.Fire("stall", attempt.backend.Value());
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
  if (mLifecycle.Is("streaming") && it->second.isAccepted && !mHasEnded) {
    mLifecycle.Fire("stall", it->second.backend.Value());
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
  if (mLifecycle.Is("dispatched")) {
    mLifecycle.Fire("retry");
  }
  const std::string reason(policy::ToString(aRefusal.reason));
  mLifecycle.Fire("refuse", {}, reason);
  SendProblem(ToProblem(aRefusal, ExecutionSoFar()));
  Finish(false, reason);
}

void
ModelRequestTask::Fail(policy::FailureReason aReason)
{
  const std::string reason(policy::ToString(aReason));
  mLifecycle.Fire(mLifecycle.Is("queued") ? "refuse" : "fail", {}, reason);
  SendProblem(ToProblem(aReason, ExecutionSoFar()));
  Finish(false, reason);
}

void
ModelRequestTask::SendProblem(const Problem& aProblem)
{
  const auto& requestId = mCall.head.requestId;
  if (!mHasBegun) {
    mResponder->Send(ToResponse(aProblem, requestId));
    return;
  }
  // Sends the error event and then closes the connection without ending the
  // response, so that no client mistakes the partial answer for a whole one.
  mResponder->Write(MakeErrorEvent(aProblem, requestId),
                    [responder = mResponder](bool) { responder->Abort(); });
}

void
ModelRequestTask::Complete(Number aNumber)
{
  mAttempts.erase(aNumber);
  const auto now = mContext.executor->Now();
  Router().OnFinish(mId, aNumber, now);
  mLifecycle.Fire("answer");
  if (mDeliveredTokens > 1) {
    const auto gap = ToSeconds(now - mFirstTokenAt) / (mDeliveredTokens - 1);
    const auto& head = mCall.head;
    mContext.metrics->tokenGap
      .With({ head.service->id.Value(), head.type->name.Value() })
      .Observe(gap);
  }
  if (mCall.stream) {
    mPendingEvents += MakeDoneEvent();
    Flush();
    mResponder->End();
  } else {
    SendWholeAnswer();
  }
  Finish(true, {});
}

void
ModelRequestTask::SendWholeAnswer()
{
  const AnswerUsage usage{ .promptTokens = EstimateTokens(mCall.prompt).Value(),
                           .outputTokens = mDeliveredTokens };
  mResponder->Send(
    { .headers = { { "X-Request-Id", mCall.head.requestId } },
      .body = MakeAnswerBody(mHead, mAnswerText, mFinishReason, usage) });
}

void
ModelRequestTask::Flush()
{
  if (mPendingEvents.empty()) {
    return;
  }
  if (!std::exchange(mHasBegun, true)) {
    mResponder->Begin(200,
                      { { "Content-Type", "text/event-stream" },
                        { "Cache-Control", "no-cache" },
                        { "X-Request-Id", mCall.head.requestId } });
  }
  mResponder->Write(std::exchange(mPendingEvents, {}),
                    [weak = weak_from_this()](bool aIsAccepted) {
                      if (const auto self = weak.lock()) {
                        self->OnWritten(aIsAccepted);
                      }
                    });
}

void
ModelRequestTask::OnWritten(bool aIsAccepted)
{
  if (!aIsAccepted) {
    OnCallerGone();
    return;
  }
  const auto maxUnsentBytes = mContext.settings->entry.streamBufferBytes;
  if (mPausedAttempt.Value() != 0 &&
      mResponder->UnsentBytes() <= maxUnsentBytes / 2) {
    ResumeTransfer();
  }
}

void
ModelRequestTask::PauseTransfer(Number aNumber)
{
  auto* attempt = Find(aNumber);
  if (attempt == nullptr || mPausedAttempt.Value() != 0) {
    return;
  }
  mPausedAttempt = aNumber;
  attempt->transfer->Pause();
}

void
ModelRequestTask::ResumeTransfer()
{
  auto* attempt = Find(std::exchange(mPausedAttempt, {}));
  if (attempt == nullptr) {
    return;
  }
  attempt->lastReceived = mContext.executor->Now();
  attempt->transfer->Resume();
}

void
ModelRequestTask::Sweep(Instant aNow)
{
  if (mResponder->IsLost()) {
    OnCallerGone();
    return;
  }
  if (mPausedAttempt.Value() != 0) {
    Router().OnReadPaused(mId, mPausedAttempt, aNow);
    return;
  }
  const auto stallTimeout = mContext.settings->entry.stallTimeout;
  for (const auto& [number, attempt] : mAttempts) {
    if (attempt.isAccepted && aNow - attempt.lastReceived > stallTimeout) {
      EndAttempt(number, AttemptError::kRejected);
      return;
    }
  }
}

void
ModelRequestTask::OnCallerGone()
{
  if (mHasEnded) {
    return;
  }
  mHasEnded = true;
  Router().OnCallerGone(mId, mContext.executor->Now());
  mLifecycle.Fire("cancel");
  mLifecycle.End(false, "caller-gone");
  mContext.dispatcher->Forget(mId);
}

void
ModelRequestTask::Finish(bool aAnswered, const std::string& aReason)
{
  mHasEnded = true;
  mLifecycle.End(aAnswered, aReason);
  mContext.dispatcher->Forget(mId);
}

} // namespace firefly

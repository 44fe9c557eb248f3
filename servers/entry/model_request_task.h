#pragma once

// Serves one caller's request for a model's answer: streams the answer from an
// engine to the caller, resumes it on another engine if the stream breaks, and
// pauses the transfer while the caller reads slowly.

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "servers/entry/answer_checker.h"
#include "servers/entry/request_task.h"
#include "servers/entry/sse_reader.h"
#include "servers/http/http_server.h"

namespace firefly {

class ModelRequestTask
  : public RequestTask
  , public std::enable_shared_from_this<ModelRequestTask>
{
public:
  ModelRequestTask(const TaskContext& aContext,
                   ModelCall aCall,
                   RequestId aId,
                   HttpResponderPtr aResponder);

  // Passes the request to the dispatcher.
  void Start();

  void Dispatch(const policy::DispatchOrder& aOrder) override;
  void Cancel(policy::AttemptNumber aAttempt) override;
  void Refuse(const policy::Refusal& aRefusal) override;
  void Fail(policy::FailureReason aReason) override;
  void OnQueued() override;
  void Sweep(Instant aNow) override;

private:
  struct Attempt
  {
    BackendId backend;
    std::string id; // request id at the engine
    OutstandingAttempts::Token token;
    HttpTransferPtr transfer;
    SseReader reader;
    AnswerChecker checker;
    int status = 0;
    std::string errorBody;   // of a response that is not a stream
    bool isAccepted = false; // the router took its first output
    Instant lastReceived{};
  };
  using Number = policy::AttemptNumber;

  [[nodiscard]] policy::RequestRouter& Router() const;
  Attempt* Find(Number aNumber);
  HttpStreamHandlers MakeStreamHandlers(Number aNumber);

  void OnBody(Number aNumber, std::string_view aBytes);
  void HandleEvent(Number aNumber, const std::string& aData);
  void HandleChunk(Number aNumber, const StreamChunk& aChunk);
  bool AcceptFirstOutput(Number aNumber);
  void HandleToken(Number aNumber, const StreamChunk& aChunk);
  void OnDone(Number aNumber, const tl::expected<void, HttpError>& aResult);
  void OnEngineError(Number aNumber);
  void EndAttempt(Number aNumber, policy::AttemptError aError);
  void CancelAtEngine(const Attempt& aAttempt) const;

  void Complete(Number aNumber);
  void SendWholeAnswer();
  void SendProblem(const Problem& aProblem);
  void Flush();
  void OnWritten(bool aIsAccepted);
  void PauseTransfer(Number aNumber);
  void ResumeTransfer();
  void OnCallerGone();
  void Finish(bool aAnswered, const std::string& aReason);
  [[nodiscard]] Execution ExecutionSoFar() const;

  TaskContext mContext;
  ModelCall mCall;
  RequestId mId;
  HttpResponderPtr mResponder;
  RequestLifecycle mLifecycle;
  AnswerHead mHead;
  Duration mLateAfter{};
  std::map<Number, Attempt> mAttempts;
  std::uint32_t mDeliveredTokens = 0;
  std::string mPendingEvents; // events not yet written to the caller
  std::string mAnswerText;    // of an answer that is not streamed
  std::string mFinishReason;
  Instant mFirstTokenAt{};
  Number mPausedAttempt;  // the attempt whose transfer is paused
  bool mHasBegun = false; // the response's head was sent
  bool mMayHaveRun = false;
  bool mHasEnded = false;
};

} // namespace firefly

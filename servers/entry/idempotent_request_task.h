#pragma once

// Serves one caller's idempotent request for a plain service. It may be retried
// on another backend server.

#include <map>
#include <memory>

#include "servers/entry/plain_call_runner.h"
#include "servers/entry/request_task.h"
#include "servers/http/http_server.h"

namespace firefly {

class IdempotentRequestTask
  : public RequestTask
  , public std::enable_shared_from_this<IdempotentRequestTask>
{
public:
  IdempotentRequestTask(const TaskContext& aContext,
                        PlainCall aCall,
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
  using Number = policy::AttemptNumber;
  using Result = tl::expected<HttpResult, HttpError>;

  void OnResult(Number aNumber, Result aResult);
  void ReportAttemptError(Number aNumber, policy::AttemptError aError);
  void Finish(bool aAnswered, const std::string& aReason);
  [[nodiscard]] Execution ExecutionSoFar() const;

  TaskContext mContext;
  PlainCall mCall;
  RequestId mId;
  HttpResponderPtr mResponder;
  RequestLifecycle mLifecycle;
  Duration mLateAfter{};
  std::map<Number, std::unique_ptr<PlainCallRunner>> mAttempts;
  bool mMayHaveRun = false;
};

} // namespace firefly

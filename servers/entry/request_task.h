#pragma once

// The interface between the dispatcher and the task that serves a request, and
// what all tasks share.

#include <cstdint>
#include <string>

#include "core/executor.h"
#include "policy/request_router.h"
#include "servers/entry/entry_metrics.h"
#include "servers/entry/outstanding_attempts.h"
#include "servers/entry/request_lifecycle.h"
#include "servers/http/http_client.h"
#include "servers/settings/settings.h"

namespace firefly {

// Serves one request. The first four functions receive the router's decisions.
// They are called from inside the router, so they must not call back into it.
class RequestTask
{
public:
  virtual ~RequestTask() = default;

  virtual void Dispatch(const policy::DispatchOrder& aOrder) = 0;
  virtual void Cancel(policy::AttemptNumber aAttempt) = 0;
  virtual void Refuse(const policy::Refusal& aRefusal) = 0;
  virtual void Fail(policy::FailureReason aReason) = 0;

  // The request waits in the queue.
  virtual void OnQueued() = 0;

  // Called several times a second to detect stalled streams.
  virtual void Sweep(Instant aNow) = 0;
};

class Dispatcher;

// What the tasks of one entry share. All of it must outlive the tasks.
struct TaskContext
{
  Executor* executor = nullptr;
  HttpClient* client = nullptr;
  Dispatcher* dispatcher = nullptr;
  EntryMetrics* metrics = nullptr;
  OutstandingAttempts* outstanding = nullptr;
  const Settings* settings = nullptr;
  RequestLifecycle::Options lifecycle;
};

// Builds the problem for a refusal by the router. The caller of the function
// passes aExecution, since only the task knows whether the request may have
// run.
Problem
ToProblem(const policy::Refusal& aRefusal, Execution aExecution);

// Builds the problem for a failed request.
Problem
ToProblem(policy::FailureReason aReason, Execution aExecution);

// Maps an HTTP error to the router's attempt error. Only a lost connection
// counts as a crash (kBroken). A timeout is reported as kRejected, as if the
// attempt had no effect on the backend server.
policy::AttemptError
ToAttemptError(const HttpError& aError);

} // namespace firefly

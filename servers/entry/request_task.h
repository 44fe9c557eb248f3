#pragma once

// A caller's request as the dispatcher sees it, and what all tasks share.

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

// One request on its way. The router's decisions come through the first four
// calls, from inside the router: they must not call back into it.
class RequestTask
{
public:
  virtual ~RequestTask() = default;

  virtual void Dispatch(const policy::DispatchOrder& aOrder) = 0;
  virtual void Cancel(policy::AttemptNumber aAttempt) = 0;
  virtual void Refuse(const policy::Refusal& aRefusal) = 0;
  virtual void Fail(policy::FailureReason aReason) = 0;

  // It waits in the queue.
  virtual void OnQueued() = 0;

  // Comes a few times a second, to look for stalled streams.
  virtual void Sweep(Instant aNow) = 0;
};

class Dispatcher;

// What the tasks of one entry share; all of it outlives them.
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

// The problem that tells a caller of the router's refusal. What may have run
// is known to the task alone.
Problem
ToProblem(const policy::Refusal& aRefusal, Execution aExecution);

// The problem that tells a caller of a failure.
Problem
ToProblem(policy::FailureReason aReason, Execution aExecution);

// How an attempt ended, in the router's terms. Only a closed connection counts
// as a crash; an attempt that timed out is given up as one that had no effect
// on its backend server.
policy::AttemptError
ToAttemptError(const HttpError& aError);

} // namespace firefly

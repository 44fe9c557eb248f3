#include "servers/entry/request_task.h"

namespace firefly {

namespace {

using policy::RefusalReason;

constexpr int kTooManyRequests = 429;
constexpr int kUnprocessable = 422;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;

int
StatusOf(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::kCustomerLimit:
    case RefusalReason::kTypeLimit:
      return kTooManyRequests;
    case RefusalReason::kQuarantined:
      return kUnprocessable;
    default:
      return kUnavailable;
  }
}

} // namespace

Problem
ToProblem(const policy::Refusal& aRefusal, Execution aExecution)
{
  const bool retryable = aRefusal.reason != RefusalReason::kQuarantined;
  return { .status = StatusOf(aRefusal.reason),
           .type = std::string(policy::ToString(aRefusal.reason)),
           .title = "The request was refused",
           .execution = aExecution,
           .retryAfter = retryable ? aRefusal.retryAfter : Duration::zero() };
}

Problem
ToProblem(policy::FailureReason aReason, Execution aExecution)
{
  const bool quarantined = aReason == policy::FailureReason::kQuarantined;
  return { .status = quarantined ? kUnprocessable : kBadGateway,
           .type = std::string(policy::ToString(aReason)),
           .title = "The request failed",
           .execution = aExecution };
}

policy::AttemptError
ToAttemptError(const HttpError& aError)
{
  switch (aError.kind) {
    case HttpErrorKind::kNotSent:
      return policy::AttemptError::kNotSent;
    case HttpErrorKind::kConnectionLost:
      return policy::AttemptError::kBroken;
    default:
      return policy::AttemptError::kRejected;
  }
}

} // namespace firefly

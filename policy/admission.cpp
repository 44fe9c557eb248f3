#include "policy/admission.h"

#include <algorithm>

namespace firefly::policy {

namespace {

// What one refused request raises the price by, and the part of requests that
// may be refused for lateness without raising it.
constexpr double kPriceStep = 0.05;
constexpr double kLatePart = 0.05;
// The price's bounds, as parts of the usual worth of an engine second.
constexpr double kLeastPrice = 0.1;
constexpr double kMostPrice = 4.0;
// The weight of a new request in the usual worth.
constexpr double kUsualWeight = 0.02;
// What a predicted wait is multiplied with to be sure of a deadline.
constexpr double kWaitMargin = 1.2;
constexpr Duration kShortestRetryAfter = std::chrono::seconds(1);

AdmissionDecision
Refuse(RefusalReason aReason, Duration aRetryAfter)
{
  return { .action = AdmissionAction::kRefuse,
           .reason = aReason,
           .retryAfter = std::max(aRetryAfter, kShortestRetryAfter) };
}

AdmissionDecision
AdmitOrQueue(const LoadSummary& aLoad)
{
  if (aLoad.hasRoom && aLoad.queued == 0) {
    return { .action = AdmissionAction::kAdmit };
  }
  if (aLoad.queued >= aLoad.queueBound) {
    return Refuse(RefusalReason::kQueueFull, aLoad.expectedWait);
  }
  return { .action = AdmissionAction::kQueue };
}

} // namespace

std::string_view
ToString(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::kNone:
      return "none";
    case RefusalReason::kCustomerLimit:
      return "customer-limit";
    case RefusalReason::kTypeLimit:
      return "type-limit";
    case RefusalReason::kDeadline:
      return "deadline";
    case RefusalReason::kOverload:
      return "overload";
    case RefusalReason::kQueueFull:
      return "queue-full";
    case RefusalReason::kNoBackend:
      return "no-backend";
    case RefusalReason::kQuarantined:
      return "quarantined";
    case RefusalReason::kRetryBudget:
      return "retry-budget";
  }
  return "unknown";
}

AdmissionDecision
WorthAdmission::Decide(const RequestInfo& aRequest,
                       const LoadSummary& aLoad,
                       Instant aNow)
{
  constexpr double kLeastSeconds = 1e-6;
  const double density = aRequest.worth.Value() * aRequest.weight /
                         std::max(kLeastSeconds, aLoad.engineSeconds);
  mUsual += (mUsual > 0 ? kUsualWeight : 1.0) * (density - mUsual);
  if (density < mPrice) {
    Lower();
    return Refuse(RefusalReason::kOverload, aLoad.expectedWait);
  }
  if (!CanBeInTime(aRequest, aLoad.expectedWait, aNow)) {
    Raise();
    return Refuse(RefusalReason::kDeadline, aLoad.expectedWait);
  }
  Lower();
  // A full queue sheds its least worthy request, so it is not refused here.
  if (aLoad.hasRoom && aLoad.queued == 0) {
    return { .action = AdmissionAction::kAdmit };
  }
  return { .action = AdmissionAction::kQueue };
}

bool
WorthAdmission::CanBeInTime(const RequestInfo& aRequest,
                            Duration aExpectedWait,
                            Instant aNow) const
{
  const double wait = ToSeconds(aExpectedWait) * kWaitMargin;
  return aNow + FromSeconds(wait) <= aRequest.FirstTokenDeadline();
}

void
WorthAdmission::OnShed(double /*aWorthPerSecond*/)
{
  Raise();
}

void
WorthAdmission::Raise()
{
  mPrice = std::max(mPrice, mUsual * kLeastPrice) * (1 + kPriceStep);
  mPrice = std::min(mPrice, mUsual * kMostPrice);
}

void
WorthAdmission::Lower()
{
  mPrice *= 1 - kPriceStep * kLatePart;
  if (mPrice < mUsual * kLeastPrice) {
    mPrice = 0;
  }
}

AdmissionDecision
PlainAdmission::Decide(const RequestInfo& /*aRequest*/,
                       const LoadSummary& aLoad,
                       Instant /*aNow*/)
{
  return AdmitOrQueue(aLoad);
}

bool
PlainAdmission::CanBeInTime(const RequestInfo& /*aRequest*/,
                            Duration /*aExpectedWait*/,
                            Instant /*aNow*/) const
{
  return true;
}

void
PlainAdmission::OnShed(double /*aWorthPerSecond*/)
{
}

} // namespace firefly::policy

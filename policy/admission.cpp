#include "policy/admission.h"

#include <algorithm>
#include <cmath>

namespace firefly::policy {

namespace {

// The bar of worth falls to a third in this time without shedding.
constexpr double kBarMemorySeconds = 0.5;
// The part of the gap between the bar and a shed request's worth that one
// shedding closes.
constexpr double kBarStep = 0.05;
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
  if (aNow + aLoad.expectedWait > aRequest.FirstTokenDeadline()) {
    return Refuse(RefusalReason::kDeadline, aLoad.expectedWait);
  }
  constexpr double kLeastSeconds = 1e-6;
  const double density = aRequest.worth.Value() * aRequest.weight /
                         std::max(kLeastSeconds, aLoad.engineSeconds);
  if (!aLoad.hasRoom && density < Bar(aNow)) {
    return Refuse(RefusalReason::kOverload, aLoad.expectedWait);
  }
  // A full queue sheds its least worthy request, so it is not refused here.
  if (aLoad.hasRoom && aLoad.queued == 0) {
    return { .action = AdmissionAction::kAdmit };
  }
  return { .action = AdmissionAction::kQueue };
}

void
WorthAdmission::OnShed(double aWorthPerSecond, Instant aNow)
{
  const double bar = Bar(aNow);
  mBar = bar + kBarStep * std::max(0.0, aWorthPerSecond - bar);
  mBarAt = aNow;
}

double
WorthAdmission::Bar(Instant aNow) const
{
  return mBar * std::exp(-ToSeconds(aNow - mBarAt) / kBarMemorySeconds);
}

AdmissionDecision
PlainAdmission::Decide(const RequestInfo& /*aRequest*/,
                       const LoadSummary& aLoad,
                       Instant /*aNow*/)
{
  return AdmitOrQueue(aLoad);
}

void
PlainAdmission::OnShed(double /*aWorthPerSecond*/, Instant /*aNow*/)
{
}

} // namespace firefly::policy

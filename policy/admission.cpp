#include "policy/admission.h"

#include <algorithm>

namespace firefly::policy {

namespace {

// The relative price increase for a late or shed request, and the fraction of
// requests that may be late without a lasting increase.
constexpr double kPriceStep = 0.05;
constexpr double kToleratedLateFraction = 0.05;
// Bounds of the price, as multiples of the average worth of an engine second. A
// price that falls below the lower bound becomes 0.
constexpr double kMinPriceFactor = 0.1;
constexpr double kMaxPriceFactor = 4.0;
// The weight of a new request in the average worth.
constexpr double kAverageWeight = 0.02;
// Safety factor on a predicted wait when it is compared with a deadline.
constexpr double kWaitSafetyFactor = 1.2;
constexpr Duration kMinRetryAfter = std::chrono::seconds(1);

AdmissionDecision
Refuse(RefusalReason aReason, Duration aRetryAfter)
{
  return { .action = AdmissionAction::kRefuse,
           .reason = aReason,
           .retryAfter = std::max(aRetryAfter, kMinRetryAfter) };
}

AdmissionDecision
AdmitOrQueue(const LoadSummary& aLoad)
{
  if (aLoad.hasCapacity && aLoad.queued == 0) {
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
    case RefusalReason::kRateLimit:
      return "rate-limit";
  }
  return "unknown";
}

AdmissionDecision
WorthAdmission::Decide(const RequestInfo& aRequest,
                       const LoadSummary& aLoad,
                       Instant aNow)
{
  constexpr double kMinEngineSeconds = 1e-6;
  const double worthPerEngineSecond =
    aRequest.worth.Value() * aRequest.weight /
    std::max(kMinEngineSeconds, aLoad.engineSeconds);
  mAverageWorth += (mAverageWorth > 0 ? kAverageWeight : 1.0) *
                   (worthPerEngineSecond - mAverageWorth);
  if (worthPerEngineSecond < mPrice) {
    LowerPrice();
    return Refuse(RefusalReason::kOverload, aLoad.expectedWait);
  }
  if (!CanMeetDeadline(aRequest, aLoad.expectedWait, aNow)) {
    RaisePrice();
    return Refuse(RefusalReason::kDeadline, aLoad.expectedWait);
  }
  LowerPrice();
  // Not refused if the queue is full: the queue then removes its request with
  // the lowest priority.
  if (aLoad.hasCapacity && aLoad.queued == 0) {
    return { .action = AdmissionAction::kAdmit };
  }
  return { .action = AdmissionAction::kQueue };
}

bool
WorthAdmission::CanMeetDeadline(const RequestInfo& aRequest,
                                Duration aExpectedWait,
                                Instant aNow) const
{
  const double wait = ToSeconds(aExpectedWait) * kWaitSafetyFactor;
  return aNow + FromSeconds(wait) <= aRequest.FirstTokenDeadline();
}

void
WorthAdmission::OnShed(double /*aWorthPerEngineSecond*/)
{
  RaisePrice();
}

void
WorthAdmission::RaisePrice()
{
  mPrice = std::max(mPrice, mAverageWorth * kMinPriceFactor) * (1 + kPriceStep);
  mPrice = std::min(mPrice, mAverageWorth * kMaxPriceFactor);
}

void
WorthAdmission::LowerPrice()
{
  mPrice *= 1 - kPriceStep * kToleratedLateFraction;
  if (mPrice < mAverageWorth * kMinPriceFactor) {
    mPrice = 0;
  }
}

AdmissionDecision
BaselineAdmission::Decide(const RequestInfo& /*aRequest*/,
                          const LoadSummary& aLoad,
                          Instant /*aNow*/)
{
  return AdmitOrQueue(aLoad);
}

bool
BaselineAdmission::CanMeetDeadline(const RequestInfo& /*aRequest*/,
                                   Duration /*aExpectedWait*/,
                                   Instant /*aNow*/) const
{
  return true;
}

void
BaselineAdmission::OnShed(double /*aWorthPerEngineSecond*/)
{
}

} // namespace firefly::policy

#include "servers/entry/request_lifecycle.h"

#include <memory>
#include <utility>

namespace firefly {

RequestLifecycle::RequestLifecycle(const Options& aOptions,
                                   const CallerHead& aHead)
  : mOptions(aOptions)
  , mService(aHead.service)
  , mType(aHead.type)
  , mMachine(*aOptions.chart)
  , mTrace(std::make_shared<RequestTrace>())
{
  mTrace->requestId = aHead.requestId;
  mTrace->service = mService->id.Value();
  mTrace->requestType = mType->name.Value();
  mTrace->arrival = mOptions.executor->Now();
  mOptions.traces->Add(mTrace);
  AddToStateGauge(1);
}

// Adds to the gauge of waiting or running requests, depending on the request's
// state.
void
RequestLifecycle::AddToStateGauge(double aAmount)
{
  if (IsOver()) {
    return;
  }
  auto& gauges =
    Is("queued") ? mOptions.metrics->queueLength : mOptions.metrics->running;
  gauges.With({ mTrace->service, mTrace->requestType }).Add(aAmount);
}

void
RequestLifecycle::Fire(const std::string& aEvent,
                       const std::string& aBackend,
                       const std::string& aDetail)
{
  AddToStateGauge(-1);
  if (!mMachine.Fire(aEvent)) {
    mOptions.metrics->wrongTransitions.With({ "request" }).Add();
  }
  AddToStateGauge(1);
  AddTraceStep(aEvent, aBackend, aDetail);
}

void
RequestLifecycle::OnDispatch(const policy::DispatchOrder& aOrder)
{
  const auto& backend = aOrder.backend.Value();
  if (aOrder.isHedge) {
    mOptions.metrics->hedges.With({ mTrace->service }).Add();
    AddTraceStep("hedge", backend);
    return;
  }
  if (Is("resuming")) {
    mOptions.metrics->resumes.With({ mTrace->service }).Add();
    AddTraceStep("resume", backend);
    return;
  }
  if (Is("received")) {
    Fire("admit");
  }
  if (Is("dispatched")) {
    mOptions.metrics->retries.With({ mTrace->service }).Add();
    Fire("retry");
  }
  Fire("dispatch", backend);
}

void
RequestLifecycle::AddTraceStep(const std::string& aStep,
                               const std::string& aBackend,
                               const std::string& aDetail)
{
  mTrace->Add({ .at = mOptions.executor->Now() - mTrace->arrival,
                .step = aStep,
                .backend = aBackend,
                .detail = aDetail });
}

void
RequestLifecycle::OnFirstOutput(Duration aLateAfter)
{
  const auto wait = mOptions.executor->Now() - mTrace->arrival;
  mIsLate = wait > aLateAfter;
  mOptions.metrics->firstToken.With({ mTrace->service, mTrace->requestType })
    .Observe(ToSeconds(wait));
}

std::string
RequestLifecycle::Outcome(bool aAnswered) const
{
  if (aAnswered) {
    return mIsLate ? "late" : "in_time";
  }
  return mMachine.Is("refused") ? "refused" : "failed";
}

void
RequestLifecycle::End(bool aAnswered, const std::string& aReason)
{
  auto& metrics = *mOptions.metrics;
  const auto& service = mTrace->service;
  const auto& type = mTrace->requestType;
  const auto outcome = Outcome(aAnswered);
  mTrace->outcome = outcome;
  metrics.requests.With({ service, type, outcome }).Add();
  metrics.worth.With({ service, type, outcome }).Add(mType->worth);
  metrics.requestSeconds.With({ service, type })
    .Observe(ToSeconds(mOptions.executor->Now() - mTrace->arrival));
  if (outcome == "late") {
    metrics.refunds.With({ service, type }).Add(mType->refund);
  }
  if (outcome == "refused") {
    metrics.refusals.With({ service, type, aReason }).Add();
  }
}

void
RequestLifecycle::EndBooking(const std::string& aOutcome)
{
  mOptions.metrics->bookings
    .With({ mTrace->service, mTrace->requestType, aOutcome })
    .Add();
}

} // namespace firefly

#include "policy/plain_service_estimator.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace firefly::policy {

PlainServiceEstimator::PlainServiceEstimator(Options aOptions)
  : mOptions(aOptions)
{
}

PlainServiceEstimator::Ticket
PlainServiceEstimator::OnDispatch(BackendSlot aSlot,
                                  const ServiceId& aService,
                                  Instant aNow)
{
  const Ticket ticket(++mLastTicket);
  At(aSlot).calls.push_back(
    { .ticket = ticket, .service = aService, .sentAt = aNow });
  return ticket;
}

void
PlainServiceEstimator::OnAnswer(BackendSlot aSlot, Ticket aTicket, Instant aNow)
{
  auto& backend = At(aSlot);
  const auto call = Take(backend, aTicket);
  if (call.service.Value().empty()) {
    return;
  }
  const double took = ToSeconds(aNow - call.sentAt);
  auto time = TimeOf(call.service);
  Fade(backend, aNow);
  if (!call.overdue) {
    AddOutcome(backend, false, aNow);
  }
  if (mServices.contains(call.service)) {
    backend.slowdown +=
      mOptions.backendWeight * (took / time.mean - backend.slowdown);
    time.deviation +=
      mOptions.serviceWeight * (std::abs(took - time.mean) - time.deviation);
    time.mean += mOptions.serviceWeight * (took - time.mean);
  } else {
    time.mean = took;
  }
  mServices[call.service] = time;
}

void
PlainServiceEstimator::OnFailure(BackendSlot aSlot,
                                 Ticket aTicket,
                                 Instant aNow)
{
  auto& backend = At(aSlot);
  if (!Take(backend, aTicket).overdue) {
    AddOutcome(backend, true, aNow);
  }
}

void
PlainServiceEstimator::OnRejection(BackendSlot aSlot,
                                   Ticket aTicket,
                                   Instant aNow)
{
  auto& backend = At(aSlot);
  const auto call = Take(backend, aTicket);
  backend.fullUntil = aNow + FromSeconds(TimeOf(call.service).mean);
}

void
PlainServiceEstimator::OnCancel(BackendSlot aSlot, Ticket aTicket)
{
  Take(At(aSlot), aTicket);
}

std::uint32_t
PlainServiceEstimator::Occupied(BackendSlot aSlot, Instant aNow)
{
  auto& backend = At(aSlot);
  std::uint32_t occupied = 0;
  std::uint32_t newlyOverdue = 0;
  for (auto& call : backend.calls) {
    if (!call.overdue && aNow - call.sentAt > OverdueAfter(call.service)) {
      call.overdue = true;
      newlyOverdue++;
    }
    occupied += call.overdue ? 0 : 1;
  }
  for (; newlyOverdue > 0; --newlyOverdue) {
    AddOutcome(backend, true, aNow);
  }
  return occupied;
}

bool
PlainServiceEstimator::IsFull(BackendSlot aSlot, Instant aNow) const
{
  const auto* backend = Find(aSlot);
  return backend != nullptr && aNow < backend->fullUntil;
}

Duration
PlainServiceEstimator::ExpectedTime(BackendSlot aSlot,
                                    const ServiceId& aService,
                                    Instant aNow) const
{
  const auto* backend = Find(aSlot);
  const double slowdown =
    backend == nullptr ? 1.0
                       : 1 + (backend->slowdown - 1) * Fading(*backend, aNow);
  return FromSeconds(TimeOf(aService).mean * slowdown);
}

Duration
PlainServiceEstimator::OverdueAfter(const ServiceId& aService) const
{
  const auto time = TimeOf(aService);
  return FromSeconds(time.mean + mOptions.overdueDeviations * time.deviation);
}

double
PlainServiceEstimator::FailureRate(BackendSlot aSlot, Instant aNow) const
{
  const auto* backend = Find(aSlot);
  return backend == nullptr ? 0 : backend->failureRate * Fading(*backend, aNow);
}

PlainServiceEstimator::BackendEstimate&
PlainServiceEstimator::At(BackendSlot aSlot)
{
  if (mBackends.size() <= aSlot.Value()) {
    mBackends.resize(aSlot.Value() + 1);
  }
  return mBackends[aSlot.Value()];
}

const PlainServiceEstimator::BackendEstimate*
PlainServiceEstimator::Find(BackendSlot aSlot) const
{
  return aSlot.Value() < mBackends.size() ? &mBackends[aSlot.Value()] : nullptr;
}

PlainServiceEstimator::ServiceTime
PlainServiceEstimator::TimeOf(const ServiceId& aService) const
{
  const auto it = mServices.find(aService);
  if (it != mServices.end()) {
    return it->second;
  }
  const double initial = ToSeconds(mOptions.initialTime);
  return { .mean = initial, .deviation = initial };
}

double
PlainServiceEstimator::Fading(const BackendEstimate& aBackend,
                              Instant aNow) const
{
  return std::exp(-ToSeconds(aNow - aBackend.updatedAt) /
                  ToSeconds(mOptions.memory));
}

void
PlainServiceEstimator::Fade(BackendEstimate& aBackend, Instant aNow) const
{
  const double fading = Fading(aBackend, aNow);
  aBackend.slowdown = 1 + (aBackend.slowdown - 1) * fading;
  aBackend.failureRate *= fading;
  aBackend.updatedAt = aNow;
}

void
PlainServiceEstimator::AddOutcome(BackendEstimate& aBackend,
                                  bool aFailed,
                                  Instant aNow) const
{
  Fade(aBackend, aNow);
  aBackend.failureRate +=
    mOptions.backendWeight * ((aFailed ? 1.0 : 0.0) - aBackend.failureRate);
}

PlainServiceEstimator::Call
PlainServiceEstimator::Take(BackendEstimate& aBackend, Ticket aTicket)
{
  const auto it = std::ranges::find(aBackend.calls, aTicket, &Call::ticket);
  if (it == aBackend.calls.end()) {
    return {};
  }
  auto call = std::move(*it);
  aBackend.calls.erase(it);
  return call;
}

} // namespace firefly::policy

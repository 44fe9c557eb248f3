#include "policy/handover_estimator.h"

#include <algorithm>
#include <cmath>

namespace firefly::policy {

HandoverEstimator::HandoverEstimator(Options aOptions)
  : mOptions(aOptions)
{
}

HandoverEstimator::Ticket
HandoverEstimator::OnStart(BackendSlot aSlot, Instant aNow)
{
  const Ticket ticket(++mLastTicket);
  At(aSlot).waiting.push_back({ .ticket = ticket, .startedAt = aNow });
  return ticket;
}

void
HandoverEstimator::OnFirstToken(BackendSlot aSlot, Ticket aTicket, Instant aNow)
{
  auto& engine = At(aSlot);
  const auto it = std::ranges::find(engine.waiting, aTicket, &Handover::ticket);
  if (it == engine.waiting.end()) {
    return;
  }
  const double seconds = ToSeconds(aNow - it->startedAt);
  engine.waiting.erase(it);
  const double before = Estimate(engine, aNow);
  engine.seconds = before + mOptions.engineWeight * (seconds - before);
  engine.updatedAt = aNow;
  mFleetSeconds += mOptions.fleetWeight * (seconds - mFleetSeconds);
}

void
HandoverEstimator::OnCancel(BackendSlot aSlot, Ticket aTicket)
{
  std::erase_if(At(aSlot).waiting,
                [&](const auto& aIt) { return aIt.ticket == aTicket; });
}

Duration
HandoverEstimator::ExpectedTime(BackendSlot aSlot, Instant aNow) const
{
  if (aSlot.Value() >= mEngines.size()) {
    return FromSeconds(mFleetSeconds);
  }
  const auto& engine = mEngines[aSlot.Value()];
  const auto expected = FromSeconds(Estimate(engine, aNow));
  return engine.waiting.empty()
           ? expected
           : std::max<Duration>(expected,
                                aNow - engine.waiting.front().startedAt);
}

HandoverEstimator::Engine&
HandoverEstimator::At(BackendSlot aSlot)
{
  if (mEngines.size() <= aSlot.Value()) {
    mEngines.resize(aSlot.Value() + 1);
  }
  return mEngines[aSlot.Value()];
}

double
HandoverEstimator::Estimate(const Engine& aEngine, Instant aNow) const
{
  const double fading =
    std::exp(-ToSeconds(aNow - aEngine.updatedAt) / ToSeconds(mOptions.memory));
  return mFleetSeconds + (aEngine.seconds - mFleetSeconds) * fading;
}

} // namespace firefly::policy

#include "policy/role_controller.h"

#include <algorithm>
#include <array>

namespace firefly::policy {

namespace {

// Weight of a newly observed downtime in the moving average.
constexpr double kDowntimeWeight = 0.3;
constexpr std::array kRoles{ EngineRole::kMixed,
                             EngineRole::kPrefill,
                             EngineRole::kDecode };

} // namespace

double&
CostRoleController::RoleCounts::Of(EngineRole aRole)
{
  switch (aRole) {
    case EngineRole::kPrefill:
      return prefill;
    case EngineRole::kDecode:
      return decode;
    case EngineRole::kMixed:
      break;
  }
  return mixed;
}

CostRoleController::CostRoleController(Options aOptions)
  : mOptions(aOptions)
  , mDowntimeSeconds(ToSeconds(aOptions.initialDowntime))
{
}

std::vector<RoleChange>
CostRoleController::Decide(const FleetView& aFleet,
                           const FleetDemand& aDemand,
                           Instant aNow)
{
  RoleCounts counts;
  for (const auto& backend : aFleet.All()) {
    if (backend.kind == BackendKind::kEngine &&
        backend.state == BackendState::kOpen) {
      counts.Of(backend.role)++;
    }
  }
  const FleetDemand demand{
    aDemand.promptTokensPerSecond * mOptions.headroom,
    aDemand.outputTokensPerSecond * mOptions.headroom,
  };
  const double before = ServedFraction(counts, demand);
  RoleChange best;
  double bestNet = 0;
  double bestPayback = 0;
  for (const auto from : kRoles) {
    for (const auto to : kRoles) {
      if (from == to || counts.Of(from) < 1) {
        continue;
      }
      auto during = counts;
      during.Of(from)--;
      auto after = during;
      after.Of(to)++;
      const double gain = ServedFraction(after, demand) - before;
      const double lost =
        std::max(0.0, before - ServedFraction(during, demand)) *
        mDowntimeSeconds;
      const double span = ToSeconds(mOptions.horizon) - mDowntimeSeconds;
      const double net = gain * span - lost * mOptions.minGainFactor;
      if (gain < mOptions.deadband || net <= bestNet) {
        continue;
      }
      const auto it = std::find_if(
        aFleet.All().begin(), aFleet.All().end(), [&](const auto& aBackend) {
          return aBackend.role == from && MayChange(aBackend, to, aFleet, aNow);
        });
      if (it == aFleet.All().end()) {
        continue;
      }
      best = { it->id, to };
      bestNet = net;
      bestPayback = mDowntimeSeconds + lost / gain;
    }
  }
  if (bestNet <= 0) {
    mPendingChange = {};
    return {};
  }
  if (mPendingChange.role != best.role ||
      mPendingChange.backend.Value().empty()) {
    mPendingSince = aNow;
  }
  mPendingChange = best;
  if (aNow - mPendingSince < mOptions.minGainDuration) {
    return {};
  }
  mLastPayback = std::max(mOptions.minPayback, FromSeconds(bestPayback));
  return { best };
}

void
CostRoleController::OnStarted(const RoleChange& aChange, Instant aNow)
{
  const auto until = aNow + mLastPayback;
  mLastChanges[aChange.backend] = { aNow, until };
  mRoleLockedUntil[aChange.role] = until;
  mInProgress[aChange.backend] = aNow;
}

void
CostRoleController::OnFinished(const BackendId& aBackend, Instant aNow)
{
  const auto it = mInProgress.find(aBackend);
  if (it == mInProgress.end()) {
    return;
  }
  const double downtime = ToSeconds(aNow - it->second);
  mDowntimeSeconds += kDowntimeWeight * (downtime - mDowntimeSeconds);
  mInProgress.erase(it);
}

double
CostRoleController::ServedFraction(const RoleCounts& aCounts,
                                   const FleetDemand& aDemand) const
{
  if (aDemand.promptTokensPerSecond <= 0 &&
      aDemand.outputTokensPerSecond <= 0) {
    return 1;
  }
  const auto& capacities = mOptions.capacities;
  const auto sum = [&](double BackendCapacity::*aRate) {
    return aCounts.mixed * capacities.mixed.*aRate +
           aCounts.prefill * capacities.prefill.*aRate +
           aCounts.decode * capacities.decode.*aRate;
  };
  const double prompt = std::max(1.0, aDemand.promptTokensPerSecond);
  const double output = std::max(1.0, aDemand.outputTokensPerSecond);
  return std::min({ 1.0,
                    sum(&BackendCapacity::prefillTokensPerSecond) / prompt,
                    sum(&BackendCapacity::decodeTokensPerSecond) / output });
}

bool
CostRoleController::MayChange(const Backend& aBackend,
                              EngineRole /*aTo*/,
                              const FleetView& aFleet,
                              Instant aNow) const
{
  if (aBackend.kind != BackendKind::kEngine ||
      aBackend.state != BackendState::kOpen) {
    return false;
  }
  const auto last = mLastChanges.find(aBackend.id);
  if (last != mLastChanges.end() && aNow < last->second.lockedUntil) {
    return false;
  }
  const auto keep = mRoleLockedUntil.find(aBackend.role);
  if (keep != mRoleLockedUntil.end() && aNow < keep->second) {
    return false;
  }
  return !IsDomainBusy(aBackend.domain, aFleet);
}

bool
CostRoleController::IsDomainBusy(const DomainId& aDomain,
                                 const FleetView& aFleet) const
{
  return std::any_of(
    mInProgress.begin(), mInProgress.end(), [&](const auto& aInProgress) {
      const auto* const backend = aFleet.Find(aInProgress.first);
      return backend && backend->domain == aDomain;
    });
}

std::vector<RoleChange>
StaticRoleController::Decide(const FleetView& /*aFleet*/,
                             const FleetDemand& /*aDemand*/,
                             Instant /*aNow*/)
{
  return {};
}

void
StaticRoleController::OnStarted(const RoleChange& /*aChange*/, Instant /*aNow*/)
{
}

void
StaticRoleController::OnFinished(const BackendId& /*aBackend*/,
                                 Instant /*aNow*/)
{
}

} // namespace firefly::policy

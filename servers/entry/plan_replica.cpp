#include "servers/entry/plan_replica.h"

#include <utility>

namespace firefly {

PlanReplica::PlanReplica(const coord::AuthorityStream::Options& aOptions,
                         Executor& aExecutor,
                         coord::LogClient& aLog,
                         FleetViewUpdater& aFleet,
                         std::function<void()> aOnPlan)
  : mFleet(aFleet)
  , mOnPlan(std::move(aOnPlan))
  , mStream(aOptions, aExecutor, aLog)
  , mChart(*aOptions.backendChart)
{
  mStream.Folding().AddObserver(*this);
}

PlanReplica::~PlanReplica()
{
  mStream.Folding().RemoveObserver(*this);
}

void
PlanReplica::OnApplied(const coord::RecordId&, coord::LogOffset, bool)
{
}

void
PlanReplica::OnCaughtUp()
{
  const auto version = Plan().PlanVersion();
  if (!mStream.Folding().Ready() || (mHasReadLog && version == mVersion)) {
    return;
  }
  mHasReadLog = true;
  mPeerPlan.reset();
  mVersion = version;
  mFleet.Apply(Plan());
  mOnPlan();
}

std::optional<std::string>
PlanReplica::Encode() const
{
  if (mHasReadLog) {
    return Plan().Save();
  }
  return mPeerPlan ? std::optional(mPeerPlan->Save()) : std::nullopt;
}

void
PlanReplica::ApplyPeerPlan(std::string_view aPlan)
{
  coord::AuthorityState plan(mChart);
  if (mHasReadLog || !plan.Load(aPlan)) {
    return;
  }
  if (mPeerPlan && plan.PlanVersion() <= mPeerPlan->PlanVersion()) {
    return;
  }
  mPeerPlan.emplace(std::move(plan));
  mFleet.Apply(*mPeerPlan);
}

} // namespace firefly

#include "servers/entry/plan_keeper.h"

#include <utility>

namespace firefly {

PlanKeeper::PlanKeeper(const coord::AuthorityStream::Options& aOptions,
                       Executor& aExecutor,
                       coord::LogClient& aLog,
                       FleetKeeper& aFleet,
                       std::function<void()> aOnPlan)
  : mFleet(aFleet)
  , mOnPlan(std::move(aOnPlan))
  , mStream(aOptions, aExecutor, aLog)
{
  mStream.Folding().AddObserver(*this);
}

PlanKeeper::~PlanKeeper()
{
  mStream.Folding().RemoveObserver(*this);
}

void
PlanKeeper::OnApplied(const coord::RecordId&, coord::LogOffset, bool)
{
}

void
PlanKeeper::OnCaughtUp()
{
  const auto version = Plan().PlanVersion();
  if (!mStream.Folding().Ready() || (mRead && version == mVersion)) {
    return;
  }
  mRead = true;
  mVersion = version;
  mFleet.Apply(Plan());
  mOnPlan();
}

} // namespace firefly

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
  , mChart(*aOptions.backendChart)
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
  mBorrowed.reset();
  mVersion = version;
  mFleet.Apply(Plan());
  mOnPlan();
}

std::optional<std::string>
PlanKeeper::Save() const
{
  if (mRead) {
    return Plan().Save();
  }
  return mBorrowed ? std::optional(mBorrowed->Save()) : std::nullopt;
}

void
PlanKeeper::Borrow(std::string_view aPlan)
{
  coord::AuthorityState plan(mChart);
  if (mRead || !plan.Load(aPlan)) {
    return;
  }
  if (mBorrowed && plan.PlanVersion() <= mBorrowed->PlanVersion()) {
    return;
  }
  mBorrowed.emplace(std::move(plan));
  mFleet.Apply(*mBorrowed);
}

} // namespace firefly

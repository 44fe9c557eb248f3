#pragma once

// Reads the authority's plan from the log into the fleet view. While the log
// can't be read, the last plan known stays in force.

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "coord/authority_stream.h"
#include "servers/entry/fleet_keeper.h"

namespace firefly {

class PlanKeeper : private coord::FoldObserver
{
public:
  // The fleet must outlive the keeper. The handler hears of each new plan.
  PlanKeeper(const coord::AuthorityStream::Options& aOptions,
             Executor& aExecutor,
             coord::LogClient& aLog,
             FleetKeeper& aFleet,
             std::function<void()> aOnPlan);
  ~PlanKeeper() override;
  PlanKeeper(const PlanKeeper&) = delete;
  PlanKeeper& operator=(const PlanKeeper&) = delete;

  // Begins to read; call it once.
  void Start() { mStream.Start(); }

  // The plan as last read; of use only once it was.
  [[nodiscard]] const coord::AuthorityState& Plan() const
  {
    return mStream.State();
  }

  // The version of the plan that is in force here.
  [[nodiscard]] coord::LogOffset Version() const { return mVersion; }

  // Whether the plan was read to its end once.
  [[nodiscard]] bool Read() const { return mRead; }

  // Whether a plan is in force, read or borrowed.
  [[nodiscard]] bool Known() const { return mRead || mBorrowed; }

  // The plan for a peer; nothing while none is known.
  [[nodiscard]] std::optional<std::string> Save() const;

  // Takes a peer's plan until this one is read; an older one than was borrowed
  // before, or one that can't be decoded, changes nothing. A borrowed plan is
  // acted on but not reported: a planned change goes on waiting.
  void Borrow(std::string_view aPlan);

private:
  void OnApplied(const coord::RecordId& aId,
                 coord::LogOffset aOffset,
                 bool aAccepted) override;
  void OnCaughtUp() override;

  FleetKeeper& mFleet;
  std::function<void()> mOnPlan;
  coord::AuthorityStream mStream;
  const StateChart& mChart;
  bool mRead = false;
  std::optional<coord::AuthorityState> mBorrowed;
  coord::LogOffset mVersion;
};

} // namespace firefly

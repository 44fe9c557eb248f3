#pragma once

// Reads the authority's plan from the log into the fleet view. While the log
// can't be read, the last plan known stays in force.

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "coord/authority_stream.h"
#include "servers/entry/fleet_view_updater.h"

namespace firefly {

class PlanReplica : private coord::FoldObserver
{
public:
  // The fleet must outlive the keeper. The handler hears of each new plan.
  PlanReplica(const coord::AuthorityStream::Options& aOptions,
              Executor& aExecutor,
              coord::LogClient& aLog,
              FleetViewUpdater& aFleet,
              std::function<void()> aOnPlan);
  ~PlanReplica() override;
  PlanReplica(const PlanReplica&) = delete;
  PlanReplica& operator=(const PlanReplica&) = delete;

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
  [[nodiscard]] bool HasReadLog() const { return mHasReadLog; }

  // Whether a plan is in force, read or borrowed.
  [[nodiscard]] bool IsKnown() const { return mHasReadLog || mPeerPlan; }

  // The plan for a peer; nothing while none is known.
  [[nodiscard]] std::optional<std::string> Encode() const;

  // Takes a peer's plan until this one is read; an older one than was borrowed
  // before, or one that can't be decoded, changes nothing. A borrowed plan is
  // acted on but not reported: a planned change goes on waiting.
  void ApplyPeerPlan(std::string_view aPlan);

private:
  void OnApplied(const coord::RecordId& aId,
                 coord::LogOffset aOffset,
                 bool aAccepted) override;
  void OnCaughtUp() override;

  FleetViewUpdater& mFleet;
  std::function<void()> mOnPlan;
  coord::AuthorityStream mStream;
  const StateChart& mChart;
  bool mHasReadLog = false;
  std::optional<coord::AuthorityState> mPeerPlan;
  coord::LogOffset mVersion;
};

} // namespace firefly

#pragma once

// Holds a copy of the authority's plan, read from the log, and applies it to
// the fleet view. While the log cannot be read, the last known plan stays in
// force.

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
  // The fleet must outlive the replica. aOnPlan is called after each new plan
  // from the log is applied.
  PlanReplica(const coord::AuthorityStream::Options& aOptions,
              Executor& aExecutor,
              coord::LogClient& aLog,
              FleetViewUpdater& aFleet,
              std::function<void()> aOnPlan);
  ~PlanReplica() override;
  PlanReplica(const PlanReplica&) = delete;
  PlanReplica& operator=(const PlanReplica&) = delete;

  // Starts reading the log. Call it once.
  void Start() { mStream.Start(); }

  // The plan as last read from the log; meaningful only if HasReadLog().
  [[nodiscard]] const coord::AuthorityState& Plan() const
  {
    return mStream.State();
  }

  // The version of the plan last applied from the log. A peer's plan does not
  // change it.
  [[nodiscard]] coord::LogOffset Version() const { return mVersion; }

  // Whether the log was read to its end at least once.
  [[nodiscard]] bool HasReadLog() const { return mHasReadLog; }

  // Whether a plan is in force, read from the log or fetched from a peer.
  [[nodiscard]] bool IsKnown() const { return mHasReadLog || mPeerPlan; }

  // Returns the encoded plan for a peer, or nothing while none is known.
  [[nodiscard]] std::optional<std::string> Encode() const;

  // Applies a peer's plan until the plan is read from the log. A plan that is
  // not newer than the one applied before, or that cannot be decoded, is
  // ignored. The version of a peer's plan is not reported to the steward, so a
  // planned change keeps waiting for this entry.
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

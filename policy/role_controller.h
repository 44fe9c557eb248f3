#pragma once

// Decides which engines change their role as the mix of prefill and decode work
// shifts.

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "policy/fleet_view.h"

namespace firefly::policy {

// Demand for engines, summed over the digests of all entries.
struct FleetDemand
{
  // Prompt tokens a second that engines must prefill.
  double promptTokensPerSecond = 0;
  // Output tokens a second.
  double outputTokensPerSecond = 0;
};

// A request to change an engine's role.
struct RoleChange
{
  BackendId backend;
  EngineRole role = EngineRole::kMixed;
};

class RoleController
{
public:
  virtual ~RoleController() = default;

  // Returns the changes to start now; to be called about once a second. Engines
  // that are not open count as out of service.
  virtual std::vector<RoleChange> Decide(const FleetView& aFleet,
                                         const FleetDemand& aDemand,
                                         Instant aNow) = 0;

  // A change that Decide() returned was started.
  virtual void OnStarted(const RoleChange& aChange, Instant aNow) = 0;

  // The engine is back in service. The controller learns the downtime of a
  // change from the time since OnStarted().
  virtual void OnFinished(const BackendId& aBackend, Instant aNow) = 0;

  // The payback time of the last change that Decide() returned.
  [[nodiscard]] virtual Duration Payback() const = 0;
};

// Changes a role if the additional work served over the horizon outweighs the
// work lost during the engine's downtime. Allows one change at a time in each
// failure domain, and no change back before the payback time of the first one.
class CostRoleController : public RoleController
{
public:
  struct Options
  {
    RoleCapacities capacities;
    // How long the current mix of demand is expected to last.
    Duration horizon = std::chrono::seconds(30);
    // Initial estimate of an engine's downtime during a change; observed
    // changes refine it.
    Duration initialDowntime = std::chrono::seconds(5);
    // The work gained by a change must exceed the work lost by this factor.
    double minGainFactor = 2.0;
    // Minimum gain of a change, as a fraction of the fleet's demand.
    double deadband = 0.12;
    // How long a change to the same role must have been worthwhile before it is
    // made.
    Duration minGainDuration = std::chrono::seconds(5);
    // Minimum payback time. During the payback time of a change, its engine
    // does not change again and no engine leaves the role that was changed to.
    Duration minPayback = std::chrono::seconds(20);
    // Factor that the demand is multiplied by, to keep capacity for bursts.
    double headroom = 1.0;
  };

  explicit CostRoleController(Options aOptions);

  std::vector<RoleChange> Decide(const FleetView& aFleet,
                                 const FleetDemand& aDemand,
                                 Instant aNow) override;
  void OnStarted(const RoleChange& aChange, Instant aNow) override;
  void OnFinished(const BackendId& aBackend, Instant aNow) override;
  [[nodiscard]] Duration Payback() const override { return mLastPayback; }

private:
  struct RoleCounts
  {
    double mixed = 0;
    double prefill = 0;
    double decode = 0;
    double& Of(EngineRole aRole);
  };
  struct LastChange
  {
    Instant startedAt{};
    Instant lockedUntil{};
  };

  // The fraction of the demand that engines of these roles can serve.
  [[nodiscard]] double ServedFraction(const RoleCounts& aCounts,
                                      const FleetDemand& aDemand) const;
  [[nodiscard]] bool MayChange(const Backend& aBackend,
                               EngineRole aTo,
                               const FleetView& aFleet,
                               Instant aNow) const;
  // Whether a change is in progress in the failure domain.
  [[nodiscard]] bool IsDomainBusy(const DomainId& aDomain,
                                  const FleetView& aFleet) const;

  Options mOptions;
  double mDowntimeSeconds;
  Duration mLastPayback{};
  // Until when no engine may leave a role.
  std::map<EngineRole, Instant> mRoleLockedUntil;
  // The last change of each engine, and until when it may not change again.
  std::unordered_map<BackendId, LastChange> mLastChanges;
  // Changes in progress and when they were started.
  std::unordered_map<BackendId, Instant> mInProgress;
  // The best change and since when it was to the same role; it is made once it
  // has been so for minGainDuration.
  RoleChange mPendingChange;
  Instant mPendingSince{};
};

// Never changes a role.
class StaticRoleController : public RoleController
{
public:
  std::vector<RoleChange> Decide(const FleetView& aFleet,
                                 const FleetDemand& aDemand,
                                 Instant aNow) override;
  void OnStarted(const RoleChange& aChange, Instant aNow) override;
  void OnFinished(const BackendId& aBackend, Instant aNow) override;
  [[nodiscard]] Duration Payback() const override { return {}; }
};

} // namespace firefly::policy

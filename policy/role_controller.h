#pragma once

// Which engines change their role as the mix of prompts and outputs shifts.

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "policy/fleet_view.h"

namespace firefly::policy {

// Demand for engines, summed over all entries' digests.
struct FleetDemand
{
  // Prompt tokens a second that must be prefilled.
  double promptTokensPerSecond = 0;
  // Output tokens a second.
  double outputTokensPerSecond = 0;
};

// An engine's role is to change.
struct RoleChange
{
  BackendId backend;
  EngineRole role = EngineRole::kMixed;
};

class RoleController
{
public:
  virtual ~RoleController() = default;

  // The changes to start now; call it every second or so. Engines that are
  // not open are taken to be away, and their domains to be busy.
  virtual std::vector<RoleChange> Decide(const FleetView& aFleet,
                                         const FleetDemand& aDemand,
                                         Instant aNow) = 0;

  // A change that Decide asked for was started.
  virtual void OnStarted(const RoleChange& aChange, Instant aNow) = 0;

  // The engine is back in service; the seconds away are learned from it.
  virtual void OnFinished(const BackendId& aBackend, Instant aNow) = 0;

  // The payback time of the last change asked for.
  [[nodiscard]] virtual Duration Payback() const = 0;
};

// Changes a role if the work served over the horizon outweighs the work lost
// while the engine is away; one at a time for each failure domain, and none
// back before a change has paid for itself.
class CostRoleController : public RoleController
{
public:
  struct Options
  {
    RoleCapacities capacities;
    // How long a mix is expected to last.
    Duration horizon = std::chrono::seconds(30);
    // Seconds away until some changes were seen.
    Duration away = std::chrono::seconds(5);
    // A change must gain so many times what it costs.
    double margin = 2.0;
    // The part of the fleet's work that is too little to act on.
    double deadband = 0.12;
    // A gain must have been there for so long.
    Duration hold = std::chrono::seconds(5);
    // No engine changes back, nor the fleet's direction, before this.
    Duration leastPayback = std::chrono::seconds(20);
    // What demand is multiplied with, to keep room for bursts.
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
  struct Started
  {
    Instant at{};
    Instant notBefore{};
  };

  [[nodiscard]] double Served(const RoleCounts& aCounts,
                              const FleetDemand& aDemand) const;
  [[nodiscard]] bool MayChange(const Backend& aBackend,
                               EngineRole aTo,
                               const FleetView& aFleet,
                               Instant aNow) const;
  [[nodiscard]] bool DomainBusy(const DomainId& aDomain,
                                const FleetView& aFleet) const;

  Options mOptions;
  double mAwaySeconds;
  Duration mLastPayback{};
  // Roles that may not lose engines before their time.
  std::map<EngineRole, Instant> mKeepUntil;
  std::unordered_map<BackendId, Started> mStarted;
  std::unordered_map<BackendId, Instant> mRunning;
  RoleChange mWanted;
  Instant mWantedSince{};
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

#pragma once

// Plans how many engines only prefill prompts and how many decode outputs, in
// fleets whose engines do one or the other. This serves workloads of long
// shared prompts with short outputs: a few engines can decode all outputs, and
// a prompt that is prefilled between output tokens would stall all streams of
// its engine.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "policy/fleet_view.h"
#include "policy/role_controller.h"
#include "policy/stage_load_tracker.h"

namespace firefly::policy {

class PrefillSharePlanner
{
public:
  struct Options
  {
    // Fraction of each group of engines with the same models that prefills
    // prompts; 0 disables the planner. Without a value, the fraction follows
    // the load of the stages.
    std::optional<double> prefillShare{};
    // Minimum number of engines for each stage in each group, regardless of the
    // share. One engine for each failure domain decodes
    // outputs, if there are enough.
    std::uint32_t minDecodeEngines = 2;
    std::uint32_t minPrefillEngines = 1;
    // Once there was traffic, a deviation from the share of up to this fraction
    // of a group, rounded up to whole engines, is tolerated, because a change
    // takes its engine out of service for seconds.
    double deadband = 0.1;
    // Without a given share, it changes if requests are predicted to wait at
    // least this many times as long with the present one.
    double minWaitingRatio = 2.0;
    // Time from such a change to the next one, in which the engines change and
    // the load from before fades.
    Duration minHold = std::chrono::seconds(12);
  };

  // Returns the present load of the stages for a model.
  using LoadsOf = std::function<StageLoads(const ModelId&)>;

  explicit PrefillSharePlanner(Options aOptions);

  // Returns the changes that bring each group to its share; none for a group
  // within the tolerated deviation. Engines of the mixed role and engines that
  // are not open are not considered.
  [[nodiscard]] std::vector<RoleChange> Plan(const FleetView& aFleet,
                                             bool aHadTraffic,
                                             const LoadsOf& aLoadsOf,
                                             Instant aNow);

private:
  // The number of engines that should prefill, with the minimum for each stage.
  [[nodiscard]] std::size_t WantedPrefillEngines(double aPrefillEngines,
                                                 std::size_t aEngines,
                                                 std::size_t aDomains) const;
  // The number of engines that should prefill under the load, if requests wait
  // much longer with the present number.
  [[nodiscard]] std::optional<std::size_t> BetterSplit(
    std::size_t aPrefillEngines,
    std::size_t aEngines,
    std::size_t aDomains,
    const StageLoads& aLoads) const;
  // The number of engines that should prefill at that share; the present one if
  // it is near and that is tolerated.
  [[nodiscard]] std::size_t PlannedPrefillEngines(std::size_t aPrefillEngines,
                                                  std::size_t aEngines,
                                                  std::size_t aDomains,
                                                  double aShare,
                                                  bool aIsTolerant) const;

  Options mOptions;
  // The share of a group, if it follows the load.
  struct Share
  {
    double value = 0;
    // When it may change again.
    Instant heldUntil{};
  };
  std::map<std::vector<ModelId>, Share> mShares;
};

} // namespace firefly::policy

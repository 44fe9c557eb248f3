#pragma once

// Plans how many engines only prefill prompts and how many decode outputs, in
// fleets whose engines do one or the other. This serves workloads of long
// shared prompts with short outputs: a few engines can decode all outputs, and
// a prompt that is prefilled between output tokens would stall all streams of
// its engine.

#include <vector>

#include "policy/fleet_view.h"
#include "policy/role_controller.h"

namespace firefly::policy {

class PrefillSharePlanner
{
public:
  struct Options
  {
    // Fraction of each group of engines with the same models that prefills
    // prompts; 0 disables the planner.
    double prefillShare = 0;
    // Minimum number of engines that decode outputs in each group, regardless
    // of the share.
    std::uint32_t minDecodeEngines = 2;
    // Once there was traffic, a deviation up to this fraction of a group,
    // rounded up to whole engines, is tolerated, because a change takes its
    // engine out of service for seconds.
    double deadband = 0.1;
  };

  explicit PrefillSharePlanner(Options aOptions);

  // Returns the changes that bring each group to its share; none for a group
  // within the tolerated deviation. Engines of the mixed role and engines that
  // are not open are not considered.
  [[nodiscard]] std::vector<RoleChange> Plan(const FleetView& aFleet,
                                             bool aHadTraffic) const;

private:
  Options mOptions;
};

} // namespace firefly::policy

#pragma once

// How many engines only read prompts and how many make outputs, on fleets
// whose engines do one or the other. Answers loads of long shared prompts with
// short outputs, where a few engines can make all outputs and a prompt that is
// read between their tokens stalls every stream.

#include <vector>

#include "policy/fleet_view.h"
#include "policy/role_controller.h"

namespace firefly::policy {

class StagePlanner
{
public:
  struct Options
  {
    // The part of a group of like engines that reads prompts; 0 leaves the
    // engines as they are.
    double promptShare = 0;
    // Engines that make outputs in each group, whatever the share.
    std::uint32_t leastOutputs = 2;
    // Once there was traffic, a shortfall up to this part of a group is borne:
    // a change takes its engine away for seconds.
    double deadband = 0.1;
  };

  explicit StagePlanner(Options aOptions);

  // The changes that bring each group to its share; none if it is near enough.
  // Engines that can do both, or that are not open, are left alone.
  [[nodiscard]] std::vector<RoleChange> Plan(const FleetView& aFleet,
                                             bool aHadTraffic) const;

private:
  Options mOptions;
};

} // namespace firefly::policy

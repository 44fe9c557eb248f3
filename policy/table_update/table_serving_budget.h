#pragma once

// Limits the bytes of routing tables that a host sends to others, so that each
// transfer ends soon and the answers to callers still fit on the host's link.
//
// The load it answers: all hosts of a failure domain ask the first one that has
// a large table for it at the same time. Served together, all transfers end
// when the last one does, and none of the hosts can serve others before.

#include <cstdint>

#include "core/clock.h"

namespace firefly::policy {

class TableServingBudget
{
public:
  struct Options
  {
    // Half of the smallest link, which has 10 Mbit/s.
    double bytesPerSecond = 625'000;
    // What a host that has sent nothing lately may send at once.
    double burstBytes = 250'000;
  };

  explicit TableServingBudget(Options aOptions);

  // Returns whether a table of that size may be sent now. A table that is
  // larger than the burst may be sent once the whole burst is available.
  bool TrySend(std::uint64_t aBytes, Instant aNow);

private:
  Options mOptions;
  double mAvailable;
  Instant mUpdatedAt{};
};

} // namespace firefly::policy

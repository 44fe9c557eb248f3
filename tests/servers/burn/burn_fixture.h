#pragma once

// Snapshots of one request type, made short.

#include <string>

#include "servers/burn/burn_sample.h"

namespace firefly {

// The only key that the tests of the arithmetic use.
inline BurnKey
TestKey()
{
  return { ServiceId("desk"), RequestType("book") };
}

// An entry that has counted these requests since its start.
inline EntrySample
Counted(const std::string& aUrl,
        const OutcomeAmounts& aRequests,
        double aStart = 1)
{
  EntrySample sample{
    .url = aUrl, .error = "", .startTime = aStart, .counters = {}
  };
  sample.counters[TestKey()].requests = aRequests;
  return sample;
}

// A snapshot so many minutes after the epoch.
inline BurnSnapshot
AtMinute(int aMinute, std::vector<EntrySample> aEntries)
{
  return { .time = WallTime(std::chrono::minutes(aMinute)),
           .entries = std::move(aEntries) };
}

} // namespace firefly

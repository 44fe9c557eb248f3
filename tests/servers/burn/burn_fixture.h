#pragma once

// Helpers that build snapshots of one request type.

#include <string>

#include "servers/burn/burn_sample.h"

namespace firefly {

// The service and request type of all samples that MakeSample() builds.
inline BurnKey
TestKey()
{
  return { ServiceId("desk"), RequestType("book") };
}

// A sample of an entry that has counted these requests since its start.
// aStart is in seconds since 1970.
inline EntrySample
MakeSample(const std::string& aUrl,
           const OutcomeAmounts& aRequests,
           double aStart = 1)
{
  EntrySample sample{
    .url = aUrl, .error = "", .startTime = aStart, .counters = {}
  };
  sample.counters[TestKey()].requests = aRequests;
  return sample;
}

// A snapshot taken this many minutes after the epoch.
inline BurnSnapshot
SnapshotAtMinute(int aMinute, std::vector<EntrySample> aEntries)
{
  return { .time = WallTime(std::chrono::minutes(aMinute)),
           .entries = std::move(aEntries) };
}

} // namespace firefly

#pragma once

// Turns the counters of many entries, sampled in snapshots, into amounts over
// time windows. If an entry restarts, its counters begin at zero again; what it
// counted between its last sample and the restart is lost.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "servers/burn/burn_sample.h"

namespace firefly {

// The reachability of an entry.
struct EntryState
{
  std::string error; // in the newest snapshot; empty if it answered
  std::optional<WallTime> lastSeen; // none if it never answered
};

class BurnHistory
{
public:
  // Adds a snapshot; one that is not newer than the last is ignored.
  void Add(const BurnSnapshot& aSnapshot);

  [[nodiscard]] bool Empty() const { return !mEnd.has_value(); }

  // Times of the first and the newest snapshot; the epoch if there is none.
  [[nodiscard]] WallTime Begin() const { return mBegin.value_or(WallTime{}); }
  [[nodiscard]] WallTime End() const { return mEnd.value_or(WallTime{}); }

  // The sum of what all entries counted between the two times. Amounts counted
  // between two snapshots are assumed to be evenly spread over that interval.
  [[nodiscard]] BurnCounters CountersBetween(const BurnKey& aKey,
                                             WallTime aFrom,
                                             WallTime aTo) const;

  // All services and request types seen in any snapshot.
  [[nodiscard]] std::vector<BurnKey> Keys() const;

  // All entries that were queried, by URL.
  [[nodiscard]] const std::map<std::string, EntryState>& Entries() const
  {
    return mEntries;
  }

private:
  // The amounts that one entry counted between two of its samples.
  struct Increment
  {
    WallTime from;
    WallTime to;
    BurnCounters amounts;
  };
  // The newest successful sample of an entry.
  struct LastSample
  {
    WallTime time;
    EntrySample sample;
  };

  void AddEntry(WallTime aTime, const EntrySample& aSample);
  void AddIncrements(const LastSample& aLast,
                     WallTime aTime,
                     const EntrySample& aSample);

  std::optional<WallTime> mBegin;
  std::optional<WallTime> mEnd;
  std::map<std::string, EntryState> mEntries;
  std::map<std::string, LastSample> mLastSamples;
  std::map<BurnKey, std::vector<Increment>> mIncrements;
};

} // namespace firefly

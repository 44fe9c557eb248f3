#pragma once

// What happened between snapshots: counters of many entries, which restart
// from zero, turned into amounts over windows of time.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "servers/burn/burn_sample.h"

namespace firefly {

// How an entry is known.
struct EntryState
{
  std::string error; // of the newest snapshot; empty if it answered
  std::optional<WallTime> lastSeen; // none if it never answered
};

class BurnHistory
{
public:
  // Adds a snapshot; one that is not newer than the last is ignored.
  void Add(const BurnSnapshot& aSnapshot);

  [[nodiscard]] bool Empty() const { return !mEnd.has_value(); }

  // Times of the first and the newest snapshot; the epoch when empty.
  [[nodiscard]] WallTime Begin() const { return mBegin.value_or(WallTime{}); }
  [[nodiscard]] WallTime End() const { return mEnd.value_or(WallTime{}); }

  // What all entries counted between the times. Amounts counted between two
  // snapshots are taken as even over the time between them.
  [[nodiscard]] BurnCounters Between(const BurnKey& aKey,
                                     WallTime aFrom,
                                     WallTime aTo) const;

  // All services and request types that were ever seen.
  [[nodiscard]] std::vector<BurnKey> Keys() const;

  // All entries that were ever asked, by URL.
  [[nodiscard]] const std::map<std::string, EntryState>& Entries() const
  {
    return mEntries;
  }

private:
  struct Step
  {
    WallTime from;
    WallTime to;
    BurnCounters amounts;
  };
  struct Last
  {
    WallTime time;
    EntrySample sample;
  };

  void AddEntry(WallTime aTime, const EntrySample& aSample);
  void AddSteps(const Last& aLast, WallTime aTime, const EntrySample& aSample);

  std::optional<WallTime> mBegin;
  std::optional<WallTime> mEnd;
  std::map<std::string, EntryState> mEntries;
  std::map<std::string, Last> mLast;
  std::map<BurnKey, std::vector<Step>> mSteps;
};

} // namespace firefly

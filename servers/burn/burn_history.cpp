#include "servers/burn/burn_history.h"

#include <algorithm>

namespace firefly {

namespace {

// Whether the process restarted between the samples, so that its counters began
// at zero again. Besides a new start time, a request counter that disappeared
// or decreased shows it.
bool
HasRestarted(const EntrySample& aBefore, const EntrySample& aAfter)
{
  if (aBefore.startTime != aAfter.startTime) {
    return true;
  }
  return std::ranges::any_of(aBefore.counters, [&](const auto& aPair) {
    const auto found = aAfter.counters.find(aPair.first);
    return found == aAfter.counters.end() ||
           found->second.requests.Total() < aPair.second.requests.Total();
  });
}

// The start time of the process that was sampled.
WallTime
StartTimeOf(const EntrySample& aSample)
{
  return WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(
    FromSeconds(aSample.startTime)));
}

// The fraction of the increment's time that lies between the two times.
double
OverlapFraction(WallTime aIncrementFrom,
                WallTime aIncrementTo,
                WallTime aFrom,
                WallTime aTo)
{
  const auto from = std::max(aIncrementFrom, aFrom);
  const auto to = std::min(aIncrementTo, aTo);
  if (from >= to) {
    return 0;
  }
  return static_cast<double>((to - from).count()) /
         static_cast<double>((aIncrementTo - aIncrementFrom).count());
}

} // namespace

void
BurnHistory::Add(const BurnSnapshot& aSnapshot)
{
  if (mEnd && aSnapshot.time <= *mEnd) {
    return;
  }
  mBegin = mBegin.value_or(aSnapshot.time);
  mEnd = aSnapshot.time;
  for (const auto& it : aSnapshot.entries) {
    AddEntry(aSnapshot.time, it);
  }
}

void
BurnHistory::AddEntry(WallTime aTime, const EntrySample& aSample)
{
  auto& state = mEntries[aSample.url];
  state.error = aSample.error;
  if (!aSample.error.empty()) {
    return;
  }
  state.lastSeen = aTime;
  const auto last = mLastSamples.find(aSample.url);
  if (last != mLastSamples.end()) {
    AddIncrements(last->second, aTime, aSample);
  } else if (StartTimeOf(aSample) > *mBegin && StartTimeOf(aSample) < aTime) {
    // The process started after the first snapshot, so everything that it
    // counted belongs to the time since its start.
    AddIncrements({ StartTimeOf(aSample), {} }, aTime, aSample);
  }
  for (const auto& [key, counters] : aSample.counters) {
    mIncrements.try_emplace(key);
  }
  mLastSamples[aSample.url] = { aTime, aSample };
}

void
BurnHistory::AddIncrements(const LastSample& aLast,
                           WallTime aTime,
                           const EntrySample& aSample)
{
  const bool restarted = HasRestarted(aLast.sample, aSample);
  for (const auto& [key, counters] : aSample.counters) {
    Increment increment{ .from = aLast.time, .to = aTime, .amounts = counters };
    const auto before = aLast.sample.counters.find(key);
    if (!restarted && before != aLast.sample.counters.end()) {
      AddScaled(increment.amounts, before->second, -1);
    }
    mIncrements[key].push_back(std::move(increment));
  }
}

BurnCounters
BurnHistory::CountersBetween(const BurnKey& aKey,
                             WallTime aFrom,
                             WallTime aTo) const
{
  BurnCounters sum;
  const auto found = mIncrements.find(aKey);
  if (found == mIncrements.end()) {
    return sum;
  }
  for (const auto& it : found->second) {
    const double fraction = OverlapFraction(it.from, it.to, aFrom, aTo);
    if (fraction > 0) {
      AddScaled(sum, it.amounts, fraction);
    }
  }
  return sum;
}

std::vector<BurnKey>
BurnHistory::Keys() const
{
  std::vector<BurnKey> keys;
  keys.reserve(mIncrements.size());
  for (const auto& [key, increments] : mIncrements) {
    keys.push_back(key);
  }
  return keys;
}

} // namespace firefly

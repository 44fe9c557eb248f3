#include "servers/burn/burn_history.h"

#include <algorithm>

namespace firefly {

namespace {

// Whether the process counts from zero again.
bool
Restarted(const EntrySample& aBefore, const EntrySample& aAfter)
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

// When the process started.
WallTime
StartOf(const EntrySample& aSample)
{
  return WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(
    FromSeconds(aSample.startTime)));
}

// The share of the step's time that lies between the two times.
double
Overlap(WallTime aStepFrom, WallTime aStepTo, WallTime aFrom, WallTime aTo)
{
  const auto from = std::max(aStepFrom, aFrom);
  const auto to = std::min(aStepTo, aTo);
  if (from >= to) {
    return 0;
  }
  return static_cast<double>((to - from).count()) /
         static_cast<double>((aStepTo - aStepFrom).count());
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
  const auto last = mLast.find(aSample.url);
  if (last != mLast.end()) {
    AddSteps(last->second, aTime, aSample);
  } else if (StartOf(aSample) > *mBegin && StartOf(aSample) < aTime) {
    // It started after the first snapshot: all it counted is known.
    AddSteps({ StartOf(aSample), {} }, aTime, aSample);
  }
  for (const auto& [key, counters] : aSample.counters) {
    mSteps.try_emplace(key);
  }
  mLast[aSample.url] = { aTime, aSample };
}

void
BurnHistory::AddSteps(const Last& aLast,
                      WallTime aTime,
                      const EntrySample& aSample)
{
  const bool restarted = Restarted(aLast.sample, aSample);
  for (const auto& [key, counters] : aSample.counters) {
    Step step{ .from = aLast.time, .to = aTime, .amounts = counters };
    const auto before = aLast.sample.counters.find(key);
    if (!restarted && before != aLast.sample.counters.end()) {
      AddScaled(step.amounts, before->second, -1);
    }
    mSteps[key].push_back(std::move(step));
  }
}

BurnCounters
BurnHistory::Between(const BurnKey& aKey, WallTime aFrom, WallTime aTo) const
{
  BurnCounters sum;
  const auto found = mSteps.find(aKey);
  if (found == mSteps.end()) {
    return sum;
  }
  for (const auto& it : found->second) {
    const double share = Overlap(it.from, it.to, aFrom, aTo);
    if (share > 0) {
      AddScaled(sum, it.amounts, share);
    }
  }
  return sum;
}

std::vector<BurnKey>
BurnHistory::Keys() const
{
  std::vector<BurnKey> keys;
  keys.reserve(mSteps.size());
  for (const auto& [key, steps] : mSteps) {
    keys.push_back(key);
  }
  return keys;
}

} // namespace firefly

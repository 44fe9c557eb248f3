#include "policy/prefix_cache_tracker.h"

#include <algorithm>

namespace firefly::policy {

PrefixCacheTracker::PrefixCacheTracker(Options aOptions)
  : mOptions(aOptions)
{
}

void
PrefixCacheTracker::RecordPrompt(std::uint64_t aPrefix,
                                 BackendSlot aSlot,
                                 Instant aReadyAt,
                                 Instant aNow)
{
  auto& holders = mPrefixes.GetOrInsert(aPrefix);
  const auto known =
    std::ranges::find(holders, aSlot, [](const auto& aIt) { return aIt.slot; });
  Holder holder{ .slot = aSlot, .readyAt = aReadyAt, .lastUsed = aNow };
  if (known != holders.end()) {
    if (aNow - known->lastUsed < mOptions.entryTtl) {
      // The engine still holds the prefix from the earlier prompt, so another
      // prompt does not delay its availability.
      holder.readyAt = std::min(known->readyAt, aReadyAt);
    }
    holders.erase(known);
  }
  holders.insert(holders.begin(), holder);
  if (holders.size() > mOptions.maxHoldersPerPrefix) {
    holders.pop_back();
  }
}

void
PrefixCacheTracker::Remove(std::uint64_t aPrefix, BackendSlot aSlot)
{
  if (auto* const holders = mPrefixes.Find(aPrefix)) {
    std::erase_if(*holders, [&](const auto& aIt) { return aIt.slot == aSlot; });
  }
}

bool
PrefixCacheTracker::Holds(std::uint64_t aPrefix,
                          BackendSlot aSlot,
                          Instant aNow) const
{
  const auto* const holders = mPrefixes.Find(aPrefix);
  return holders != nullptr &&
         std::ranges::any_of(*holders, [&](const auto& aIt) {
           return aIt.slot == aSlot && aNow - aIt.lastUsed < mOptions.entryTtl;
         });
}

std::vector<PrefixCacheTracker::Holder>
PrefixCacheTracker::HoldersOf(std::uint64_t aPrefix, Instant aNow) const
{
  std::vector<Holder> found;
  const auto* const holders = mPrefixes.Find(aPrefix);
  if (holders == nullptr) {
    return found;
  }
  std::ranges::copy_if(
    *holders, std::back_inserter(found), [&](const auto& aIt) {
      return aNow - aIt.lastUsed < mOptions.entryTtl;
    });
  return found;
}

} // namespace firefly::policy

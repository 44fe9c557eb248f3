#include "policy/prefix_holders.h"

#include <algorithm>

namespace firefly::policy {

PrefixHolders::PrefixHolders(Options aOptions)
  : mOptions(aOptions)
{
}

void
PrefixHolders::Note(std::uint64_t aPrefix,
                    BackendSlot aSlot,
                    Instant aReadyAt,
                    Instant aNow)
{
  const auto [it, isNew] = mPrefixes.try_emplace(aPrefix);
  auto& entry = it->second;
  if (isNew) {
    mOrder.push_front(aPrefix);
    entry.place = mOrder.begin();
  } else {
    mOrder.splice(mOrder.begin(), mOrder, entry.place);
  }
  auto& holders = entry.holders;
  const auto known =
    std::ranges::find(holders, aSlot, [](const auto& aIt) { return aIt.slot; });
  Holder holder{ .slot = aSlot, .readyAt = aReadyAt, .used = aNow };
  if (known != holders.end()) {
    if (aNow - known->used < mOptions.believeFor) {
      // What was there before stays there.
      holder.readyAt = std::min(known->readyAt, aReadyAt);
    }
    holders.erase(known);
  }
  holders.insert(holders.begin(), holder);
  if (holders.size() > mOptions.mostHolders) {
    holders.pop_back();
  }
  if (mPrefixes.size() > mOptions.mostPrefixes) {
    mPrefixes.erase(mOrder.back());
    mOrder.pop_back();
  }
}

void
PrefixHolders::Forget(std::uint64_t aPrefix, BackendSlot aSlot)
{
  const auto it = mPrefixes.find(aPrefix);
  if (it != mPrefixes.end()) {
    std::erase_if(it->second.holders,
                  [&](const auto& aIt) { return aIt.slot == aSlot; });
  }
}

bool
PrefixHolders::Holds(std::uint64_t aPrefix,
                     BackendSlot aSlot,
                     Instant aNow) const
{
  const auto it = mPrefixes.find(aPrefix);
  return it != mPrefixes.end() &&
         std::ranges::any_of(it->second.holders, [&](const auto& aIt) {
           return aIt.slot == aSlot && aNow - aIt.used < mOptions.believeFor;
         });
}

std::vector<PrefixHolders::Holder>
PrefixHolders::HoldersOf(std::uint64_t aPrefix, Instant aNow) const
{
  std::vector<Holder> found;
  const auto it = mPrefixes.find(aPrefix);
  if (it == mPrefixes.end()) {
    return found;
  }
  std::ranges::copy_if(
    it->second.holders, std::back_inserter(found), [&](const auto& aIt) {
      return aNow - aIt.used < mOptions.believeFor;
    });
  return found;
}

} // namespace firefly::policy

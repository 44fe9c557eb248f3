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
  auto& holders = mPrefixes.Use(aPrefix);
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
}

void
PrefixHolders::Forget(std::uint64_t aPrefix, BackendSlot aSlot)
{
  if (auto* const holders = mPrefixes.Find(aPrefix)) {
    std::erase_if(*holders, [&](const auto& aIt) { return aIt.slot == aSlot; });
  }
}

bool
PrefixHolders::Holds(std::uint64_t aPrefix,
                     BackendSlot aSlot,
                     Instant aNow) const
{
  const auto* const holders = mPrefixes.Find(aPrefix);
  return holders != nullptr &&
         std::ranges::any_of(*holders, [&](const auto& aIt) {
           return aIt.slot == aSlot && aNow - aIt.used < mOptions.believeFor;
         });
}

std::vector<PrefixHolders::Holder>
PrefixHolders::HoldersOf(std::uint64_t aPrefix, Instant aNow) const
{
  std::vector<Holder> found;
  const auto* const holders = mPrefixes.Find(aPrefix);
  if (holders == nullptr) {
    return found;
  }
  std::ranges::copy_if(
    *holders, std::back_inserter(found), [&](const auto& aIt) {
      return aNow - aIt.used < mOptions.believeFor;
    });
  return found;
}

} // namespace firefly::policy

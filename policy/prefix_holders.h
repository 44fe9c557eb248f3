#pragma once

// Which engines hold the memory of which prompt prefixes, as far as it is
// known from the prompts that were sent to them. Answers loads whose prompts
// share long parts: such a part is read once and then found or copied.

#include <cstdint>
#include <vector>

#include "core/clock.h"
#include "policy/fleet_view.h"
#include "policy/recent_map.h"

namespace firefly::policy {

class PrefixHolders
{
public:
  struct Options
  {
    // An engine is believed to hold a prefix for so long after its last use;
    // other prompts take the memory then.
    Duration believeFor = std::chrono::seconds(12);
    // Prefixes remembered, and engines remembered for each.
    std::size_t mostPrefixes = 8192;
    std::size_t mostHolders = 6;
  };

  // An engine and when its copy is complete.
  struct Holder
  {
    BackendSlot slot;
    Instant readyAt{};
    Instant used{};
  };

  PrefixHolders() = default;
  explicit PrefixHolders(Options aOptions);

  // A prompt with that prefix was sent to the engine, which will have read it
  // by then.
  void Note(std::uint64_t aPrefix,
            BackendSlot aSlot,
            Instant aReadyAt,
            Instant aNow);

  // The engine does not hold it after all.
  void Forget(std::uint64_t aPrefix, BackendSlot aSlot);

  // Whether a prompt that is sent to the engine now finds the prefix there.
  [[nodiscard]] bool Holds(std::uint64_t aPrefix,
                           BackendSlot aSlot,
                           Instant aNow) const;

  // Whether the prefix was ever noted.
  [[nodiscard]] bool Knows(std::uint64_t aPrefix) const
  {
    return mPrefixes.Find(aPrefix) != nullptr;
  }

  // The engines that are believed to hold it, the last used ones first.
  [[nodiscard]] std::vector<Holder> HoldersOf(std::uint64_t aPrefix,
                                              Instant aNow) const;

private:
  Options mOptions;
  // By prefix, the last used holders first.
  RecentMap<std::vector<Holder>> mPrefixes{ mOptions.mostPrefixes };
};

} // namespace firefly::policy

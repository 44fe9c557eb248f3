#pragma once

// Tracks which engines hold the KV cache of which prompt prefixes, inferred
// from the prompts that were sent to them. This serves workloads whose prompts
// share long prefixes: a shared prefix is prefilled once and then reused or
// copied.

#include <cstdint>
#include <vector>

#include "core/clock.h"
#include "policy/fleet_view.h"
#include "policy/lru_map.h"

namespace firefly::policy {

class PrefixCacheTracker
{
public:
  struct Options
  {
    // An engine is assumed to hold a prefix for this long after its last use;
    // by then, other prompts have taken the memory.
    Duration entryTtl = std::chrono::seconds(12);
    // Maximum number of prefixes, and of engines for each prefix.
    std::size_t maxPrefixes = 8192;
    std::size_t maxHoldersPerPrefix = 6;
  };

  // An engine, when it has prefilled the prefix, and when a prompt with the
  // prefix was last sent to it.
  struct Holder
  {
    BackendSlot slot;
    Instant readyAt{};
    Instant lastUsed{};
  };

  PrefixCacheTracker() = default;
  explicit PrefixCacheTracker(Options aOptions);

  // Records that a prompt with the prefix was sent to the engine, which will
  // have prefilled it by aReadyAt.
  void RecordPrompt(std::uint64_t aPrefix,
                    BackendSlot aSlot,
                    Instant aReadyAt,
                    Instant aNow);

  // Removes the engine from the holders of the prefix, as after a failed
  // prefill.
  void Remove(std::uint64_t aPrefix, BackendSlot aSlot);

  // Whether a prompt that is sent to the engine now will find the prefix in its
  // cache. This includes a prefix whose prefill is not finished yet.
  [[nodiscard]] bool Holds(std::uint64_t aPrefix,
                           BackendSlot aSlot,
                           Instant aNow) const;

  // Whether a prompt with the prefix was recorded for any engine and the prefix
  // has not been evicted since.
  [[nodiscard]] bool HasSeen(std::uint64_t aPrefix) const
  {
    return mPrefixes.Find(aPrefix) != nullptr;
  }

  // The engines that are assumed to hold the prefix, most recently used first.
  [[nodiscard]] std::vector<Holder> HoldersOf(std::uint64_t aPrefix,
                                              Instant aNow) const;

private:
  Options mOptions;
  // The holders of each prefix, most recently used first.
  LruMap<std::vector<Holder>> mPrefixes{ mOptions.maxPrefixes };
};

} // namespace firefly::policy

#include "policy/prefix_cache_tracker.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::Instant;
using firefly::policy::BackendSlot;
using firefly::policy::PrefixCacheTracker;

namespace {

constexpr BackendSlot kFirst(0);
constexpr BackendSlot kSecond(1);
constexpr std::uint64_t kPrefix = 7;

} // namespace

TEST_GROUP(PrefixCacheTrackerTest)
{
  PrefixCacheTracker tracker{
    { .entryTtl = 10s, .maxPrefixes = 3, .maxHoldersPerPrefix = 2 }
  };
};

TEST(PrefixCacheTrackerTest, HoldersAreOrderedByLastUse)
{
  CHECK_FALSE(tracker.HasSeen(kPrefix));
  tracker.RecordPrompt(kPrefix, kFirst, Instant(200ms), Instant{});
  tracker.RecordPrompt(kPrefix, kSecond, Instant(1200ms), Instant(1s));
  CHECK_TRUE(tracker.Holds(kPrefix, kFirst, Instant(1s)));
  const auto found = tracker.HoldersOf(kPrefix, Instant(1s));
  LONGS_EQUAL(2, found.size());
  CHECK(found[0].slot == kSecond);
  CHECK(found[1].readyAt == Instant(200ms));
}

// A second prompt does not delay when the engine's copy is ready.
TEST(PrefixCacheTrackerTest, ALaterPromptDoesNotDelayReadiness)
{
  tracker.RecordPrompt(kPrefix, kFirst, Instant(200ms), Instant{});
  tracker.RecordPrompt(kPrefix, kFirst, Instant(5s), Instant(4s));
  CHECK(tracker.HoldersOf(kPrefix, Instant(4s))[0].readyAt == Instant(200ms));
  CHECK_TRUE(tracker.Holds(kPrefix, kFirst, Instant(13s)));
}

TEST(PrefixCacheTrackerTest, AnUnusedPrefixExpires)
{
  tracker.RecordPrompt(kPrefix, kFirst, Instant{}, Instant{});
  CHECK_FALSE(tracker.Holds(kPrefix, kFirst, Instant(11s)));
  CHECK_TRUE(tracker.HoldersOf(kPrefix, Instant(11s)).empty());
  // After it expired, it is ready only when its new prefill has finished.
  tracker.RecordPrompt(kPrefix, kFirst, Instant(12s), Instant(11s));
  CHECK(tracker.HoldersOf(kPrefix, Instant(11s))[0].readyAt == Instant(12s));
}

TEST(PrefixCacheTrackerTest, ARemovedHolderIsNotReported)
{
  tracker.RecordPrompt(kPrefix, kFirst, Instant{}, Instant{});
  tracker.Remove(kPrefix, kFirst);
  CHECK_FALSE(tracker.Holds(kPrefix, kFirst, Instant{}));
}

TEST(PrefixCacheTrackerTest, NumberOfPrefixesIsBounded)
{
  for (std::uint64_t i = 0; i < 100; ++i) {
    tracker.RecordPrompt(i, kFirst, Instant{}, Instant{});
  }
  CHECK_FALSE(tracker.HasSeen(96));
  CHECK_TRUE(tracker.HasSeen(97));
}

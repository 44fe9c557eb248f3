#include "policy/prefix_holders.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::Instant;
using firefly::policy::BackendSlot;
using firefly::policy::PrefixHolders;

namespace {

constexpr BackendSlot kFirst(0);
constexpr BackendSlot kSecond(1);
constexpr std::uint64_t kPrefix = 7;

} // namespace

TEST_GROUP(PrefixHoldersTest)
{
  PrefixHolders holders{
    { .believeFor = 10s, .mostPrefixes = 3, .mostHolders = 2 }
  };
};

TEST(PrefixHoldersTest, TheLastUsedHolderComesFirst)
{
  CHECK_FALSE(holders.Knows(kPrefix));
  holders.Note(kPrefix, kFirst, Instant(200ms), Instant{});
  holders.Note(kPrefix, kSecond, Instant(1200ms), Instant(1s));
  CHECK_TRUE(holders.Holds(kPrefix, kFirst, Instant(1s)));
  const auto found = holders.HoldersOf(kPrefix, Instant(1s));
  LONGS_EQUAL(2, found.size());
  CHECK(found[0].slot == kSecond);
  CHECK(found[1].readyAt == Instant(200ms));
}

// A second prompt does not make the engine's copy any later.
TEST(PrefixHoldersTest, WhatIsThereStaysThere)
{
  holders.Note(kPrefix, kFirst, Instant(200ms), Instant{});
  holders.Note(kPrefix, kFirst, Instant(5s), Instant(4s));
  CHECK(holders.HoldersOf(kPrefix, Instant(4s))[0].readyAt == Instant(200ms));
  CHECK_TRUE(holders.Holds(kPrefix, kFirst, Instant(13s)));
}

TEST(PrefixHoldersTest, AnUnusedPrefixGivesWayToOtherPrompts)
{
  holders.Note(kPrefix, kFirst, Instant{}, Instant{});
  CHECK_FALSE(holders.Holds(kPrefix, kFirst, Instant(11s)));
  CHECK_TRUE(holders.HoldersOf(kPrefix, Instant(11s)).empty());
  // Read again, it is there only when it has been read.
  holders.Note(kPrefix, kFirst, Instant(12s), Instant(11s));
  CHECK(holders.HoldersOf(kPrefix, Instant(11s))[0].readyAt == Instant(12s));
}

TEST(PrefixHoldersTest, AFailedReadingLeavesNothing)
{
  holders.Note(kPrefix, kFirst, Instant{}, Instant{});
  holders.Forget(kPrefix, kFirst);
  CHECK_FALSE(holders.Holds(kPrefix, kFirst, Instant{}));
}

TEST(PrefixHoldersTest, MemoryIsBounded)
{
  for (std::uint64_t i = 0; i < 100; ++i) {
    holders.Note(i, kFirst, Instant{}, Instant{});
  }
  CHECK_FALSE(holders.Knows(96));
  CHECK_TRUE(holders.Knows(97));
}

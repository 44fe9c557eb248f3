#include "servers/burn/burn_history.h"

#include "tests/servers/burn/burn_fixture.h"

#include <CppUTest/TestHarness.h>

using firefly::BurnHistory;
using firefly::EntrySample;
using firefly::MakeSample;
using firefly::OutcomeAmounts;
using firefly::SnapshotAtMinute;
using firefly::TestKey;
using firefly::WallTime;

TEST_GROUP(BurnHistoryTest)
{
  BurnHistory history;

  OutcomeAmounts RequestsBetween(int aFrom, int aTo)
  {
    return history
      .CountersBetween(TestKey(),
                       WallTime(std::chrono::minutes(aFrom)),
                       WallTime(std::chrono::minutes(aTo)))
      .requests;
  }
};

TEST(BurnHistoryTest, SumsCountersOfAllEntriesSinceTheFirstSnapshot)
{
  history.Add(
    SnapshotAtMinute(0,
                     { MakeSample("a", { .inTime = 100 }),
                       MakeSample("b", { .inTime = 10, .late = 5 }) }));
  history.Add(
    SnapshotAtMinute(10,
                     { MakeSample("a", { .inTime = 160, .failed = 4 }),
                       MakeSample("b", { .inTime = 30, .late = 6 }) }));
  CHECK_TRUE(RequestsBetween(0, 10) ==
             (OutcomeAmounts{ .inTime = 80, .late = 1, .failed = 4 }));
}

TEST(BurnHistoryTest, SpreadsCountsEvenlyBetweenSnapshots)
{
  history.Add(SnapshotAtMinute(0, { MakeSample("a", {}) }));
  history.Add(SnapshotAtMinute(10, { MakeSample("a", { .late = 100 }) }));
  history.Add(SnapshotAtMinute(20, { MakeSample("a", { .late = 120 }) }));
  DOUBLES_EQUAL(50, RequestsBetween(5, 10).late, 1e-9);
  DOUBLES_EQUAL(60, RequestsBetween(5, 15).late, 1e-9);
  DOUBLES_EQUAL(0, RequestsBetween(20, 30).late, 1e-9);
}

TEST(BurnHistoryTest, RestartedEntryCountsFromZero)
{
  history.Add(SnapshotAtMinute(0, { MakeSample("a", { .inTime = 100 }) }));
  history.Add(SnapshotAtMinute(1, { MakeSample("a", { .inTime = 40 }) }));
  DOUBLES_EQUAL(40, RequestsBetween(0, 1).inTime, 1e-9);
  // A restarted entry may have counted more than before; the start time shows
  // the restart.
  history.Add(SnapshotAtMinute(2, { MakeSample("a", { .inTime = 70 }, 2) }));
  DOUBLES_EQUAL(70, RequestsBetween(1, 2).inTime, 1e-9);
}

TEST(BurnHistoryTest, UnreachableEntryIsListedAndCountedOnceItAnswers)
{
  const EntrySample unreachable{ .url = "a",
                                 .error = "refused",
                                 .counters = {} };
  history.Add(SnapshotAtMinute(0, { MakeSample("a", { .inTime = 10 }) }));
  history.Add(SnapshotAtMinute(1, { unreachable }));
  STRCMP_EQUAL("refused", history.Entries().at("a").error.c_str());
  CHECK_TRUE(history.Entries().at("a").lastSeen == WallTime{});
  DOUBLES_EQUAL(0, RequestsBetween(0, 1).inTime, 1e-9);
  history.Add(SnapshotAtMinute(2, { MakeSample("a", { .inTime = 30 }) }));
  DOUBLES_EQUAL(20, RequestsBetween(0, 2).inTime, 1e-9);
  STRCMP_EQUAL("", history.Entries().at("a").error.c_str());
}

TEST(BurnHistoryTest, EntryStartedAfterTheFirstSnapshotCountsFromItsStart)
{
  const EntrySample unreachable{ .url = "a",
                                 .error = "refused",
                                 .counters = {} };
  history.Add(SnapshotAtMinute(0, { unreachable }));
  history.Add(
    SnapshotAtMinute(10, { MakeSample("a", { .inTime = 30 }, 4 * 60) }));
  DOUBLES_EQUAL(0, RequestsBetween(0, 4).inTime, 1e-9);
  DOUBLES_EQUAL(30, RequestsBetween(4, 10).inTime, 1e-9);
}

TEST(BurnHistoryTest,
     EntryStartedBeforeTheFirstSnapshotCountsFromItsFirstSample)
{
  const EntrySample unreachable{ .url = "a",
                                 .error = "refused",
                                 .counters = {} };
  history.Add(SnapshotAtMinute(5, { unreachable }));
  history.Add(SnapshotAtMinute(10, { MakeSample("a", { .inTime = 30 }, 60) }));
  DOUBLES_EQUAL(0, RequestsBetween(0, 10).inTime, 1e-9);
}

TEST(BurnHistoryTest, IgnoresSnapshotsThatAreNotNewer)
{
  history.Add(SnapshotAtMinute(5, { MakeSample("a", { .inTime = 10 }) }));
  history.Add(SnapshotAtMinute(5, { MakeSample("a", { .inTime = 20 }) }));
  history.Add(SnapshotAtMinute(4, { MakeSample("a", { .inTime = 30 }) }));
  DOUBLES_EQUAL(0, RequestsBetween(0, 10).inTime, 1e-9);
  LONGS_EQUAL(1, history.Keys().size());
}

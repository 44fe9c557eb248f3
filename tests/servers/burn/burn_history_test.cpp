#include "servers/burn/burn_history.h"

#include "tests/servers/burn/burn_fixture.h"

#include <CppUTest/TestHarness.h>

using firefly::AtMinute;
using firefly::BurnHistory;
using firefly::Counted;
using firefly::EntrySample;
using firefly::OutcomeAmounts;
using firefly::TestKey;
using firefly::WallTime;

TEST_GROUP(BurnHistoryTest)
{
  BurnHistory history;

  OutcomeAmounts Between(int aFrom, int aTo)
  {
    return history
      .Between(TestKey(),
               WallTime(std::chrono::minutes(aFrom)),
               WallTime(std::chrono::minutes(aTo)))
      .requests;
  }
};

TEST(BurnHistoryTest, AddsUpWhatEntriesCountedSinceTheFirstSnapshot)
{
  history.Add(AtMinute(0,
                       { Counted("a", { .inTime = 100 }),
                         Counted("b", { .inTime = 10, .late = 5 }) }));
  history.Add(AtMinute(10,
                       { Counted("a", { .inTime = 160, .failed = 4 }),
                         Counted("b", { .inTime = 30, .late = 6 }) }));
  CHECK_TRUE(Between(0, 10) ==
             (OutcomeAmounts{ .inTime = 80, .late = 1, .failed = 4 }));
}

TEST(BurnHistoryTest, ACountBetweenSnapshotsIsEvenOverTheTime)
{
  history.Add(AtMinute(0, { Counted("a", {}) }));
  history.Add(AtMinute(10, { Counted("a", { .late = 100 }) }));
  history.Add(AtMinute(20, { Counted("a", { .late = 120 }) }));
  DOUBLES_EQUAL(50, Between(5, 10).late, 1e-9);
  DOUBLES_EQUAL(60, Between(5, 15).late, 1e-9);
  DOUBLES_EQUAL(0, Between(20, 30).late, 1e-9);
}

TEST(BurnHistoryTest, ARestartedEntryCountsFromZero)
{
  history.Add(AtMinute(0, { Counted("a", { .inTime = 100 }) }));
  history.Add(AtMinute(1, { Counted("a", { .inTime = 40 }) }));
  DOUBLES_EQUAL(40, Between(0, 1).inTime, 1e-9);
  // It may have counted more than before: the start time tells.
  history.Add(AtMinute(2, { Counted("a", { .inTime = 70 }, 2) }));
  DOUBLES_EQUAL(70, Between(1, 2).inTime, 1e-9);
}

TEST(BurnHistoryTest, AnAwayEntryIsKnownAndItsCountsComeLater)
{
  const EntrySample away{ .url = "a", .error = "refused", .counters = {} };
  history.Add(AtMinute(0, { Counted("a", { .inTime = 10 }) }));
  history.Add(AtMinute(1, { away }));
  STRCMP_EQUAL("refused", history.Entries().at("a").error.c_str());
  CHECK_TRUE(history.Entries().at("a").lastSeen == WallTime{});
  DOUBLES_EQUAL(0, Between(0, 1).inTime, 1e-9);
  history.Add(AtMinute(2, { Counted("a", { .inTime = 30 }) }));
  DOUBLES_EQUAL(20, Between(0, 2).inTime, 1e-9);
  STRCMP_EQUAL("", history.Entries().at("a").error.c_str());
}

TEST(BurnHistoryTest, AnEntryThatStartedMeanwhileCountsFromItsStart)
{
  const EntrySample away{ .url = "a", .error = "refused", .counters = {} };
  history.Add(AtMinute(0, { away }));
  history.Add(AtMinute(10, { Counted("a", { .inTime = 30 }, 4 * 60) }));
  DOUBLES_EQUAL(0, Between(0, 4).inTime, 1e-9);
  DOUBLES_EQUAL(30, Between(4, 10).inTime, 1e-9);
}

TEST(BurnHistoryTest, AnEntryOfBeforeTheFirstSnapshotCountsFromItsFirstSample)
{
  const EntrySample away{ .url = "a", .error = "refused", .counters = {} };
  history.Add(AtMinute(5, { away }));
  history.Add(AtMinute(10, { Counted("a", { .inTime = 30 }, 60) }));
  DOUBLES_EQUAL(0, Between(0, 10).inTime, 1e-9);
}

TEST(BurnHistoryTest, OldSnapshotsChangeNothing)
{
  history.Add(AtMinute(5, { Counted("a", { .inTime = 10 }) }));
  history.Add(AtMinute(5, { Counted("a", { .inTime = 20 }) }));
  history.Add(AtMinute(4, { Counted("a", { .inTime = 30 }) }));
  DOUBLES_EQUAL(0, Between(0, 10).inTime, 1e-9);
  LONGS_EQUAL(1, history.Keys().size());
}

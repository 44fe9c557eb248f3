#include "policy/usage/true_time.h"
#include "policy/usage/usage_journal.h"
#include "policy/usage/usage_ledger.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::CustomerId;
using firefly::Duration;
using firefly::HostId;
using firefly::Incarnation;
using firefly::Instant;
using firefly::WallTime;
using firefly::policy::HostUsage;
using firefly::policy::JournalOffset;
using firefly::policy::TrueTime;
using firefly::policy::UsageCounter;
using firefly::policy::UsageCounts;
using firefly::policy::UsageJournal;
using firefly::policy::UsageLedger;
using firefly::policy::UsageWindow;

namespace {

const CustomerId kCustomer("hule930");
const HostId kHostA("a");
const HostId kHostB("b");

// In the middle of window 100.
constexpr WallTime kStart(502'500ms);

HostUsage
Usage(const HostId& aHost,
      std::uint64_t aIncarnation,
      std::uint64_t aCompleteBefore,
      std::uint64_t aTotal,
      std::uint64_t aCount,
      std::uint64_t aWindow = 101)
{
  return { .host = aHost,
           .incarnation = Incarnation(aIncarnation),
           .completeBefore = UsageWindow(aCompleteBefore),
           .windows = { { .window = UsageWindow(aWindow),
                          .total = aTotal,
                          .counts = { { kCustomer, aCount } } } } };
}

} // namespace

TEST_GROUP(UsageLedgerTest)
{
  UsageLedger ledger{ {}, kStart };
};

// A count that was resent or overtaken would otherwise be added or lost.
TEST(UsageLedgerTest, AddsTheLargestCountOfEachProcess)
{
  ledger.Apply(Usage(kHostA, 1, 101, 5, 5), kStart + 5s);
  ledger.Apply(Usage(kHostA, 1, 101, 3, 3), kStart + 5s);
  ledger.Apply(Usage(kHostA, 2, 102, 2, 2), kStart + 8s);
  ledger.Apply(Usage(kHostB, 1, 102, 4, 4), kStart + 8s);
  ledger.Close(kStart + 8s, { kHostA, kHostB });
  const auto* report = ledger.FirstAfter({});
  CHECK_TRUE(report != nullptr && report->window == UsageWindow(101) &&
             report->counts == UsageCounts({ { kCustomer, 11 } }));
}

// A window that closes before all counts arrived is reported too low, one that
// waits for a host without end is never reported.
TEST(UsageLedgerTest, ClosesOnceAllHostsAreCompleteOrSixSecondsAfterTheEnd)
{
  ledger.Apply(Usage(kHostA, 1, 102, 5, 5), kStart + 8s);
  ledger.Apply(Usage(kHostB, 1, 102, 9, 4), kStart + 8s);
  ledger.Close(kStart + 8s, { kHostA, kHostB });
  CHECK_TRUE(ledger.FirstAfter({}) == nullptr); // of B, only 4 of 9 are known
  ledger.Close(kStart + 13s, { kHostA, kHostB });
  CHECK_TRUE(ledger.FirstAfter({}) == nullptr);
  ledger.Close(kStart + 13500ms, { kHostA, kHostB });
  CHECK_TRUE(ledger.FirstAfter({}) != nullptr);
  LONGS_EQUAL(1, ledger.IncompleteWindows());
}

// A host whose clock is wrong must not change a closed window.
TEST(UsageLedgerTest, IgnoresClosedAndFarWindows)
{
  ledger.Close(kStart + 15s, {});
  ledger.Apply(Usage(kHostA, 1, 200, 5, 5, 101), kStart + 15s);
  ledger.Apply(Usage(kHostA, 1, 200, 5, 5, 150), kStart + 15s);
  ledger.Close(kStart + 500s, {});
  for (const auto window : { 100U, 149U }) {
    const auto* report = ledger.FirstAfter(UsageWindow(window));
    CHECK_TRUE(report != nullptr && report->counts.empty());
  }
}

TEST_GROUP(UsageCounterTest)
{
  UsageCounter counter{ { .host = kHostA, .incarnation = Incarnation(1) } };
};

// Requirement of the page: less than 3 KB/s for two receivers, two calls a
// second, with 88 customers that all change between two calls.
TEST(UsageCounterTest, SendsAllChangesWithinItsBudget)
{
  UsageLedger ledger{ {}, kStart };
  counter.Advance(UsageWindow(101));
  for (int call = 0; call < 10; ++call) {
    for (int i = 0; i < 88; ++i) {
      counter.Count(CustomerId("hule9" + std::to_string(i)));
    }
    for (const auto& it : counter.TakeMessages()) {
      ledger.Apply(it, kStart + 5s);
    }
  }
  counter.Advance(UsageWindow(102));
  for (int call = 0; call < 2; ++call) {
    for (const auto& it : counter.TakeMessages()) {
      ledger.Apply(it, kStart + 8s);
    }
  }
  ledger.Close(kStart + 8s, { kHostA });
  const auto* report = ledger.FirstAfter({});
  CHECK_TRUE(report != nullptr && report->counts.size() == 88 &&
             report->counts.begin()->second == 10);
}

// A corrected clock must not change counts that were announced as complete.
TEST(UsageCounterTest, DoesNotReopenACompleteWindow)
{
  counter.Advance(UsageWindow(101));
  counter.Advance(UsageWindow(102));
  counter.Advance(UsageWindow(101));
  counter.Count(kCustomer);
  const auto all = counter.All();
  LONGS_EQUAL(102, all.completeBefore.Value());
  LONGS_EQUAL(0, all.windows.front().total);
  LONGS_EQUAL(1, all.windows.back().total);
}

// A new candidate would otherwise lack the counts that others have received.
TEST(UsageCounterTest, ResendsToNewReceivers)
{
  counter.Advance(UsageWindow(101));
  counter.Count(kCustomer);
  for (int i = 0; i < 3; ++i) {
    LONGS_EQUAL(1, counter.TakeMessages()[0].windows[0].counts.size());
  }
  LONGS_EQUAL(0, counter.TakeMessages()[0].windows[0].counts.size());
  counter.Resend();
  LONGS_EQUAL(1, counter.TakeMessages()[0].windows[0].counts.size());
}

TEST_GROUP(UsageJournalTest)
{
  UsageJournal journal;

  bool Apply(std::uint64_t aOffset,
             std::uint64_t aWindow,
             std::optional<std::uint64_t> aOldest = {})
  {
    UsageJournal::Record record;
    record.report.window = UsageWindow(aWindow);
    if (aOldest) {
      record.oldestUnanswered = JournalOffset(*aOldest);
    }
    return journal.Apply(JournalOffset(aOffset), record);
  }
};

// The late record of a former holder would give a window a second content.
TEST(UsageJournalTest, TakesTheFirstRecordOfAWindow)
{
  CHECK_TRUE(Apply(0, 7));
  CHECK_TRUE(Apply(1, 8, 0));
  CHECK_FALSE(Apply(2, 8));
  CHECK_FALSE(Apply(3, 7));
  LONGS_EQUAL(2, journal.Unanswered());
  CHECK_TRUE(Apply(4, 10, 1));
  LONGS_EQUAL(8, journal.OldestUnanswered()->window.Value());
}

TEST_GROUP(TrueTimeTest)
{
  Instant now{ 1000s };
  TrueTime time{ kStart, now };

  // Processes samples of three hosts, which differ by aOffset from kStart.
  void Sample(Duration aOffset)
  {
    for (const auto* host : { "x", "y", "z" }) {
      time.AddSample(
        HostId(host),
        WallTime(std::chrono::duration_cast<WallTime::duration>(
          kStart.time_since_epoch() + (now - Instant(1000s)) + aOffset)),
        now);
    }
  }
};

// A process that starts while its wall clock is wrong would count in wrong
// windows.
TEST(TrueTimeTest, FollowsTheMedianOfTheHosts)
{
  now += 2s;
  Sample(-3s);
  CHECK_TRUE(time.Correct(now).has_value());
  CHECK_TRUE(time.At(now) == kStart + 2s - 3s);
  Sample(-3s - 300ms); // within the allowed difference
  CHECK_FALSE(time.Correct(now).has_value());
  // The others tell the time of their own clocks; a correction must not spread.
  CHECK_TRUE(time.Uncorrected(now) == kStart + 2s);
}

// One host whose clock jumps must not move the others.
TEST(TrueTimeTest, IgnoresAMinority)
{
  time.AddSample(HostId("x"), kStart + 8s, now);
  CHECK_FALSE(time.Correct(now).has_value());
  time.AddSample(HostId("y"), kStart, now);
  CHECK_FALSE(time.Correct(now).has_value());
  CHECK_TRUE(time.IsSettled(now));
}

// Messages that waited while the process was stopped state an old time.
TEST(TrueTimeTest, IgnoresSamplesThatWaitedInAPause)
{
  now += 10s;
  Sample(-8s);
  time.OnPause(now);
  Sample(-8s);
  CHECK_FALSE(time.Correct(now).has_value());
  now += 1s;
  Sample(0s);
  CHECK_FALSE(time.Correct(now).has_value());
  CHECK_TRUE(time.At(now) == kStart + 11s);
}

// Tests bookings under seeded faults: several ledgers serve the same
// partitions, entries may pause at any time, and callers retry at other
// entries.

#include <cstdio>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coord/booking_ledger.h"
#include "coord/testing/fake_log.h"
#include "coord/testing/fake_process.h"
#include "tests/coord/fault_injector.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;

namespace firefly::coord {

namespace {

constexpr int kSchedules = 1000;
constexpr int kLedgers = 3;
constexpr int kEntries = 3;
constexpr int kKeys = 40;
constexpr int kTries = 6;
constexpr std::uint32_t kPartitions = 2;
constexpr Duration kFaultSpan = 40s;
constexpr Duration kRecoverySpan = 45s;
constexpr Duration kPermitTimeout = 1500ms;
constexpr Duration kServiceTimeout = 2s;

// Counts violations, which must stay zero, and some totals.
struct Counts
{
  int ranTwice = 0;    // keys that ran more than once
  int afterNotRun = 0; // attempts that ran after being reported as not run
  int forgotten = 0;   // keys that ran, but the log shows no or another attempt
  int wrongAnswer = 0; // callers that got the answer of another booking
  int stuck = 0;       // keys without a final answer after the faults
  int violations = 0;  // outcomes of attempts that were abandoned
  int ran = 0;         // keys that ran; not a violation
  int unknown = 0;     // attempts without an answer; not a violation
  int schedules = 0;   // schedules run; not a violation

  [[nodiscard]] int Faults() const
  {
    return ranTwice + afterNotRun + forgotten + wrongAnswer + stuck +
           violations;
  }
  void Add(const Counts& aOther)
  {
    ranTwice += aOther.ranTwice;
    afterNotRun += aOther.afterNotRun;
    forgotten += aOther.forgotten;
    wrongAnswer += aOther.wrongAnswer;
    stuck += aOther.stuck;
    violations += aOther.violations;
    ran += aOther.ran;
    unknown += aOther.unknown;
    ++schedules;
  }
};

// The result of one try that is reported to its caller.
enum class CallerResult
{
  kAnswer,
  kNotRun,
  kUnknown,
};

struct Try
{
  BookingKey key;
  AttemptId attempt;
  int number = 0;
  bool isDecided = false; // decided or timed out; later permits are ignored
};
using TryPtr = std::shared_ptr<Try>;

class World
{
public:
  explicit World(std::uint64_t aSeed);
  Counts Run();

private:
  struct Ledger
  {
    std::unique_ptr<FakeProcess> process;
    std::unique_ptr<BookingLedger> ledger;
  };

  void StartLedger(int aLedger);
  void StartCaller(int aKey);
  void Call(const BookingKey& aKey, int aNumber);
  void Ask(FakeProcess& aEntry, const TryPtr& aTry);
  void OnPermit(FakeProcess& aEntry,
                const TryPtr& aTry,
                const tl::expected<Permit, LedgerError>& aPermit);
  void Dispatch(FakeProcess& aEntry, const TryPtr& aTry);
  void Record(FakeProcess& aEntry, const TryPtr& aTry, int aLeft);
  void SendAbandonment(FakeProcess& aEntry, const TryPtr& aTry);
  void Report(const TryPtr& aTry,
              CallerResult aCallerResult,
              const std::string& aAnswer);
  // Runs the callback in the process after a message's delay, unless the
  // message is lost.
  void Message(FakeProcess& aTo, std::function<void()> aCallback);
  void After(Duration aDelay, std::function<void()> aCallback);
  void CountViolations();

  VirtualExecutor mExecutor;
  Random mRandom;
  FakeLog mLog;
  Counts mCounts;
  std::vector<Ledger> mLedgers;
  std::vector<Ledger> mKilled;
  std::vector<std::unique_ptr<FakeProcess>> mEntries;
  std::map<std::string, std::vector<AttemptId>> mRuns; // at the service, by key
  std::set<AttemptId> mNotRun;
  std::set<std::string> mFinished; // keys whose caller got its final result
  std::vector<Timer> mTimers;
  std::uint64_t mIncarnations = 0;
  std::uint64_t mAttempts = 0;
  double mLossProbability = 0.1;
};

World::World(std::uint64_t aSeed)
  : mRandom(aSeed)
  , mLog({ .seed = aSeed }, mExecutor)
{
  mLedgers.resize(kLedgers);
  for (int n = 0; n < kLedgers; ++n) {
    StartLedger(n);
  }
  for (int n = 0; n < kEntries; ++n) {
    mEntries.push_back(std::make_unique<FakeProcess>(mExecutor));
  }
}

void
World::StartLedger(int aLedger)
{
  auto& slot = mLedgers[aLedger];
  if (slot.process) {
    slot.process->Kill();
    mKilled.push_back(std::exchange(slot, {}));
  }
  const auto name = "ledger-" + std::to_string(aLedger);
  slot.process = std::make_unique<FakeProcess>(mExecutor);
  slot.ledger = std::make_unique<BookingLedger>(
    BookingLedger::Options{
      .writer = WriterId(name + "/" + std::to_string(++mIncarnations)),
      .chart = &TestChart("booking"),
      .partitions = kPartitions,
      .seed = mRandom.Next() },
    *slot.process,
    mLog.MakeClient(name, *slot.process));
  for (std::uint32_t n = 0; n < kPartitions; ++n) {
    slot.ledger->Open(PartitionId(n));
  }
}

void
World::StartCaller(int aKey)
{
  const BookingKey key("key-" + std::to_string(aKey));
  After(FromSeconds(30 * mRandom.Uniform()), [this, key] { Call(key, 1); });
  // Some keys are used by a second call, which starts at a time of its own and
  // may go to another entry.
  if (mRandom.Chance(0.3)) {
    After(FromSeconds(30 * mRandom.Uniform()), [this, key] { Call(key, 1); });
  }
}

void
World::Call(const BookingKey& aKey, int aNumber)
{
  auto attempt = std::make_shared<Try>(
    Try{ .key = aKey,
         .attempt = AttemptId("attempt-" + std::to_string(++mAttempts)),
         .number = aNumber });
  Ask(*mEntries[mRandom.Below(kEntries)], attempt);
}

// Sends one permit request to one ledger for each attempt, as an entry does. An
// answer after the entry's own time-out is ignored.
void
World::Ask(FakeProcess& aEntry, const TryPtr& aTry)
{
  const auto deadline = mExecutor.Now() + kPermitTimeout;
  const auto index = mRandom.Below(kLedgers);
  Message(*mLedgers[index].process, [this, &aEntry, aTry, index, deadline] {
    mLedgers[index].ledger->RequestPermit(
      { .key = aTry->key,
        .attempt = aTry->attempt,
        .digest = DigestOf(aTry->key.Value()),
        .deadline = deadline },
      [this, &aEntry, aTry](const tl::expected<Permit, LedgerError>& aPermit) {
        Message(aEntry, [this, &aEntry, aTry, aPermit] {
          OnPermit(aEntry, aTry, aPermit);
        });
      });
  });
  auto timer = std::make_shared<Timer>();
  *timer = aEntry.RunAfter(kPermitTimeout, [this, timer, &aEntry, aTry] {
    if (!aTry->isDecided) {
      aTry->isDecided = true;
      SendAbandonment(aEntry, aTry);
      Report(aTry, CallerResult::kNotRun, {});
    }
  });
}

void
World::OnPermit(FakeProcess& aEntry,
                const TryPtr& aTry,
                const tl::expected<Permit, LedgerError>& aPermit)
{
  if (aTry->isDecided) {
    return;
  }
  aTry->isDecided = true;
  if (!aPermit) {
    Report(aTry, CallerResult::kNotRun, {});
  } else if (aPermit->verdict == PermitVerdict::kGranted) {
    // The entry may be paused here for any time.
    aEntry.Post([this, &aEntry, aTry] { Dispatch(aEntry, aTry); });
  } else if (aPermit->verdict == PermitVerdict::kCompleted) {
    Report(aTry, CallerResult::kAnswer, aPermit->outcome->answer);
  } else {
    Report(aTry, CallerResult::kUnknown, {});
  }
}

void
World::Dispatch(FakeProcess& aEntry, const TryPtr& aTry)
{
  auto answered = std::make_shared<bool>(false);
  After(FromSeconds(mRandom.Uniform()), [this, &aEntry, aTry, answered] {
    mRuns[aTry->key.Value()].push_back(aTry->attempt);
    mCounts.afterNotRun += mNotRun.contains(aTry->attempt) ? 1 : 0;
    Message(aEntry, [this, &aEntry, aTry, answered] {
      Record(aEntry, aTry, kTries);
      if (!std::exchange(*answered, true)) {
        Report(aTry, CallerResult::kAnswer, aTry->key.Value());
      }
    });
  });
  After(kServiceTimeout, [this, aTry, answered] {
    if (!std::exchange(*answered, true)) {
      ++mCounts.unknown;
      Report(aTry, CallerResult::kUnknown, {});
    }
  });
}

void
World::Record(FakeProcess& aEntry, const TryPtr& aTry, int aLeft)
{
  const auto index = mRandom.Below(kLedgers);
  auto done = std::make_shared<bool>(false);
  Message(*mLedgers[index].process, [this, &aEntry, aTry, index, done] {
    mLedgers[index].ledger->RecordOutcome(
      aTry->key,
      aTry->attempt,
      { .status = 200, .answer = aTry->key.Value() },
      [this, &aEntry, done](const tl::expected<void, LedgerError>& aResult) {
        if (aResult) {
          Message(aEntry, [done] { *done = true; });
        }
      });
  });
  After(3s, [this, &aEntry, aTry, aLeft, done] {
    if (!*done && aLeft > 1) {
      aEntry.Post(
        [this, &aEntry, aTry, aLeft] { Record(aEntry, aTry, aLeft - 1); });
    }
  });
}

void
World::SendAbandonment(FakeProcess&, const TryPtr& aTry)
{
  const auto index = mRandom.Below(kLedgers);
  Message(*mLedgers[index].process, [this, aTry, index] {
    mLedgers[index].ledger->Abandon(
      aTry->key, aTry->attempt, [](const auto&) {});
  });
}

// Reports a result to the caller. The caller retries after kNotRun and kUnknown
// until its maximum number of tries.
void
World::Report(const TryPtr& aTry,
              CallerResult aCallerResult,
              const std::string& aAnswer)
{
  if (aCallerResult == CallerResult::kAnswer) {
    mCounts.wrongAnswer += aAnswer == aTry->key.Value() ? 0 : 1;
    mFinished.insert(aTry->key.Value());
    return;
  }
  if (aCallerResult == CallerResult::kNotRun) {
    mNotRun.insert(aTry->attempt);
  }
  if (aTry->number >= kTries) {
    mFinished.insert(aTry->key.Value());
    return;
  }
  After(FromSeconds(1 + 6 * mRandom.Uniform()),
        [this, aTry] { Call(aTry->key, aTry->number + 1); });
}

void
World::Message(FakeProcess& aTo, std::function<void()> aCallback)
{
  if (mRandom.Chance(mLossProbability)) {
    return;
  }
  // Most messages are fast; some take up to 4 s, longer than the time-outs.
  const auto delay =
    mRandom.Chance(0.1) ? 4 * mRandom.Uniform() : 0.005 * mRandom.Uniform();
  After(FromSeconds(delay),
        [&aTo, callback = std::move(aCallback)] { aTo.Post(callback); });
}

void
World::After(Duration aDelay, std::function<void()> aCallback)
{
  mTimers.push_back(mExecutor.RunAfter(aDelay, std::move(aCallback)));
}

Counts
World::Run()
{
  for (int n = 0; n < kKeys; ++n) {
    StartCaller(n);
  }
  std::vector<FaultTarget> targets;
  targets.reserve(kLedgers + kEntries);
  for (int n = 0; n < kLedgers; ++n) {
    targets.push_back({ .logClient = "ledger-" + std::to_string(n),
                        .pause = [this, n] { mLedgers[n].process->Pause(); },
                        .resume = [this, n] { mLedgers[n].process->Resume(); },
                        .restart = [this, n] { StartLedger(n); } });
  }
  for (int n = 0; n < kEntries; ++n) {
    targets.push_back({ .logClient = "entry-" + std::to_string(n),
                        .pause = [this, n] { mEntries[n]->Pause(); },
                        .resume = [this, n] { mEntries[n]->Resume(); },
                        .restart = {} });
  }
  FaultInjector faults(mRandom.Next(), mExecutor, mLog, std::move(targets));
  faults.Run(kFaultSpan);
  mLossProbability = 0;
  mExecutor.RunFor(kRecoverySpan);
  CountViolations();
  return mCounts;
}

void
World::CountViolations()
{
  BookingState truth({}, mExecutor);
  for (std::uint32_t n = 0; n < kPartitions; ++n) {
    for (const auto& it :
         mLog.Records(StreamName("booking-" + std::to_string(n)))) {
      truth.Apply(it.offset, *DecodeEnvelope(it.payload));
    }
  }
  mCounts.violations += static_cast<int>(truth.Violations());
  mCounts.stuck += kKeys - static_cast<int>(mFinished.size());
  for (const auto& [key, runs] : mRuns) {
    ++mCounts.ran;
    mCounts.ranTwice += runs.size() > 1 ? 1 : 0;
    const auto view = truth.Find(BookingKey(key));
    mCounts.forgotten += !view || view->attempt != runs.front() ? 1 : 0;
  }
}

} // namespace

TEST_GROUP(BookingFaultsTest){};

TEST(BookingFaultsTest, KeyRunsAtMostOnceAndNeverAfterBeingReportedAsNotRun)
{
  Counts sum;
  const int failed =
    CountSchedules("booking", kSchedules, [&](std::uint64_t aSeed) {
      World world(aSeed);
      const auto counts = world.Run();
      sum.Add(counts);
      return counts.Faults() > 0;
    });
  std::printf("ran twice %d, after not-run %d, forgotten %d, wrong answer %d, "
              "stuck %d, violations %d, ran %d, unknown %d\n",
              sum.ranTwice,
              sum.afterNotRun,
              sum.forgotten,
              sum.wrongAnswer,
              sum.stuck,
              sum.violations,
              sum.ran,
              sum.unknown);
  LONGS_EQUAL(0, sum.ranTwice);
  LONGS_EQUAL(0, sum.afterNotRun);
  LONGS_EQUAL(0, sum.forgotten);
  LONGS_EQUAL(0, sum.wrongAnswer);
  LONGS_EQUAL(0, sum.stuck);
  LONGS_EQUAL(0, sum.violations);
  LONGS_EQUAL(0, failed);
  // More than half of the keys must have run.
  CHECK_TRUE(sum.ran > sum.schedules * kKeys / 2);
}

} // namespace firefly::coord

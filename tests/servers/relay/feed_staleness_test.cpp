// Seeded schedules of several processes that follow one stream and share their
// reads, against the property that the staleness bound rests on: a process that
// does not know a record is not confirmed to the instant at which the log
// acknowledged it, or to a later one.

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coord/keyed_feed.h"
#include "core/random.h"
#include "core/virtual_executor.h"
#include "servers/relay/peer_update_channel.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::DecodeFeedUpdate;
using firefly::DecodeForwarded;
using firefly::Duration;
using firefly::EncodeFeedUpdate;
using firefly::EncodeForwarded;
using firefly::Executor;
using firefly::FeedUpdate;
using firefly::Instant;
using firefly::Random;
using firefly::ReadInstant;
using firefly::VirtualExecutor;
using firefly::WallTime;
using firefly::coord::FeedProgress;
using firefly::coord::KeyedBatch;
using firefly::coord::KeyedFeed;
using firefly::coord::KeyedFeedObserver;
using firefly::coord::KeyedLogClient;
using firefly::coord::KeyedReadTerms;
using firefly::coord::KeyedRecord;
using firefly::coord::LogError;
using firefly::coord::LogErrorKind;
using firefly::coord::LogOffset;
using firefly::coord::NewestPage;
using firefly::coord::StreamName;

namespace {

constexpr std::size_t kProcesses = 5;
// Processes 0 and 1 are one failure domain, the others another one.
constexpr std::size_t kFirstOfFarDomain = 2;
constexpr Duration kReadTimeout = std::chrono::milliseconds(700);
constexpr Duration kScheduleTime = std::chrono::seconds(15);
// The network delays no datagram for longer than the receivers assume.
constexpr Duration kMaxDelay = std::chrono::milliseconds(499);

// Which rule is taken out, to show that the property depends on it.
enum class Rule
{
  kNone,
  kEmptySocket, // ages count from the receipt of a datagram
  kHeldTime,    // a forwarder passes a message on as it is
  kAllowance,   // the network's delay is not subtracted
  kLastOnly,    // each datagram of a read states its age
};

class Clock : public VirtualExecutor
{
public:
  void After(Duration aDelay, std::function<void()> aStep)
  {
    Schedule(aDelay, std::move(aStep));
  }
};

// Runs the callbacks of one process, which may be stopped at any time, also
// within a callback before it reads the clock.
class ProcessExecutor : public Executor
{
public:
  ProcessExecutor(Clock& aClock, Random& aRandom)
    : mClock(aClock)
    , mRandom(aRandom)
  {
  }

  [[nodiscard]] Instant Now() const override
  {
    if (stopsWithin && mRandom.Below(200) == 0) {
      mResumesAt = LocalNow() + std::chrono::milliseconds(mRandom.Below(3000));
    }
    return LocalNow();
  }
  [[nodiscard]] WallTime WallNow() const override { return mClock.WallNow(); }
  void Post(std::function<void()> aCallback) override
  {
    Schedule(Duration::zero(), std::move(aCallback));
  }
  void Schedule(Duration aDelay, std::function<void()> aCallback) override
  {
    mClock.After(Delay() + aDelay,
                 [this, callback = std::move(aCallback)] { Run(callback); });
  }

  // Runs the callback at once, or when the process resumes.
  void Run(const std::function<void()>& aCallback)
  {
    if (Delay() == Duration::zero()) {
      aCallback();
    } else {
      mClock.After(Delay(), [this, aCallback] { Run(aCallback); });
    }
  }

  void StopFor(Duration aSpan)
  {
    mResumesAt = std::max(mResumesAt, mClock.Now() + aSpan);
  }

  // A new process takes the place of this one.
  void Restart() { mResumesAt = mClock.Now(); }

  // The time until what the process does now takes place.
  [[nodiscard]] Duration Delay() const { return LocalNow() - mClock.Now(); }
  [[nodiscard]] Instant LocalNow() const
  {
    return std::max(mClock.Now(), mResumesAt);
  }

  bool stopsWithin = false;

private:
  Clock& mClock;
  Random& mRandom;
  mutable Instant mResumesAt{};
};

struct LogState
{
  std::vector<KeyedRecord> records;
  // By offset: when the append was acknowledged.
  std::vector<Instant> acknowledgedAt;
  std::uint64_t first = 0;
  bool isDown = false;
};

// One process's access to the log. Requests and answers are late or lost;
// answers hold a limited number of records.
class ScheduledLog : public KeyedLogClient
{
public:
  ScheduledLog(LogState& aLog,
               Clock& aClock,
               ProcessExecutor& aExecutor,
               Random& aRandom)
    : mLog(aLog)
    , mClock(aClock)
    , mExecutor(aExecutor)
    , mRandom(aRandom)
  {
  }

  void ReadNewest(const StreamName& /*aStream*/,
                  const std::string& aAfterKey,
                  NewestCallback aCallback) override
  {
    Call<NewestPage>(std::move(aCallback), Duration::zero(), [this, aAfterKey] {
      std::map<std::string, KeyedRecord> newest;
      for (const auto& it : mLog.records) {
        newest[it.key] = it;
      }
      NewestPage page;
      page.end = LogOffset(mLog.records.size());
      for (const auto& [key, it] : newest) {
        if (it.value && key > aAfterKey) {
          page.hasMore = page.records.size() == 1;
          if (page.hasMore) {
            break;
          }
          page.records.push_back(it);
        }
      }
      return tl::expected<NewestPage, LogError>(page);
    });
  }

  void ReadFrom(const StreamName& /*aStream*/,
                LogOffset aFrom,
                const KeyedReadTerms& aTerms,
                BatchCallback aCallback) override
  {
    constexpr std::size_t kMaxRecords = 4;
    Call<KeyedBatch>(
      std::move(aCallback),
      aTerms.wait,
      [this, aFrom]() -> tl::expected<KeyedBatch, LogError> {
        if (aFrom.Value() < mLog.first) {
          return tl::make_unexpected(LogError{ LogErrorKind::kTrimmed, "" });
        }
        KeyedBatch batch{ .records = {},
                          .next = aFrom,
                          .end = LogOffset(mLog.records.size()) };
        for (auto i = aFrom.Value(); i < batch.end.Value(); ++i) {
          if (batch.records.size() == kMaxRecords) {
            break;
          }
          batch.records.push_back(mLog.records[i]);
          batch.next = LogOffset(i + 1);
        }
        return batch;
      });
  }

  bool isCutOff = false;

private:
  template<typename Answer>
  using Result = tl::expected<Answer, LogError>;

  template<typename Answer>
  void Call(std::function<void(Result<Answer>)> aCallback,
            Duration aWait,
            std::function<Result<Answer>()> aRead)
  {
    const auto answer = [this, aCallback](Result<Answer> aResult,
                                          Duration aDelay) {
      mClock.After(
        aDelay,
        [this, aCallback, aResult, alive = std::weak_ptr<bool>(mAlive)] {
          if (!alive.expired()) {
            mExecutor.Run([aCallback, aResult, alive] {
              if (!alive.expired()) {
                aCallback(aResult);
              }
            });
          }
        });
    };
    const auto fail = [answer](Duration aDelay) {
      answer(tl::make_unexpected(LogError{ LogErrorKind::kUnavailable, "" }),
             aDelay);
    };
    const auto arrival = mExecutor.Delay() + RandomDelay();
    if (isCutOff || mRandom.Below(12) == 0) {
      fail(mExecutor.Delay() + kReadTimeout);
      return;
    }
    // A read that waits for records is answered at some time within its wait.
    const auto held = FromFraction(aWait);
    mClock.After(arrival + held,
                 [this, answer, fail, aRead, alive = std::weak_ptr(mAlive)] {
                   if (alive.expired()) {
                     return;
                   }
                   if (isCutOff || mLog.isDown || mRandom.Below(12) == 0) {
                     fail(kReadTimeout);
                   } else {
                     answer(aRead(), RandomDelay());
                   }
                 });
  }

  Duration RandomDelay()
  {
    return mRandom.Below(8) == 0 ? FromFraction(600ms) : FromFraction(20ms);
  }
  Duration FromFraction(Duration aMax)
  {
    return firefly::FromSeconds(firefly::ToSeconds(aMax) * mRandom.Uniform());
  }

  LogState& mLog;
  Clock& mClock;
  ProcessExecutor& mExecutor;
  Random& mRandom;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

class Schedule;

// A relay's part that follows the stream and exchanges updates.
class Process : private KeyedFeedObserver
{
public:
  Process(Schedule& aSchedule, std::size_t aId, std::uint64_t aSeed);

  // A datagram arrives at the socket.
  void Arrive(std::string aBytes);
  // Called when another process has announced its table.
  void OnAnnouncement(std::size_t aPeer, std::int64_t aTable, LogOffset aNext);

  [[nodiscard]] std::optional<Instant> ConfirmedAt() const
  {
    return mFeed.ConfirmedAt();
  }
  // The offset of the newest table that is known; -1 if none.
  [[nodiscard]] std::int64_t Table() const { return mTable; }
  ProcessExecutor& executor;
  ScheduledLog log;
  KeyedFeed& Feed() { return mFeed; }

private:
  bool OnRecord(const KeyedRecord& aRecord) override;
  void OnProgress(const FeedProgress& aProgress) override;
  void OnSnapshot(const std::vector<std::string>& /*aKeys*/) override {}
  void OnLost(const LogError& /*aError*/) override {}
  void OnRegained(Duration /*aAway*/) override {}
  void ReadSocket();
  void HandleDatagram(const std::string& aBytes);
  void Send(FeedUpdate aUpdate, bool aForwards);

  Schedule& mSchedule;
  std::size_t mId;
  std::int64_t mTable = -1;
  std::deque<std::string> mSocket;
  Instant mEmptyAt{};
  bool mIsReadingSocket = false;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
  KeyedFeed mFeed;
};

// Plays one seed and checks the property after each event.
class Schedule
{
public:
  Schedule(std::uint64_t aSeed, Rule aWithout)
    : random(aSeed)
    , without(aWithout)
    , tableKey(aSeed % 2 == 0 ? "config" : "table")
  {
    for (auto& it : executors) {
      it = std::make_unique<ProcessExecutor>(clock, random);
      it->stopsWithin = random.Below(2) == 0;
    }
    Append();
    for (std::size_t i = 0; i < kProcesses; ++i) {
      Start(i);
    }
    ScheduleFault();
  }

  // Returns whether the property held throughout.
  bool Play()
  {
    const auto end = clock.Now() + kScheduleTime;
    while (clock.Now() < end && clock.RunOne()) {
      for (std::size_t i = 0; i < kProcesses; ++i) {
        if (!Holds(i)) {
          return false;
        }
      }
    }
    return true;
  }

  void SendDatagram(std::size_t aFrom,
                    std::size_t aTo,
                    const std::string& aBytes)
  {
    if (isPeerCutOff[aFrom] || isPeerCutOff[aTo]) {
      return;
    }
    // Lost, delivered once, or twice.
    const auto draw = random.Below(10);
    const int copies = draw == 0 ? 0 : (draw == 1 ? 2 : 1);
    for (int i = 0; i < copies; ++i) {
      const auto delay = random.Below(6) == 0
                           ? firefly::FromSeconds(
                               firefly::ToSeconds(kMaxDelay) * random.Uniform())
                           : Duration(500us);
      clock.After(executors[aFrom]->Delay() + delay,
                  [this, aTo, aBytes] { processes[aTo]->Arrive(aBytes); });
    }
  }

  Clock clock;
  Random random;
  Rule without;
  // Sorts before or after the other keys, which decides whether it is read with
  // the end of the stream or later.
  std::string tableKey;
  LogState logState;
  std::array<std::unique_ptr<ProcessExecutor>, kProcesses> executors;
  std::array<std::unique_ptr<Process>, kProcesses> processes;
  std::array<bool, kProcesses> isPeerCutOff{};
  // How often a process's confirmation has advanced.
  std::size_t confirmations = 0;

private:
  void Start(std::size_t aId)
  {
    processes[aId].reset();
    mLastConfirmed[aId].reset();
    executors[aId]->Restart();
    processes[aId] = std::make_unique<Process>(*this, aId, random.Next());
    processes[aId]->Feed().SetPeerCount(random.Below(4) == 0 ? 0
                                                             : kProcesses - 1);
    processes[aId]->Feed().Start();
  }

  [[nodiscard]] bool Holds(std::size_t aId)
  {
    const auto confirmed = processes[aId]->ConfirmedAt();
    if (confirmed < mLastConfirmed[aId]) {
      return false;
    }
    if (confirmed == mLastConfirmed[aId]) {
      // Knowledge never decreases, and earlier acknowledgements were checked.
      return true;
    }
    mLastConfirmed[aId] = confirmed;
    confirmations++;
    for (auto i = logState.records.size(); i > 0; --i) {
      if (logState.records[i - 1].key == tableKey &&
          logState.acknowledgedAt[i - 1] <= *confirmed) {
        return processes[aId]->Table() >= static_cast<std::int64_t>(i - 1);
      }
    }
    return true;
  }

  void Append()
  {
    // Long values make a read span several datagrams, or end before a record.
    static constexpr std::array<std::size_t, 4> kSizes{ 4, 60, 900, 1500 };
    const bool isTable = random.Below(2) == 0;
    const auto key =
      isTable ? tableKey : "other" + std::to_string(random.Below(2));
    std::optional<std::string> value(
      std::string(kSizes[random.Below(kSizes.size())], 'x'));
    if (!isTable && random.Below(4) == 0) {
      value.reset();
    }
    logState.records.push_back(
      { key, value, LogOffset(logState.records.size()) });
    // The append may be acknowledged as soon as it is done.
    logState.acknowledgedAt.push_back(clock.Now() + 1ns);
  }

  void ScheduleFault()
  {
    clock.After(std::chrono::microseconds(random.Below(200'000)), [this] {
      const auto i = random.Below(kProcesses);
      switch (random.Below(12)) {
        case 0:
          logState.isDown = random.Below(3) == 0;
          break;
        case 1:
          logState.first = random.Below(logState.records.size() + 1);
          break;
        case 2:
          isPeerCutOff[i] = !isPeerCutOff[i];
          break;
        case 3:
          processes[i]->log.isCutOff = !processes[i]->log.isCutOff;
          break;
        case 4:
          if (random.Below(3) == 0) {
            Start(i);
          }
          break;
        case 5:
        case 6:
          executors[i]->StopFor(std::chrono::milliseconds(random.Below(4000)));
          break;
        case 7:
          processes[i]->Feed().Refresh();
          break;
        default:
          Append();
      }
      ScheduleFault();
    });
  }

  std::array<std::optional<Instant>, kProcesses> mLastConfirmed{};
};

Process::Process(Schedule& aSchedule, std::size_t aId, std::uint64_t aSeed)
  : executor(*aSchedule.executors[aId])
  , log(aSchedule.logState, aSchedule.clock, executor, aSchedule.random)
  , mSchedule(aSchedule)
  , mId(aId)
  , mEmptyAt(executor.LocalNow())
  , mFeed({ .stream = StreamName("s"),
            .pause = 100ms,
            .maxSharedPause = 400ms,
            .wait = 1s,
            .confirmWithin = aSeed % 2 == 0 ? Duration::zero() : 2s,
            .seed = aSeed },
          executor,
          log,
          *this)
{
}

void
Process::Arrive(std::string aBytes)
{
  mSocket.push_back(std::move(aBytes));
  if (!std::exchange(mIsReadingSocket, true)) {
    executor.Run([this, alive = std::weak_ptr<bool>(mAlive)] {
      if (!alive.expired()) {
        ReadSocket();
      }
    });
  }
}

// The rule of GossipSocket. Between reading the clock and the socket, the
// process may be stopped.
void
Process::ReadSocket()
{
  const auto now = executor.Now();
  executor.Run([this, now, alive = std::weak_ptr<bool>(mAlive)] {
    if (alive.expired()) {
      return;
    }
    if (mSocket.empty()) {
      mEmptyAt = now;
      mIsReadingSocket = false;
      return;
    }
    const auto bytes = mSocket.front();
    mSocket.pop_front();
    HandleDatagram(bytes);
    executor.Run([this, alive] {
      if (!alive.expired()) {
        ReadSocket();
      }
    });
  });
}

void
Process::HandleDatagram(const std::string& aBytes)
{
  const auto forwarded = DecodeForwarded(aBytes);
  auto update = DecodeFeedUpdate(forwarded ? *forwarded : aBytes);
  CHECK_TRUE(update.has_value());
  const auto emptyAt =
    mSchedule.without == Rule::kEmptySocket ? executor.LocalNow() : mEmptyAt;
  update->progress.readAt = ReadInstant(*update, emptyAt);
  if (update->progress.readAt && mSchedule.without == Rule::kAllowance) {
    *update->progress.readAt += 500ms;
  }
  mFeed.ApplyPeerProgress(update->progress);
  if (forwarded) {
    Send(*update, false);
  }
}

void
Process::Send(FeedUpdate aUpdate, bool aForwards)
{
  const auto bytesNow = [&] {
    const auto& readAt = aUpdate.progress.readAt;
    const bool keepsAge = mSchedule.without == Rule::kHeldTime && !aForwards;
    if (readAt && !keepsAge) {
      aUpdate.age = executor.Now() - *readAt;
    }
    return EncodeFeedUpdate(aUpdate);
  };
  const auto sendAll = [&](std::size_t aTo, bool aForwarded) {
    // Each datagram has the age at its own sending.
    const auto n = EncodeFeedUpdate(aUpdate).size();
    for (std::size_t i = 0; i < n; ++i) {
      auto bytes = bytesNow()[i];
      if (mSchedule.without == Rule::kLastOnly) {
        auto decoded = DecodeFeedUpdate(bytes);
        decoded->age = aUpdate.age;
        bytes = EncodeFeedUpdate(*decoded).at(0);
      }
      mSchedule.SendDatagram(
        mId, aTo, aForwarded ? EncodeForwarded(bytes) : bytes);
    }
  };
  const bool isFar = mId >= kFirstOfFarDomain;
  const std::size_t begin = isFar ? kFirstOfFarDomain : 0;
  const std::size_t end = isFar ? kProcesses : kFirstOfFarDomain;
  if (aForwards) {
    sendAll(isFar ? mSchedule.random.Below(kFirstOfFarDomain)
                  : kFirstOfFarDomain +
                      mSchedule.random.Below(kProcesses - kFirstOfFarDomain),
            true);
  }
  for (auto i = begin; i < end; ++i) {
    if (i != mId) {
      sendAll(i, false);
    }
  }
}

bool
Process::OnRecord(const KeyedRecord& aRecord)
{
  if (aRecord.key != mSchedule.tableKey) {
    return false;
  }
  mTable = std::max(mTable, static_cast<std::int64_t>(aRecord.offset.Value()));
  return true;
}

void
Process::OnProgress(const FeedProgress& aProgress)
{
  Send({ .progress = aProgress }, true);
  if (aProgress.newRecords.empty()) {
    return;
  }
  for (std::size_t i = 0; i < kProcesses; ++i) {
    if (i != mId && !mSchedule.isPeerCutOff[i] &&
        !mSchedule.isPeerCutOff[mId]) {
      mSchedule.clock.After(executor.Delay() + 30ms,
                            [&schedule = mSchedule,
                             i,
                             me = mId,
                             table = mTable,
                             next = aProgress.next] {
                              schedule.processes[i]->OnAnnouncement(
                                me, table, next);
                            });
    }
  }
}

void
Process::OnAnnouncement(std::size_t aPeer, std::int64_t aTable, LogOffset aNext)
{
  executor.Run([this, aPeer, aTable, aNext, alive = std::weak_ptr(mAlive)] {
    if (alive.expired() || aTable <= mTable || mSchedule.random.Below(3) > 0) {
      return;
    }
    mTable = std::max(mTable, mSchedule.processes[aPeer]->mTable);
    if (mTable >= aTable) {
      mFeed.SkipTo(aNext);
    }
  });
}

// Returns the first seed whose schedule violates the property.
std::optional<std::uint64_t>
FindViolation(Rule aWithout)
{
  constexpr std::uint64_t kSeeds = 5000;
  std::size_t confirmations = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Schedule schedule(seed, aWithout);
    if (!schedule.Play()) {
      return seed;
    }
    confirmations += schedule.confirmations;
  }
  // Without confirmations, the property would hold trivially.
  CHECK_TRUE(confirmations > 20 * kSeeds);
  return std::nullopt;
}

} // namespace

TEST_GROUP(FeedStalenessTest){};

// Guards against a request with a revoked key that runs because its relay takes
// an old table for a confirmed one.
TEST(FeedStalenessTest, NoProcessIsConfirmedPastARecordThatItDoesNotKnow)
{
  const auto seed = FindViolation(Rule::kNone);
  LONGS_EQUAL(0, seed.value_or(0));
}

// The following guard against schedules that would not notice a missing rule.
TEST(FeedStalenessTest, CountingFromTheReceiptOfADatagramViolatesTheProperty)
{
  CHECK_TRUE(FindViolation(Rule::kEmptySocket).has_value());
}

TEST(FeedStalenessTest, ForwardingWithoutTheHeldTimeViolatesTheProperty)
{
  CHECK_TRUE(FindViolation(Rule::kHeldTime).has_value());
}

TEST(FeedStalenessTest, IgnoringTheNetworksDelayViolatesTheProperty)
{
  CHECK_TRUE(FindViolation(Rule::kAllowance).has_value());
}

TEST(FeedStalenessTest, AnAgeInEachDatagramOfAReadViolatesTheProperty)
{
  CHECK_TRUE(FindViolation(Rule::kLastOnly).has_value());
}

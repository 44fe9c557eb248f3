#include "coord/keyed_feed.h"

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/virtual_executor.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::Duration;
using firefly::VirtualExecutor;
using firefly::coord::FeedProgress;
using firefly::coord::KeyedBatch;
using firefly::coord::KeyedFeed;
using firefly::coord::KeyedFeedObserver;
using firefly::coord::KeyedLogClient;
using firefly::coord::KeyedReadTerms;
using firefly::coord::KeyedRecord;
using firefly::coord::LogEra;
using firefly::coord::LogError;
using firefly::coord::LogErrorKind;
using firefly::coord::LogOffset;
using firefly::coord::NewestPage;
using firefly::coord::StreamName;

namespace {

constexpr Duration kAnswerTime = std::chrono::milliseconds(4);

// An in-memory compacted stream that can be unavailable and drop its history.
class FakeKeyedLog : public KeyedLogClient
{
public:
  explicit FakeKeyedLog(VirtualExecutor& aExecutor)
    : mExecutor(aExecutor)
  {
  }

  void Put(const std::string& aKey, std::optional<std::string> aValue)
  {
    records.push_back({ aKey, std::move(aValue), OffsetAt(records.size()) });
  }

  // Returns to a copy that has the first records only.
  void Restore(std::size_t aRecords)
  {
    records.resize(aRecords);
    era = LogEra(era.Value() + 1);
    for (std::size_t i = 0; i < records.size(); ++i) {
      records[i].offset = OffsetAt(i);
    }
  }

  [[nodiscard]] LogOffset OffsetAt(std::uint64_t aPosition) const
  {
    return OffsetIn(era, aPosition);
  }

  void DropHistory() { first = records.size(); }

  void ReadNewest(const StreamName& /*aStream*/,
                  const std::string& aAfterKey,
                  NewestCallback aCallback) override
  {
    calls++;
    RunAfterDelay([this, aAfterKey, aCallback] {
      if (isUnavailable) {
        aCallback(
          tl::make_unexpected(LogError{ LogErrorKind::kUnavailable, "" }));
        return;
      }
      std::map<std::string, KeyedRecord> newest;
      for (const auto& it : records) {
        newest[it.key] = it;
      }
      NewestPage page;
      page.end = OffsetAt(records.size());
      for (const auto& [key, it] : newest) {
        if (!it.value || key <= aAfterKey) {
          continue;
        }
        if (page.records.size() == 2) {
          page.hasMore = true;
          break;
        }
        page.records.push_back(it);
      }
      aCallback(page);
    });
  }

  void ReadFrom(const StreamName& /*aStream*/,
                LogOffset aFrom,
                const KeyedReadTerms& aTerms,
                BatchCallback aCallback) override
  {
    calls++;
    if (ignoresWaitingReads && aTerms.wait > Duration::zero()) {
      return;
    }
    RunAfterDelay(
      [this, aFrom, aCallback, maxBytes = aTerms.maxBytes] {
        if (isUnavailable) {
          aCallback(
            tl::make_unexpected(LogError{ LogErrorKind::kUnavailable, "" }));
          return;
        }
        if (PositionOf(aFrom) < first || EraOf(aFrom) != era) {
          aCallback(
            tl::make_unexpected(LogError{ LogErrorKind::kTrimmed, "" }));
          return;
        }
        KeyedBatch batch;
        std::size_t bytes = 0;
        auto next = PositionOf(aFrom);
        for (; next < records.size(); ++next) {
          bytes += records[next].value.value_or("").size();
          if (bytes > maxBytes) {
            break;
          }
          batch.records.push_back(records[next]);
        }
        readBytes += bytes;
        batch.end = OffsetAt(records.size());
        // A rewound log has no records after the offset.
        batch.next = OffsetAt(next);
        aCallback(batch);
      },
      aTerms.wait);
  }

  std::deque<KeyedRecord> records;
  std::uint64_t first = 0;
  LogEra era;
  bool isUnavailable = false;
  // Whether reads that wait for new records get no answer.
  bool ignoresWaitingReads = false;
  // Whether answers to reads that wait for new records are delayed.
  bool delaysForWait = false;
  Duration answerTime = kAnswerTime;
  int calls = 0;
  // Bytes of values in the answers to reads of records after an offset.
  std::size_t readBytes = 0;

private:
  void RunAfterDelay(std::function<void()> aStep, Duration aWait = {})
  {
    mTimers.push_back(mExecutor.RunAfter(
      answerTime + (delaysForWait ? aWait : Duration::zero()),
      std::move(aStep)));
  }

  VirtualExecutor& mExecutor;
  std::deque<firefly::Timer> mTimers;
};

class RecordingObserver : public KeyedFeedObserver
{
public:
  bool OnRecord(const KeyedRecord& aRecord) override
  {
    const auto before = values;
    if (aRecord.value) {
      values[aRecord.key] = *aRecord.value;
    } else {
      values.erase(aRecord.key);
    }
    deliveredRecords++;
    return before != values;
  }
  void OnProgress(const FeedProgress& aProgress) override
  {
    if (onProgress) {
      onProgress(aProgress);
    }
  }
  void OnReadFailing() override
  {
    if (onReadFailing) {
      onReadFailing();
    }
  }
  void OnSnapshot(const std::vector<std::string>& aKeys) override
  {
    std::erase_if(values, [&](const auto& aIt) {
      return std::find(aKeys.begin(), aKeys.end(), aIt.first) == aKeys.end();
    });
    snapshotCount++;
  }
  void OnRestored(LogEra aBefore, LogEra aNow) override
  {
    CHECK(aBefore < aNow);
    restoredCount++;
  }
  void OnLost(const LogError& /*aError*/) override { lostCount++; }
  void OnRegained(Duration aAway) override { outage = aAway; }

  std::map<std::string, std::string> values;
  std::function<void(const FeedProgress&)> onProgress;
  std::function<void()> onReadFailing;
  int deliveredRecords = 0;
  int snapshotCount = 0;
  int lostCount = 0;
  int restoredCount = 0;
  Duration outage{};
};

} // namespace

TEST_GROUP(KeyedFeedTest)
{
  VirtualExecutor executor;
  FakeKeyedLog log{ executor };
  RecordingObserver observer;
  KeyedFeed feed{ { .stream = StreamName("s"), .pause = 100ms, .wait = 100ms },
                  executor,
                  log,
                  observer };
};

TEST(KeyedFeedTest, ReadsAllPagesThenFollows)
{
  for (const auto* key : { "a", "b", "c", "d", "e" }) {
    log.Put(key, "1");
  }
  feed.Start();
  executor.RunFor(1s);
  CHECK_TRUE(feed.Loaded());
  LONGS_EQUAL(5, observer.values.size());
  log.Put("a", "2");
  log.Put("b", std::nullopt);
  executor.RunFor(300ms);
  STRCMP_EQUAL("2", observer.values["a"].c_str());
  LONGS_EQUAL(0, observer.values.count("b"));
}

TEST(KeyedFeedTest, ReadsAllKeysAgainWhenTheHistoryWasDropped)
{
  log.Put("a", "1");
  log.Put("b", "1");
  feed.Start();
  executor.RunFor(1s);
  log.isUnavailable = true;
  executor.RunFor(1s);
  log.Put("a", std::nullopt);
  log.Put("b", "2");
  log.DropHistory();
  log.isUnavailable = false;
  executor.RunFor(2s);
  LONGS_EQUAL(2, observer.snapshotCount);
  LONGS_EQUAL(0, observer.values.count("a"));
  STRCMP_EQUAL("2", observer.values["b"].c_str());
}

TEST(KeyedFeedTest, AnOutageIsReportedOnceAndReadingResumesSoon)
{
  log.Put("a", "1");
  feed.Start();
  executor.RunFor(1s);
  log.isUnavailable = true;
  executor.RunFor(10s);
  LONGS_EQUAL(1, observer.lostCount);
  log.Put("a", "2");
  log.isUnavailable = false;
  executor.RunFor(1300ms); // more than the longest retry delay with its jitter
  STRCMP_EQUAL("2", observer.values["a"].c_str());
  CHECK_TRUE(observer.outage > 9s);
}

// Guards against a process that only it is cut off from the log taking it for
// away, so that it misses what others wrote.
TEST(KeyedFeedTest, TheLogIsAwayOnlyIfPeersCannotReadItEither)
{
  log.Put("a", "1");
  feed.Start();
  executor.RunFor(1s);
  CHECK_FALSE(feed.AwaySince().has_value());
  log.isUnavailable = true;
  const auto began = executor.Now();
  executor.RunFor(1s);
  CHECK_FALSE(feed.AwaySince().has_value());
  feed.OnPeerReadFailing("peer");
  CHECK_TRUE(feed.AwaySince().has_value());
  CHECK_TRUE(*feed.AwaySince() >= began && *feed.AwaySince() < began + 300ms);
  executor.RunFor(4s);
  CHECK_FALSE(feed.AwaySince().has_value()); // the peer no longer says so
  feed.OnPeerReadFailing("peer");
  CHECK_TRUE(feed.AwaySince().has_value());
  log.isUnavailable = false;
  executor.RunFor(1300ms);
  CHECK_FALSE(feed.AwaySince().has_value());
}

TEST(KeyedFeedTest, RetriesDuringAnOutageAreLimited)
{
  feed.Start();
  log.isUnavailable = true;
  executor.RunFor(60s);
  CHECK_TRUE(log.calls < 200);
}

TEST(KeyedFeedTest, AnOlderRecordOfAKeyIsNotDelivered)
{
  log.Put("a", "1");
  log.Put("a", "2");
  feed.Start();
  executor.RunFor(1s);
  STRCMP_EQUAL("2", observer.values["a"].c_str());
  LONGS_EQUAL(1, observer.deliveredRecords);
}

// Guards against a read that waits for new records and hangs on a dead
// connection after a network outage. Found by the standard day of a trial
// (macaskill-rota, scale-2, CONFIG) with the stream of the routing table.
TEST(KeyedFeedTest, RefreshReplacesAHangingRead)
{
  log.Put("a", "1");
  feed.Start();
  executor.RunFor(1s);
  log.ignoresWaitingReads = true;
  executor.RunFor(1s);
  log.Put("a", "2");
  executor.RunFor(5s);
  STRCMP_EQUAL("1", observer.values["a"].c_str());
  feed.Refresh();
  executor.RunFor(100ms);
  STRCMP_EQUAL("2", observer.values["a"].c_str());
}

// Guards against a reader that a backlog keeps behind: it reads the newest
// records at once, however many were written, and not those that they replaced.
TEST(KeyedFeedTest, ABacklogIsSkippedForTheNewestRecords)
{
  constexpr std::size_t kRecordBytes = 100;
  feed.SetMaxReadBytes(3 * kRecordBytes);
  log.Put("a", "0");
  log.Put("gone", "0");
  feed.Start();
  executor.RunFor(1s);
  const auto delivered = observer.deliveredRecords;
  log.Put("gone", std::nullopt);
  for (char it = 'a'; it <= 'z'; ++it) {
    log.Put("a", std::string(kRecordBytes, it));
  }
  log.readBytes = 0;
  // One pause, and two answers.
  executor.RunFor(100ms + 3 * kAnswerTime);
  CHECK(observer.values["a"] == std::string(kRecordBytes, 'z'));
  LONGS_EQUAL(0, observer.values.count("gone"));
  LONGS_EQUAL(delivered + 1, observer.deliveredRecords);
  CHECK_TRUE(log.readBytes <= 4 * kRecordBytes);
  log.Put("a", "next");
  executor.RunFor(300ms);
  STRCMP_EQUAL("next", observer.values["a"].c_str());
}

// Guards against the cost of records that were replaced before they were read.
TEST(KeyedFeedTest, OnlyTheNewestRecordOfAKeyInAnAnswerIsDelivered)
{
  log.Put("a", "0");
  feed.Start();
  executor.RunFor(1s);
  const auto delivered = observer.deliveredRecords;
  log.Put("a", "1");
  log.Put("b", "1");
  log.Put("a", "2");
  executor.RunFor(300ms);
  LONGS_EQUAL(delivered + 2, observer.deliveredRecords);
  STRCMP_EQUAL("2", observer.values["a"].c_str());
  STRCMP_EQUAL("1", observer.values["b"].c_str());
}

// Guards against peers that keep a process from reading a record that their
// messages do not hold.
TEST(KeyedFeedTest, ProgressThatDoesNotCoverAllRecordsDoesNotPostponeReads)
{
  KeyedFeed shared(
    { .stream = StreamName("s"), .pause = 700ms, .maxSharedPause = 1100ms },
    executor,
    log,
    observer);
  log.Put("a", "1");
  shared.SetPeerCount(8);
  shared.Start();
  executor.RunFor(3s);
  const auto end = log.records.size();
  log.Put("a", "2");
  for (int i = 0; i < 6; ++i) {
    shared.ApplyPeerProgress(
      { .from = LogOffset(end), .next = LogOffset(end), .newRecords = {} });
    executor.RunFor(200ms);
  }
  STRCMP_EQUAL("2", observer.values["a"].c_str());
}

namespace {

// The time after which a read that gets no answer fails.
constexpr Duration kRefusalTime = std::chrono::seconds(1);

// One process's access to the log, which may leave it alone without an answer.
class RefusableLog : public KeyedLogClient
{
public:
  explicit RefusableLog(FakeKeyedLog& aLog, VirtualExecutor& aExecutor)
    : mLog(aLog)
    , mExecutor(aExecutor)
  {
  }

  void ReadNewest(const StreamName& aStream,
                  const std::string& aAfterKey,
                  NewestCallback aCallback) override
  {
    if (isRefused) {
      Refuse(std::move(aCallback));
    } else {
      mLog.ReadNewest(aStream, aAfterKey, std::move(aCallback));
    }
  }
  void ReadFrom(const StreamName& aStream,
                LogOffset aFrom,
                const KeyedReadTerms& aTerms,
                BatchCallback aCallback) override
  {
    if (isRefused) {
      Refuse(std::move(aCallback));
    } else {
      mLog.ReadFrom(aStream, aFrom, aTerms, std::move(aCallback));
    }
  }

  bool isRefused = false;

private:
  template<typename Callback>
  void Refuse(Callback aCallback)
  {
    mLog.calls++;
    mTimers.push_back(
      mExecutor.RunAfter(kRefusalTime, [callback = std::move(aCallback)] {
        callback(
          tl::make_unexpected(LogError{ LogErrorKind::kUnavailable, "" }));
      }));
  }

  FakeKeyedLog& mLog;
  VirtualExecutor& mExecutor;
  std::deque<firefly::Timer> mTimers;
};

// Processes that follow one stream and share the progress of their reads.
class SharingProcesses
{
public:
  SharingProcesses(int aCount, VirtualExecutor& aExecutor, FakeKeyedLog& aLog)
    : mObservers(aCount)
    , mExecutor(aExecutor)
  {
    for (int i = 0; i < aCount; ++i) {
      mLogs.emplace_back(aLog, aExecutor);
      mFeeds.emplace_back(
        KeyedFeed::Options{ .stream = StreamName("s"),
                            .pause = 400ms,
                            .maxSharedPause = 1100ms,
                            .wait = 400ms,
                            .seed = 7U + static_cast<std::uint64_t>(i) },
        aExecutor,
        mLogs.back(),
        mObservers[i]);
      mKnown.push_back(aCount - 1);
      mFeeds.back().SetPeerCount(static_cast<std::size_t>(aCount - 1));
      mObservers[i].onProgress = [this, i](const FeedProgress& aProgress) {
        SendProgress(i, aProgress);
      };
      mObservers[i].onReadFailing = [this, i] { SendReadFailing(i); };
    }
    for (auto& it : mFeeds) {
      it.Start();
    }
  }

  // Every process has found this many of the others.
  void SetKnown(int aKnown)
  {
    for (std::size_t i = 0; i < mFeeds.size(); ++i) {
      mKnown[i] = aKnown;
      mFeeds[i].SetPeerCount(static_cast<std::size_t>(aKnown));
    }
  }

  // The log refuses the first aCount processes and serves the others.
  void RefuseSome(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      mLogs[i].isRefused = true;
    }
  }

  [[nodiscard]] bool AllKnow(const std::string& aKey,
                             const std::string& aValue) const
  {
    return std::ranges::all_of(
      mObservers, [&](const RecordingObserver& aObserver) {
        const auto it = aObserver.values.find(aKey);
        return it != aObserver.values.end() && it->second == aValue;
      });
  }

private:
  void SendProgress(int aFrom, const FeedProgress& aProgress)
  {
    for (int n = 1; n <= mKnown[aFrom]; ++n) {
      const auto i = (aFrom + n) % mFeeds.size();
      mDatagrams.push_back(mExecutor.RunAfter(
        1ms, [this, i, aProgress] { mFeeds[i].ApplyPeerProgress(aProgress); }));
    }
  }

  void SendReadFailing(int aFrom)
  {
    for (int i = 0; i < static_cast<int>(mFeeds.size()); ++i) {
      if (i != aFrom) {
        mDatagrams.push_back(
          mExecutor.RunAfter(1ms, [this, i, peer = std::to_string(aFrom)] {
            mFeeds[i].OnPeerReadFailing(peer);
          }));
      }
    }
  }

  std::deque<RecordingObserver> mObservers;
  std::deque<RefusableLog> mLogs;
  // How many of the processes after it each one has found.
  std::deque<int> mKnown;
  std::deque<KeyedFeed> mFeeds;
  std::deque<firefly::Timer> mDatagrams;
  VirtualExecutor& mExecutor;
};

} // namespace

// With shared progress few processes read, and all receive the records. Without
// it, each of the 30 processes would read 12 times or more in these 10 s.
TEST(KeyedFeedTest, ManyProcessesReadAQuietStreamAsRarelyAsFew)
{
  log.Put("a", "1");
  SharingProcesses processes(30, executor, log);
  executor.RunFor(3s);
  const int before = log.calls;
  executor.RunFor(10s);
  CHECK_TRUE(log.calls - before < 80);
  log.Put("a", "2");
  executor.RunFor(1500ms);
  CHECK_TRUE(processes.AllKnow("a", "2"));
}

TEST(KeyedFeedTest, ManyProcessesReadABusyStreamAsRarelyAsFew)
{
  log.Put("a", "1");
  SharingProcesses processes(30, executor, log);
  executor.RunFor(3s);
  const int before = log.calls;
  for (int i = 0; i < 100; ++i) {
    log.Put("a", "1"); // a heartbeat that changes nothing
    executor.RunFor(100ms);
  }
  CHECK_TRUE(log.calls - before < 80);
  log.Put("a", "2");
  executor.RunFor(1500ms);
  CHECK_TRUE(processes.AllKnow("a", "2"));
}

// At the grown sites a call to the log costs a third of the load of a request.
// Therefore about one process may read in each pause of 400 ms, regardless of
// their number: 25 reads in 10 s, plus some that overlap.
TEST(KeyedFeedTest, ThreeHundredProcessesReadAsRarelyAsFew)
{
  log.Put("a", "1");
  SharingProcesses processes(300, executor, log);
  executor.RunFor(3s);
  const int before = log.calls;
  executor.RunFor(10s);
  CHECK_TRUE(log.calls - before < 40);
  log.Put("a", "2");
  executor.RunFor(1500ms);
  CHECK_TRUE(processes.AllKnow("a", "2"));
}

// A fleet that starts: each process loads all keys, then hears of the others
// bit by bit. Without a pause for that, each would read two or three times
// more.
TEST(KeyedFeedTest, ThreeHundredProcessesThatFindEachOtherHardlyReadMeanwhile)
{
  constexpr int kCount = 300;
  log.Put("a", "1");
  SharingProcesses processes(kCount, executor, log);
  processes.SetKnown(0);
  for (int known = 1; known < kCount; known += 15) {
    executor.RunFor(100ms);
    processes.SetKnown(known);
  }
  executor.RunFor(2s);
  // Two pages of keys are not needed here, so each process loads with one call.
  CHECK_TRUE(log.calls < kCount + 150);
  log.Put("a", "2");
  executor.RunFor(1500ms);
  CHECK_TRUE(processes.AllKnow("a", "2"));
}

// While the log is away, the processes together try about as often as they read
// otherwise, instead of each one on its own: 300 processes that retry every
// 0.8 s would make over 1,000 calls in these 4 s.
TEST(KeyedFeedTest, ThreeHundredProcessesTryALogThatRefusesAsRarelyAsFew)
{
  log.Put("a", "1");
  SharingProcesses processes(300, executor, log);
  executor.RunFor(3s);
  const int before = log.calls;
  log.isUnavailable = true;
  executor.RunFor(4s);
  CHECK_TRUE(log.calls - before < 60);
  log.isUnavailable = false;
  log.Put("a", "2");
  executor.RunFor(2s);
  CHECK_TRUE(processes.AllKnow("a", "2"));
}

// The same for a log that takes connections and does not answer: a reader tells
// the others as soon as its answer is overdue.
TEST(KeyedFeedTest, ThreeHundredProcessesTryALogThatHangsAsRarelyAsFew)
{
  log.Put("a", "1");
  SharingProcesses processes(300, executor, log);
  executor.RunFor(3s);
  const int before = log.calls;
  log.answerTime = 1500ms;
  executor.RunFor(4s);
  CHECK_TRUE(log.calls - before < 60);
  log.answerTime = kAnswerTime;
  log.Put("a", "2");
  executor.RunFor(2s);
  CHECK_TRUE(processes.AllKnow("a", "2"));
}

// A log that refuses some processes and serves the others: the refused ones,
// who try again and again, must not keep the others from reading, and learn the
// news from them.
TEST(KeyedFeedTest, ProcessesThatTheLogRefusesDoNotKeepTheOthersFromReading)
{
  const std::vector<std::pair<int, int>> cases{ { 6, 2 },
                                                { 6, 5 },
                                                { 90, 60 } };
  for (const auto& [count, refused] : cases) {
    VirtualExecutor clock;
    FakeKeyedLog store(clock);
    store.Put("a", "1");
    SharingProcesses processes(count, clock, store);
    clock.RunFor(3s);
    processes.RefuseSome(refused);
    clock.RunFor(3s);
    for (int i = 0; i < 10; ++i) {
      const auto value = std::to_string(i + 2);
      store.Put("a", value);
      clock.RunFor(2s);
      CHECK_TRUE(processes.AllKnow("a", value));
    }
  }
}

// Processes that start while the log is away load all keys soon after it has
// answered another process.
TEST(KeyedFeedTest, ProcessesThatStartInAnOutageLoadSoonAfterIt)
{
  log.Put("a", "1");
  log.isUnavailable = true;
  SharingProcesses processes(300, executor, log);
  executor.RunFor(2s);
  const int before = log.calls;
  executor.RunFor(4s);
  CHECK_TRUE(log.calls - before < 60);
  log.isUnavailable = false;
  executor.RunFor(2s);
  CHECK_TRUE(processes.AllKnow("a", "1"));
}

// A configuration must be in force, and a leaving backend server out of use,
// 2 s after the store has it, even in a process that receives no progress of
// other processes.
TEST(KeyedFeedTest,
     AReaderWithoutPeerProgressRecoversWithinTwoSecondsOfAnOutage)
{
  for (int run = 0; run < 40; ++run) {
    VirtualExecutor clock;
    FakeKeyedLog store(clock);
    RecordingObserver aloneObserver;
    store.Put("a", "1");
    KeyedFeed alone({ .stream = StreamName("s"),
                      .pause = 400ms,
                      .maxSharedPause = 1100ms,
                      .wait = 2s,
                      .seed = static_cast<std::uint64_t>(run + 1) },
                    clock,
                    store,
                    aloneObserver);
    alone.SetPeerCount(74);
    alone.Start();
    clock.RunFor(3s);
    store.isUnavailable = true;
    clock.RunFor(5s + run * 100ms);
    store.isUnavailable = false;
    store.Put("a", "2");
    clock.RunFor(2s);
    CHECK_FALSE(alone.Lost());
    STRCMP_EQUAL("2", aloneObserver.values["a"].c_str());
  }
}

// A record that was fetched from a peer is skipped, but later ones are read.
TEST(KeyedFeedTest, SkippedRecordsAreNotDelivered)
{
  log.Put("a", "1");
  feed.Start();
  executor.RunFor(1s);
  const int deliveredRecords = observer.deliveredRecords;
  log.Put("a", "2");
  feed.SkipTo(LogOffset(2));
  executor.RunFor(1s);
  LONGS_EQUAL(deliveredRecords, observer.deliveredRecords);
  log.Put("b", "1");
  executor.RunFor(1s);
  LONGS_EQUAL(1, observer.values.count("b"));
}

TEST(KeyedFeedTest, AnOfferThatLeavesAGapIsRejectedAndTheGapIsRead)
{
  log.Put("a", "1");
  feed.Start();
  executor.RunFor(1s);
  log.ignoresWaitingReads = true;
  executor.RunFor(300ms); // the feed's own read hangs
  log.ignoresWaitingReads = false;
  log.Put("b", "1");
  log.Put("c", "1");
  feed.ApplyPeerProgress({ .from = LogOffset(2),
                           .next = LogOffset(3),
                           .newRecords = { { "c", "1", LogOffset(2) } } });
  // The offer leaves a gap and must be rejected, since "b" would be lost.
  LONGS_EQUAL(0, observer.values.count("c"));
  feed.Refresh();
  executor.RunFor(100ms);
  LONGS_EQUAL(1, observer.values.count("b"));
  LONGS_EQUAL(1, observer.values.count("c"));
}

// A process restarts after a key was withdrawn. A peer's datagram from before,
// which holds only the record that had changed something there, is late.
TEST(KeyedFeedTest, OldNewsOfAPeerDoesNotBringAWithdrawnKeyBack)
{
  log.Put("a", "1");
  log.Put("b", "1");
  log.Put("a", std::nullopt);
  feed.Start();
  executor.RunFor(50ms);
  feed.ApplyPeerProgress({ .from = LogOffset(0),
                           .next = LogOffset(3),
                           .newRecords = { { "a", "1", LogOffset(0) } } });
  LONGS_EQUAL(0, observer.values.count("a"));
  LONGS_EQUAL(1, observer.values.count("b"));
}

// A read says what the log had when it was sent, however late its answer is.
TEST(KeyedFeedTest, AReadConfirmsTheInstantAtWhichItWasSent)
{
  log.Put("a", "1");
  CHECK_FALSE(feed.ConfirmedAt().has_value());
  const auto loadedAt = executor.Now();
  feed.Start();
  CHECK_FALSE(feed.ConfirmedAt().has_value());
  executor.RunFor(kAnswerTime);
  CHECK(feed.ConfirmedAt() == loadedAt);
  log.answerTime = 3s;
  executor.RunFor(100ms);
  const auto sentAt = executor.Now();
  executor.RunFor(3s);
  CHECK(feed.ConfirmedAt() == sentAt);
}

// Guards against a decision that waits for as long as the log may delay an
// answer.
TEST(KeyedFeedTest, AReadAtOnceConfirmsNowWhileAnotherOneWaits)
{
  log.Put("a", "1");
  log.delaysForWait = true;
  KeyedFeed patient({ .stream = StreamName("s"), .pause = 100ms, .wait = 20s },
                    executor,
                    log,
                    observer);
  patient.Start();
  executor.RunFor(1s);
  const auto now = executor.Now();
  CHECK_TRUE(*patient.ConfirmedAt() < now);
  patient.ReadAtOnce();
  executor.RunFor(kAnswerTime);
  CHECK_TRUE(patient.ConfirmedAt() == now);
}

// Guards against a slow log whose answers are discarded for later reads, so
// that nothing is ever confirmed.
TEST(KeyedFeedTest, ReadsAtOnceDoNotReplaceEachOther)
{
  log.Put("a", "1");
  feed.Start();
  executor.RunFor(1s);
  log.answerTime = 300ms;
  for (int i = 0; i < 40; ++i) {
    feed.ReadAtOnce();
    executor.RunFor(50ms);
  }
  CHECK_TRUE(*feed.ConfirmedAt() > executor.Now() - 700ms);
}

// Guards against more calls to a log that refuses them.
TEST(KeyedFeedTest, ALostLogIsNotReadAtOnce)
{
  log.Put("a", "1");
  feed.Start();
  executor.RunFor(1s);
  log.isUnavailable = true;
  executor.RunFor(1s);
  const int before = log.calls;
  for (int i = 0; i < 100; ++i) {
    feed.ReadAtOnce();
  }
  LONGS_EQUAL(before, log.calls);
}

TEST(KeyedFeedTest, OnlyContiguousProgressOfAPeerConfirms)
{
  const auto offer = [this](int aFrom, int aNext, firefly::Instant aReadAt) {
    feed.ApplyPeerProgress({ .from = LogOffset(aFrom),
                             .next = LogOffset(aNext),
                             .newRecords = {},
                             .readAt = aReadAt });
    return feed.ConfirmedAt();
  };
  log.Put("a", "1");
  log.Put("a", "2");
  // Before the load, it is not known what the earlier records are.
  CHECK_FALSE(offer(0, 2, executor.Now()).has_value());
  feed.Start();
  executor.RunFor(50ms);
  const auto loaded = feed.ConfirmedAt();
  const auto later = *loaded + 40ms;
  CHECK(offer(3, 4, later) == loaded); // leaves a gap
  CHECK(offer(0, 1, later) == loaded); // ends before the known records
  feed.SkipTo(LogOffset(3));           // a table that was fetched from a peer
  CHECK(feed.ConfirmedAt() == loaded);
  CHECK(offer(2, 4, later) == later);
  CHECK(offer(4, 5, later - 30ms) == later); // never decreases
}

// A log that was rewound answers, but what it says is not the newest state.
TEST(KeyedFeedTest, AnAnswerThatEndsBeforeTheKnownRecordsConfirmsNothing)
{
  log.Put("a", "1");
  log.Put("a", "2");
  log.Put("a", "3");
  feed.Start();
  executor.RunFor(1s);
  log.records.pop_back();
  executor.RunFor(200ms);
  const auto before = feed.ConfirmedAt();
  executor.RunFor(5s);
  CHECK(feed.ConfirmedAt() == before);
  log.first = 4; // the next read starts anew, with the newest records
  feed.Refresh();
  executor.RunFor(50ms);
  LONGS_EQUAL(2, observer.snapshotCount);
  CHECK(feed.ConfirmedAt() == before);
  log.first = 0;
  feed.ApplyPeerProgress({ .from = LogOffset(2),
                           .next = LogOffset(2),
                           .newRecords = {},
                           .readAt = executor.Now() });
  CHECK(feed.ConfirmedAt() == before);
  log.Put("a", "3");
  executor.RunFor(1s);
  CHECK(feed.ConfirmedAt() > before);
}

// A record that is appended between two pages of the newest records is known
// with the second one. The next read must share it, also if a newer record of
// its key was known already: other processes move past it with the progress.
TEST(KeyedFeedTest, SharesRecordsThatWereAppendedWhileItLoaded)
{
  for (const auto* key : { "a", "b", "c" }) {
    log.Put(key, "1");
  }
  std::vector<KeyedRecord> shared;
  observer.onProgress = [&](const FeedProgress& aProgress) {
    shared.insert(
      shared.end(), aProgress.newRecords.begin(), aProgress.newRecords.end());
  };
  feed.Start();
  executor.RunFor(kAnswerTime); // the first page, with "a" and "b"
  log.Put("c", "2");
  log.Put("c", "3");
  executor.RunFor(1s);
  STRCMP_EQUAL("3", observer.values["c"].c_str());
  LONGS_EQUAL(2, shared.size());
  LONGS_EQUAL(3, shared[0].offset.Value());
  LONGS_EQUAL(4, shared[1].offset.Value());
}

namespace {

enum class Peers
{
  kNone,
  // Their progress arrives so late that it confirms nothing.
  kLate,
  // Their progress does not cover all records.
  kIncomplete,
};

// The age of the confirmation of a process that hears such peers while the log
// delays the answers to reads that wait for new records.
Duration
OldestConfirmation(Duration aConfirmWithin, Peers aPeers)
{
  const bool hasPeers = aPeers != Peers::kNone;
  VirtualExecutor clock;
  FakeKeyedLog store(clock);
  RecordingObserver observer;
  store.Put("a", "1");
  KeyedFeed feed({ .stream = StreamName("s"),
                   .pause = 700ms,
                   .maxSharedPause = 1100ms,
                   .wait = 20s,
                   .confirmWithin = aConfirmWithin },
                 clock,
                 store,
                 observer);
  feed.SetPeerCount(hasPeers ? 5 : 0);
  feed.Start();
  store.delaysForWait = true;
  Duration oldest{};
  for (int i = 0; i < 600; ++i) {
    clock.RunFor(50ms);
    if (hasPeers) {
      FeedProgress progress{ .from = LogOffset(1),
                             .next = LogOffset(1),
                             .newRecords = {} };
      if (aPeers == Peers::kLate) {
        progress.readAt = firefly::Instant{};
      }
      feed.ApplyPeerProgress(progress);
    }
    oldest = std::max(oldest, clock.Now() - *feed.ConfirmedAt());
  }
  return oldest;
}

} // namespace

// Peers' progress that arrives too late to confirm anything must not keep a
// process from reading, which would reject all authenticated requests.
TEST(KeyedFeedTest, UnconfirmingProgressDoesNotPostponeReadsForever)
{
  CHECK_TRUE(OldestConfirmation(3s, Peers::kLate) < 4s);
  CHECK_TRUE(OldestConfirmation(0s, Peers::kLate) > 20s);
  CHECK_TRUE(OldestConfirmation(3s, Peers::kIncomplete) < 4s);
  CHECK_TRUE(OldestConfirmation(0s, Peers::kIncomplete) < 4s);
}

// A read that the log delays for 20 s confirms an instant 20 s ago.
TEST(KeyedFeedTest, AReaderWithoutPeersLetsTheLogDelayItsAnswersOnlyBriefly)
{
  CHECK_TRUE(OldestConfirmation(3s, Peers::kNone) < 3s);
  CHECK_TRUE(OldestConfirmation(0s, Peers::kNone) > 20s);
}

// Guards against records of a restored log that are taken for old ones because
// their positions were given to others before.
TEST(KeyedFeedTest, RecordsWrittenAfterARestoreAreDelivered)
{
  for (const auto* value : { "10", "11", "12", "13" }) {
    log.Put("config", value);
  }
  log.Put("b1", "open");
  feed.Start();
  executor.RunFor(1s);
  STRCMP_EQUAL("13", observer.values["config"].c_str());
  log.Restore(1);
  executor.RunFor(1s);
  LONGS_EQUAL(1, observer.restoredCount);
  LONGS_EQUAL(0, observer.values.count("b1"));
  log.Put("config", "13");
  log.Put("b1", "leaving");
  executor.RunFor(300ms);
  STRCMP_EQUAL("13", observer.values["config"].c_str());
  STRCMP_EQUAL("leaving", observer.values["b1"].c_str());
  // Once more, before the log has reached the position of the first time.
  log.Restore(2);
  log.Put("config", "14");
  executor.RunFor(1s);
  LONGS_EQUAL(2, observer.restoredCount);
  STRCMP_EQUAL("14", observer.values["config"].c_str());
}

TEST(KeyedFeedTest, ARestoreThatEndsAtTheSamePositionIsNoticed)
{
  log.Put("a", "1");
  log.Put("a", "2");
  feed.Start();
  executor.RunFor(1s);
  log.Restore(1);
  log.Put("b", "3");
  executor.RunFor(1s);
  LONGS_EQUAL(1, observer.restoredCount);
  STRCMP_EQUAL("1", observer.values["a"].c_str());
  STRCMP_EQUAL("3", observer.values["b"].c_str());
}

TEST(KeyedFeedTest, ProgressOfAPeerOfAnotherEraIsNotJoined)
{
  log.Put("a", "1");
  log.Put("a", "2");
  feed.Start();
  executor.RunFor(1s);
  const auto next = feed.Next();
  const auto later = firefly::coord::OffsetIn(LogEra(1), 0);
  feed.ApplyPeerProgress({ .from = later,
                           .next = firefly::coord::OffsetIn(LogEra(1), 1),
                           .newRecords = { { "a", "3", later } } });
  CHECK(feed.Next() == next);
  STRCMP_EQUAL("2", observer.values["a"].c_str());
  log.Restore(0);
  log.Put("a", "3");
  executor.RunFor(1s);
  const auto restored = feed.Next();
  STRCMP_EQUAL("3", observer.values["a"].c_str());
  feed.ApplyPeerProgress({ .from = next,
                           .next = LogOffset(next.Value() + 1),
                           .newRecords = { { "a", "9", next } } });
  CHECK(feed.Next() == restored);
  STRCMP_EQUAL("3", observer.values["a"].c_str());
}

// Guards against a key that peers keep although it was set and removed within
// one answer: the reader does not know it before, so that nothing changes
// there.
TEST(KeyedFeedTest, PeersLearnTheRemovalOfAKeyThatWasSetInTheSameAnswer)
{
  log.Put("a", "1");
  RecordingObserver peerObserver;
  KeyedFeed peer{ { .stream = StreamName("s"), .pause = 1h, .wait = 100ms },
                  executor,
                  log,
                  peerObserver };
  peer.Start();
  feed.Start();
  executor.RunFor(50ms);
  observer.onProgress = [&](const FeedProgress& aProgress) {
    peer.ApplyPeerProgress(aProgress);
  };
  log.Put("b", "open");
  log.Put("b", std::nullopt);
  executor.RunFor(1s);
  CHECK(peer.Next() == feed.Next());
  LONGS_EQUAL(0, observer.values.count("b"));
  LONGS_EQUAL(0, peerObserver.values.count("b"));
}

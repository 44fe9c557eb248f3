#pragma once

// Follows one compacted stream: first the newest record of each key, then
// every further record, through outages and compactions of the log.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "coord/keyed_log.h"
#include "core/executor.h"
#include "core/random.h"

namespace firefly::coord {

// What one read of a stream brought.
struct FeedProgress
{
  // The offsets that it covers: from the first one on, up to the next one.
  LogOffset from;
  LogOffset next;
  // Those of its records that say something new.
  std::vector<KeyedRecord> news;
};

// Hears what the stream says, in order of offsets for each key.
class KeyedFeedObserver
{
public:
  virtual ~KeyedFeedObserver() = default;

  // Returns whether the record says something new.
  virtual bool OnRecord(const KeyedRecord& aRecord) = 0;
  // A read of the log went that far, if only to find that nothing has come. It
  // is of use to others that follow the same stream.
  virtual void OnProgress(const FeedProgress& aProgress) = 0;
  // All keys were read afresh; the ones named are all there are.
  virtual void OnSnapshot(const std::vector<std::string>& aKeys) = 0;
  // The log does not answer; what is known gets older.
  virtual void OnLost(const LogError& aError) = 0;
  // It answers again, after that long.
  virtual void OnRegained(Duration aAway) = 0;
};

class KeyedFeed
{
public:
  struct Options
  {
    StreamName stream;
    // Between two reads, so that one call brings several records.
    Duration pause{};
    // The longest pause while others tell of their reads; each picks one at
    // random, few of them a short one, and whoever hears of a read waits
    // afresh.
    Duration sharedPause{};
    // How long the log may hold a read until a record comes.
    Duration wait{};
    // Before a read is tried again: the first time, and at most.
    Duration firstRetry = std::chrono::milliseconds(100);
    Duration longestRetry = std::chrono::milliseconds(800);
    std::uint64_t seed = 1; // of the retries' jitter
  };

  // Log and observer must outlive the feed.
  KeyedFeed(Options aOptions,
            Executor& aExecutor,
            KeyedLogClient& aLog,
            KeyedFeedObserver& aObserver);

  // Begins to read; call it once.
  void Start();

  // Reads at once, without the wait, whatever call is under way: that one may
  // hang on a connection that is dead, or there may be news.
  void Refresh();

  // So many others follow the same stream and tell of their reads.
  void Share(std::size_t aOthers) { mOthers = aOthers; }

  // Another process read the stream.
  void Offer(const FeedProgress& aProgress);

  // What stands before that offset is known from elsewhere.
  void Skip(LogOffset aNext);

  // Whether all keys were read at least once.
  [[nodiscard]] bool Loaded() const { return mLoaded; }

  // Whether the last read failed.
  [[nodiscard]] bool Lost() const { return mLost; }

  // When the log last said what is newest; the epoch if never.
  [[nodiscard]] Instant Heard() const { return mHeard; }

private:
  void Load();
  void OnPage(tl::expected<NewestPage, LogError> aPage);
  void Follow();
  void Read(Duration aWait);
  void OnBatch(tl::expected<KeyedBatch, LogError> aBatch);
  bool Take(const KeyedRecord& aRecord);
  [[nodiscard]] bool IsShared() const;
  [[nodiscard]] Duration NextPause();
  void Hear();
  void Lose(const LogError& aError);
  void Later(Duration aDelay, void (KeyedFeed::*aStep)());

  Options mOptions;
  Executor& mExecutor;
  KeyedLogClient& mLog;
  KeyedFeedObserver& mObserver;
  Random mRandom;
  // The newest offset taken of each key that was seen.
  std::map<std::string, LogOffset> mTaken;
  std::vector<std::string> mPageKeys;
  LogOffset mNext;
  bool mFirstPage = true;
  bool mLoaded = false;
  bool mFollowing = false;
  std::size_t mOthers = 0;
  // A read is under way.
  bool mReading = false;
  Instant mHeard{};
  Instant mLostAt{};
  bool mLost = false;
  Duration mRetry{};
  // Of the newest call; answers to older ones are dropped.
  std::uint64_t mCall = 0;
  Timer mTimer;
};

} // namespace firefly::coord

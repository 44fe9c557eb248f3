#pragma once

// Follows one compacted stream: reads the newest record of each key, then every
// further record, and recovers from outages and compactions of the log. If more
// was written than one answer holds, it reads the newest record of each key at
// once instead of the records that they replaced.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coord/keyed_log.h"
#include "core/executor.h"
#include "core/random.h"

namespace firefly::coord {

// The result of one read of a stream.
struct FeedProgress
{
  // The read covers the offsets from `from` up to, but not including, `next`.
  LogOffset from;
  LogOffset next;
  // The records of the read that changed what the observer knows.
  std::vector<KeyedRecord> newRecords;
  // An instant of this process's clock that is not after the sending of the
  // read, if the read covers all records that the log had then. For the read of
  // another process, the receiver of its message derives it from the age that
  // the message states. An instant is kept here instead of the age, because an
  // age becomes wrong while the process holds the message or is stopped.
  std::optional<Instant> readAt{};
};

// Receives the stream's records, in order of offsets for each key.
class KeyedFeedObserver
{
public:
  virtual ~KeyedFeedObserver() = default;

  // Called for each record that is newer than the last one of its key, unless
  // the same answer holds a still newer one. Returns
  // whether it changed what the observer knows. A record whose content it knows
  // from another source than the feed counts as a change, because processes
  // that receive the progress may not know it.
  virtual bool OnRecord(const KeyedRecord& aRecord) = 0;
  // Called after each successful read of further records by this process, also
  // if it found none, and when the log answers again. The progress can be
  // offered to other processes that follow the same stream.
  virtual void OnProgress(const FeedProgress& aProgress) = 0;
  // Called after the newest records of all keys were read. aKeys lists every
  // key that exists.
  virtual void OnSnapshot(const std::vector<std::string>& aKeys) = 0;
  // Called when the answer to a read ends at aNext, before aEnd, the end of the
  // stream at that time. OnSnapshot() follows when the newest records of all
  // keys have been read.
  virtual void OnBehind(LogOffset /*aNext*/, LogOffset /*aEnd*/) {}
  // Called when the log turns out to have been restored from a copy, before the
  // records of the new era are delivered. What was read before may be missing
  // there, and the copy may hold older records of a key. OnSnapshot() follows.
  virtual void OnRestored(LogEra /*aBefore*/, LogEra /*aNow*/) {}
  // Called when a read fails, unless the feed is lost already. Until
  // OnRegained(), the known records may be out of date.
  virtual void OnLost(const LogError& aError) = 0;
  // Called when a read fails or its answer is overdue. Other processes that
  // follow the same stream can be told, so that not all of them try a log that
  // does not answer.
  virtual void OnReadFailing() {}
  // Called after OnLost() when a read succeeds or another process's progress is
  // applied. aAway is the time since OnLost().
  virtual void OnRegained(Duration aAway) = 0;
};

class KeyedFeed
{
public:
  struct Options
  {
    StreamName stream;
    // The pause between two reads, so that one call returns several records.
    Duration pause{};
    // The maximum pause while other processes share the progress of their
    // reads. Each process draws a random pause, with short ones being rare, and
    // draws a new one whenever it receives another's progress.
    Duration maxSharedPause{};
    // How long the log may delay the answer to a read until a record arrives.
    Duration wait{};
    // The size of one answer. If less was written since the last read, the
    // answer holds all of it.
    std::size_t maxReadBytes = std::size_t{ 1 } << 20U;
    // An answer that the log need not delay is overdue after this time.
    Duration overdueAfter = std::chrono::milliseconds(100);
    // The initial and the maximum delay before a failed read is retried. The
    // delay doubles with each failure. If other processes share their reads,
    // the initial delay is the pause.
    Duration firstRetry = std::chrono::milliseconds(100);
    Duration longestRetry = std::chrono::milliseconds(800);
    // While the confirmation is older than this, another process's progress
    // does not postpone this process's next read; 0 means that it always does.
    // Otherwise a process that others' progress reaches too late to confirm
    // anything would never read by itself. A read waits at most for a quarter
    // of this.
    Duration confirmWithin{};
    std::uint64_t seed = 1; // of the retries' jitter
  };

  // The log client and the observer must outlive the feed. The client must not
  // answer calls of the feed after the feed was destroyed.
  KeyedFeed(Options aOptions,
            Executor& aExecutor,
            KeyedLogClient& aLog,
            KeyedFeedObserver& aObserver);

  // Starts reading; must be called exactly once.
  void Start();

  // Reads at once, without waiting for new records, and ignores the answer to a
  // read that is in progress, since that read may hang on a dead connection.
  // Does nothing while the newest records of all keys are being read.
  void Refresh();

  // Reads at once, without waiting for new records, because this process must
  // know all changes up to now. A read whose answer the log does not delay is
  // not repeated, so that a slow log is read at all: call this again after its
  // progress. Does nothing while the log is lost.
  void ReadAtOnce();

  // Reads the newest records of all keys, unless that is in progress.
  // OnSnapshot() follows, or OnLost() if the feed is not lost already.
  void ReadNewest();

  // Sets the size of one answer for the next reads.
  void SetMaxReadBytes(std::size_t aBytes) { mOptions.maxReadBytes = aBytes; }

  // The same, but only if a read is in progress.
  void RefreshHangingRead();

  // Sets the number of other processes that follow the same stream and share
  // the progress of their reads. While more and more of them are found, the
  // next read is postponed: processes that start together would otherwise all
  // read before they hear of each other.
  void SetPeerCount(std::size_t aPeerCount);

  // Takes over the progress of another process's read. Ignores it while the
  // newest records of all keys are being read, or if it is older than this
  // process's own progress. If it leaves a gap, the feed reads the log soon
  // instead. If it is applied, it confirms its readAt.
  void ApplyPeerProgress(const FeedProgress& aProgress);

  // Called when a read of the peer has failed or is overdue. Postpones this
  // process's next read like another's progress does, so that all processes
  // together try a log that does not answer as rarely as they read. Unless this
  // process's own reads fail as well, a peer postpones it only once until there
  // is progress again: if the log refuses just some processes, they must not
  // keep the others from reading.
  void OnPeerReadFailing(const std::string& aPeer);

  // Skips the records before the offset, because their content is known from
  // another source, and postpones this process's next read. Ignored while the
  // newest records of all keys are being read. Confirms nothing, since it is
  // not known when that source read the log.
  void SkipTo(LogOffset aNext);

  // Whether all keys have been read at least once.
  [[nodiscard]] bool Loaded() const { return mIsLoaded; }

  // Whether a read failed and since then no read has succeeded and no progress
  // of another process was applied.
  [[nodiscard]] bool Lost() const { return mIsLost; }

  // The offset up to which the stream is known.
  [[nodiscard]] LogOffset Next() const { return mNext; }

  // Since when neither this process nor any other that it hears of has been
  // able to read the log; empty if one of them has, or if this process hears of
  // none.
  [[nodiscard]] std::optional<Instant> AwaySince() const;

  // Reads soon, unless a read is in progress, because this process must know
  // whether something has changed.
  void ConfirmSoon();

  // When this process last learned the newest state of the log, by its own read
  // or another process's progress; the epoch if never.
  [[nodiscard]] Instant CurrentAt() const { return mCurrentAt; }

  // The latest instant at which this process is known to have had all records
  // that the log had acknowledged. It never decreases. Empty until all keys
  // have been read once.
  [[nodiscard]] std::optional<Instant> ConfirmedAt() const
  {
    return mConfirmedAt;
  }

private:
  void Load();
  void OnPage(tl::expected<NewestPage, LogError> aPage);
  void Follow();
  void Read(Duration aWait);
  void OnBatch(tl::expected<KeyedBatch, LogError> aBatch);
  // Whether the record or a newer one of its key was delivered.
  [[nodiscard]] bool IsDelivered(const KeyedRecord& aRecord) const;
  bool DeliverIfNewer(const KeyedRecord& aRecord);
  [[nodiscard]] bool IsShared() const;
  [[nodiscard]] Duration NextPause();
  // The random part of a pause between shared reads.
  [[nodiscard]] Duration SpreadPause();
  void MarkCurrent();
  void Confirm(std::optional<Instant> aInstant);
  [[nodiscard]] bool IsConfirmationOld() const;
  // Sets the offset up to which the stream is known.
  void SetNext(LogOffset aNext);
  void HandleFailure(const LogError& aError);
  void WatchAnswer();
  // Schedules a read within that time that failures of peers do not postpone.
  void ReadSoon(Duration aWithin);
  void Schedule(Duration aDelay, void (KeyedFeed::*aStep)());

  Options mOptions;
  Executor& mExecutor;
  KeyedLogClient& mLog;
  KeyedFeedObserver& mObserver;
  Random mRandom;
  // The offset of the newest record delivered for each key.
  std::map<std::string, LogOffset> mNewestOffsets;
  std::vector<std::string> mPageKeys;
  LogOffset mNext;
  // The largest value of mNext so far.
  LogOffset mKnownEnd;
  // The value of mKnownEnd when the current read, or the first page of the
  // newest records, was requested.
  LogOffset mKnownEndAtRead;
  // When the first page of the newest records was requested, if the log's
  // answer did not end before the records known then.
  std::optional<Instant> mLoadAt;
  bool mFirstPage = true;
  bool mIsLoaded = false;
  bool mIsFollowing = false;
  std::size_t mPeerCount = 0;
  // Whether a read is in progress.
  bool mIsReading = false;
  // Whether the log may delay the answer to that read.
  bool mMayAnswerLate = false;
  // Whether a read was scheduled by ReadSoon() and has not begun.
  bool mIsReadDue = false;
  Instant mCurrentAt{};
  Instant mLostAt{};
  bool mIsLost = false;
  Duration mRetryDelay{};
  // The last retry delay since this process's last successful read. Reads of
  // others do not reset it, because the log may answer them alone.
  Duration mOwnBackoff{};
  // Peers whose reads have failed since the last progress.
  std::set<std::string> mFailingPeers;
  // When a read of a peer last failed.
  std::optional<Instant> mPeerFailedAt;
  // When the first read that failed in the current outage began.
  Instant mFirstFailedReadAt{};
  // When this process last began to read, taken before the call.
  Instant mReadAt{};
  std::optional<Instant> mConfirmedAt;
  // The number of the newest call. Answers to older calls are dropped.
  std::uint64_t mCallNumber = 0;
  Timer mTimer;
  Timer mOverdueTimer;
};

} // namespace firefly::coord

#pragma once

// Follows one stream of the log and delivers its records in order.

#include <cstddef>
#include <cstdint>
#include <optional>

#include "coord/callback_guard.h"
#include "coord/log_client.h"
#include "core/executor.h"
#include "core/random.h"

namespace firefly::coord {

// Receives the records of a stream.
class StreamListener
{
public:
  virtual ~StreamListener() = default;

  // Reading starts, or starts again because retention removed records before
  // they were read, or all records that were read, or because the stream ends
  // before the position of the reader. The listener must discard its state,
  // since a new reader could not reproduce it. aFirst is the offset of the
  // first record to be delivered; position zero means that the complete history
  // follows.
  virtual void OnRestart(LogOffset aFirst) = 0;

  // The next record; each offset is delivered once between two restarts.
  virtual void OnRecord(const LogRecord& aRecord) = 0;

  // All records before aEnd, the end of the stream at the time of the read,
  // have been delivered.
  virtual void OnCaughtUp(LogOffset aEnd) = 0;
};

// Polls a stream, starting at its oldest kept record.
class StreamReader
{
public:
  struct Options
  {
    StreamName stream;
    // The pause between reads at the end of the stream, with a jitter of 25 %
    // in both directions.
    Duration pollInterval = std::chrono::seconds(1);
    // The maximum delay after errors; the delay doubles with each error.
    Duration maxBackoff = std::chrono::seconds(8);
    // A read without an answer is abandoned after this time.
    Duration readTimeout = std::chrono::seconds(5);
    std::size_t batchLimit = 1000;
    std::uint64_t seed = 1; // of the jitter
  };

  StreamReader(Options aOptions,
               Executor& aExecutor,
               LogClient& aLog,
               StreamListener& aListener);

  // Starts reading; must be called exactly once.
  void Start();

  // Reads at once instead of at the next poll, for example after an append. If
  // a read is in progress, the next one follows it at once.
  void ReadNow();

  // Whether the end of the stream has been reached since the last restart.
  [[nodiscard]] bool CaughtUp() const { return mCaughtUpAt.has_value(); }

  // When the last read that reached the end was sent: all records that were in
  // the log at that time have been delivered. Empty until the end was reached
  // since the last restart.
  [[nodiscard]] std::optional<Instant> FreshAt() const { return mCaughtUpAt; }

  // The offset of the next record to deliver.
  [[nodiscard]] LogOffset Position() const { return mNext; }

  // Counters since creation.
  [[nodiscard]] std::uint64_t Reads() const { return mReads; }
  [[nodiscard]] std::uint64_t Failures() const { return mFailures; }
  [[nodiscard]] std::uint64_t Restarts() const { return mRestarts; }

private:
  void Read();
  void OnAnswer(std::uint64_t aRead,
                Instant aSent,
                const tl::expected<LogBatch, LogError>& aAnswer);
  void OnBatch(Instant aSent, const LogBatch& aBatch);
  void OnFailure(const LogError& aError);
  bool HasLostRecords(const LogBatch& aBatch) const;
  void Restart(LogOffset aFirst);
  void Deliver(const LogBatch& aBatch);
  void ReadAfter(Duration aDelay);
  Duration Jittered(Duration aDelay);

  Options mOptions;
  Executor& mExecutor;
  LogClient& mLog;
  StreamListener& mListener;
  Random mRandom;
  LogOffset mNext;
  LogOffset mRunStart; // the offset passed to the newest OnRestart()
  std::optional<Instant> mCaughtUpAt;
  bool mHasStarted = false; // OnRestart() was called for the present run
  bool mIsReading = false;
  bool mReadAgain = false;
  Duration mBackoff{};
  std::uint64_t mReads = 0;
  std::uint64_t mFailures = 0;
  std::uint64_t mRestarts = 0;
  Timer mTimer;
  Timer mTimeout;
  CallbackGuard mGuard;
};

} // namespace firefly::coord

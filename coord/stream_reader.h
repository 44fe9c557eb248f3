#pragma once

// Tails one stream of the log and delivers its records in order.

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

  // Reading starts, or starts again because records were lost to retention
  // before they were read, or because all that were read are gone by now: all
  // that was folded is void, since a fresh reader would not find it. aFirst is
  // the first record to come; offset zero means that the whole history comes.
  virtual void OnRestart(LogOffset aFirst) = 0;

  // The next record; each offset is delivered once.
  virtual void OnRecord(const LogRecord& aRecord) = 0;

  // All records up to the end, as it was when the read was sent, were given.
  virtual void OnCaughtUp(LogOffset aEnd) = 0;
};

// Polls a stream from its oldest kept record on.
class StreamReader
{
public:
  struct Options
  {
    StreamName stream;
    // Between reads at the end of the stream, jittered by a quarter.
    Duration pollInterval = std::chrono::seconds(1);
    // The longest wait after errors; the wait doubles with each one.
    Duration maxBackoff = std::chrono::seconds(8);
    // Without an answer for this long a read is given up.
    Duration readTimeout = std::chrono::seconds(5);
    std::size_t batchLimit = 1000;
    std::uint64_t seed = 1; // of the jitter
  };

  StreamReader(Options aOptions,
               Executor& aExecutor,
               LogClient& aLog,
               StreamListener& aListener);

  // Begins to read; call it once.
  void Start();

  // Reads again at once, such as after an append.
  void Poke();

  // Whether the end of the stream has been reached since the last restart.
  [[nodiscard]] bool CaughtUp() const { return mCaughtUp.has_value(); }

  // When the last read that reached the end was sent: all that was in the log
  // then has been delivered. Nothing before the end was reached once.
  [[nodiscard]] std::optional<Instant> FreshAt() const { return mCaughtUp; }

  // The offset of the next record to deliver.
  [[nodiscard]] LogOffset Position() const { return mNext; }

  // Counters since the start.
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
  bool Lost(const LogBatch& aBatch) const;
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
  LogOffset mRunStart; // where the listener was told that reading starts
  std::optional<Instant> mCaughtUp;
  bool mStarted = false; // the listener was told where reading starts
  bool mBusy = false;
  bool mPoked = false;
  Duration mBackoff{};
  std::uint64_t mReads = 0;
  std::uint64_t mFailures = 0;
  std::uint64_t mRestarts = 0;
  Timer mTimer;
  Timer mTimeout;
  CallbackGuard mGuard;
};

} // namespace firefly::coord

#pragma once

// Appends records to a stream in batches.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "coord/callback_guard.h"
#include "coord/log_client.h"
#include "coord/record.h"
#include "core/executor.h"
#include "core/random.h"

namespace firefly::coord {

enum class WriteErrorKind
{
  kNotAppended, // the record had no effect and never will
  kUnknown,     // the record may be in the stream, or be added to it later
  kQueueFull,   // not appended: the queue is full
};

// Why a record could not be confirmed as appended.
struct WriteError
{
  WriteErrorKind kind = WriteErrorKind::kUnknown;
  std::string message;
};

// Sends one batch at a time; further records wait for the next one. A batch
// that was not answered is appended again, since folds ignore the duplicates.
class LogWriter
{
public:
  using Callback = std::function<void(tl::expected<LogOffset, WriteError>)>;

  struct Options
  {
    StreamName stream;
    WriterId writer;
    // How long a record waits for others to share its append.
    Duration linger = std::chrono::milliseconds(5);
    std::size_t maxBatchRecords = 512;
    // A batch ends with the record that reaches this size.
    std::size_t maxBatchBytes = 262144;
    std::size_t maxQueue = 16384;
    // The outcome of an append without an answer is unknown after this time.
    Duration appendTimeout = std::chrono::seconds(2);
    // The mean delay before a batch is retried.
    Duration retryDelay = std::chrono::milliseconds(100);
    std::uint64_t seed = 1; // of the jitter
  };

  LogWriter(Options aOptions, Executor& aExecutor, LogClient& aLog);

  // Queues a record. After aDeadline it is abandoned at the next send or call
  // of GiveUpLate(). The callback runs once and never inside this call, with
  // the record's offset or with the error of a record that was abandoned or not
  // queued; it is dropped if the writer is destroyed.
  RecordId Append(RecordKind aKind,
                  std::string aBody,
                  Instant aDeadline,
                  Callback aCallback);

  // Abandons the records whose deadline has passed, except for those of an
  // append in progress. Callbacks may run inside this call.
  void GiveUpLate();

  // Counters since creation.
  [[nodiscard]] std::uint64_t Appends() const { return mAppends; }
  [[nodiscard]] std::uint64_t Records() const { return mRecords; }
  [[nodiscard]] std::size_t Queued() const { return mQueue.size(); }

private:
  struct QueuedRecord
  {
    std::string payload;
    Instant deadline;
    Callback callback;
    bool isUncertain = false; // an append of it may have taken effect
  };

  void ScheduleSend();
  void Send();
  void ExtractExpired(std::deque<QueuedRecord>& aQueue,
                      std::vector<QueuedRecord>& aExpired) const;
  void FillBatch();
  void OnAnswer(std::uint64_t aAttempt,
                const tl::expected<LogOffset, LogError>& aAnswer);
  void OnAppended(LogOffset aFirst);
  void OnFailed(const LogError& aError);

  Options mOptions;
  Executor& mExecutor;
  LogClient& mLog;
  Random mRandom;
  std::uint64_t mSequence = 0;
  std::deque<QueuedRecord> mQueue;
  std::deque<QueuedRecord> mBatch; // being appended, or to be retried
  bool mIsAppending = false;
  std::uint64_t mAppends = 0;
  std::uint64_t mRecords = 0;
  Timer mTimer;
  Timer mTimeout;
  CallbackGuard mGuard;
};

} // namespace firefly::coord

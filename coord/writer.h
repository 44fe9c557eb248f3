#pragma once

// Appends records to a stream in shared batches.

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
  kUnknown,     // the record may be in the stream, or come into it late
  kQueueFull,   // not appended: too many records wait
};

// Why a record was not appended for certain.
struct WriteError
{
  WriteErrorKind kind = WriteErrorKind::kUnknown;
  std::string message;
};

// One batch is under way at a time; meanwhile records wait for the next one.
// A batch without an answer is appended again: folds ignore the copy.
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
    std::size_t maxBatchBytes = 262144;
    std::size_t maxQueue = 16384;
    // Without an answer for this long an append's outcome is unknown.
    Duration appendTimeout = std::chrono::seconds(2);
    // Between two tries of one batch.
    Duration retryDelay = std::chrono::milliseconds(100);
    std::uint64_t seed = 1; // of the jitter
  };

  LogWriter(Options aOptions, Executor& aExecutor, LogClient& aLog);

  // Queues a record; aDeadline is when it is given up. The callback runs once:
  // with the offset, or with what is known of a record that was given up.
  RecordId Append(RecordKind aKind,
                  std::string aBody,
                  Instant aDeadline,
                  Callback aCallback);

  // Gives up the records whose deadline has passed and that are not under way.
  // A callback may run inside this call.
  void GiveUpLate();

  // Counters since the start.
  [[nodiscard]] std::uint64_t Appends() const { return mAppends; }
  [[nodiscard]] std::uint64_t Records() const { return mRecords; }
  [[nodiscard]] std::size_t Queued() const { return mQueue.size(); }

private:
  struct Item
  {
    std::string payload;
    Instant deadline;
    Callback callback;
    bool uncertain = false; // a try of it got no answer
  };

  void Arm();
  void Send();
  void TakeLate(std::deque<Item>& aQueue, std::vector<Item>& aLate) const;
  void FillBatch();
  void OnAnswer(std::uint64_t aTry,
                const tl::expected<LogOffset, LogError>& aAnswer);
  void OnAppended(LogOffset aFirst);
  void OnFailed(const LogError& aError);

  Options mOptions;
  Executor& mExecutor;
  LogClient& mLog;
  Random mRandom;
  std::uint64_t mSequence = 0;
  std::deque<Item> mQueue;
  std::deque<Item> mBatch; // under way, or to be tried again
  bool mBusy = false;
  std::uint64_t mAppends = 0;
  std::uint64_t mRecords = 0;
  Timer mTimer;
  Timer mTimeout;
  CallbackGuard mGuard;
};

} // namespace firefly::coord

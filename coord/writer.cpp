#include "coord/writer.h"

#include <utility>

namespace firefly::coord {

LogWriter::LogWriter(Options aOptions, Executor& aExecutor, LogClient& aLog)
  : mOptions(std::move(aOptions))
  , mExecutor(aExecutor)
  , mLog(aLog)
  , mRandom(mOptions.seed)
{
}

RecordId
LogWriter::Append(RecordKind aKind,
                  std::string aBody,
                  Instant aDeadline,
                  Callback aCallback)
{
  RecordId id{ .writer = mOptions.writer, .sequence = ++mSequence };
  if (mQueue.size() >= mOptions.maxQueue) {
    mExecutor.Post(mGuard.Wrap([callback = std::move(aCallback)] {
      callback(tl::unexpected(WriteError{ WriteErrorKind::kQueueFull,
                                          "the queue of records is full" }));
    }));
    return id;
  }
  mQueue.push_back({ .payload = EncodeEnvelope(
                       { .id = id, .kind = aKind, .body = std::move(aBody) }),
                     .deadline = aDeadline,
                     .callback = std::move(aCallback) });
  ScheduleSend();
  return id;
}

void
LogWriter::ScheduleSend()
{
  if (mIsAppending || mTimer.IsPending()) {
    return;
  }
  mTimer = mExecutor.RunAfter(mOptions.linger, [this] { Send(); });
}

void
LogWriter::Send()
{
  GiveUpLate();
  FillBatch();
  if (mBatch.empty()) {
    return;
  }
  mIsAppending = true;
  const auto attempt = ++mAppends;
  std::vector<std::string> payloads;
  payloads.reserve(mBatch.size());
  for (const auto& it : mBatch) {
    payloads.push_back(it.payload);
  }
  mTimeout = mExecutor.RunAfter(mOptions.appendTimeout, [this, attempt] {
    OnAnswer(attempt,
             tl::unexpected(LogError{ LogErrorKind::kUnknown, "timeout" }));
  });
  mLog.Append(mOptions.stream,
              std::move(payloads),
              mGuard.Wrap([this, attempt](
                            const tl::expected<LogOffset, LogError>& aAnswer) {
                OnAnswer(attempt, aAnswer);
              }));
}

void
LogWriter::GiveUpLate()
{
  std::vector<QueuedRecord> expired;
  if (!mIsAppending) {
    ExtractExpired(mBatch, expired);
  }
  ExtractExpired(mQueue, expired);
  for (const auto& it : expired) {
    const auto kind =
      it.isUncertain ? WriteErrorKind::kUnknown : WriteErrorKind::kNotAppended;
    it.callback(
      tl::unexpected(WriteError{ kind, "the record's deadline passed" }));
  }
}

void
LogWriter::ExtractExpired(std::deque<QueuedRecord>& aQueue,
                          std::vector<QueuedRecord>& aExpired) const
{
  std::deque<QueuedRecord> kept;
  for (auto& it : aQueue) {
    if (it.deadline <= mExecutor.Now()) {
      aExpired.push_back(std::move(it));
    } else {
      kept.push_back(std::move(it));
    }
  }
  aQueue.swap(kept);
}

// No records are added to a batch that is retried. Records therefore enter the
// log in the order of their sequence numbers, except for duplicates that arrive
// late.
void
LogWriter::FillBatch()
{
  if (!mBatch.empty()) {
    return;
  }
  std::size_t bytes = 0;
  while (!mQueue.empty() && mBatch.size() < mOptions.maxBatchRecords &&
         bytes < mOptions.maxBatchBytes) {
    bytes += mQueue.front().payload.size();
    mBatch.push_back(std::move(mQueue.front()));
    mQueue.pop_front();
  }
}

void
LogWriter::OnAnswer(std::uint64_t aAttempt,
                    const tl::expected<LogOffset, LogError>& aAnswer)
{
  if (aAttempt != mAppends || !mIsAppending) {
    return; // the answer to an abandoned append
  }
  mTimeout.Cancel();
  mIsAppending = false;
  if (!aAnswer) {
    OnFailed(aAnswer.error());
    return;
  }
  OnAppended(*aAnswer);
}

void
LogWriter::OnAppended(LogOffset aFirst)
{
  mRecords += mBatch.size();
  auto done = std::exchange(mBatch, {});
  if (!mQueue.empty()) {
    ScheduleSend();
  }
  auto offset = aFirst.Value();
  for (const auto& it : done) {
    it.callback(LogOffset(offset++));
  }
}

void
LogWriter::OnFailed(const LogError& aError)
{
  if (aError.kind != LogErrorKind::kUnavailable) {
    for (auto& it : mBatch) {
      it.isUncertain = true;
    }
  }
  const auto delay =
    FromSeconds(ToSeconds(mOptions.retryDelay) * (0.5 + mRandom.Uniform()));
  mTimer = mExecutor.RunAfter(delay, [this] { Send(); });
}

} // namespace firefly::coord

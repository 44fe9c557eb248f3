#include "coord/stream_reader.h"

#include <algorithm>
#include <utility>

namespace firefly::coord {

namespace {

constexpr Duration kFirstBackoff = std::chrono::milliseconds(100);

} // namespace

StreamReader::StreamReader(Options aOptions,
                           Executor& aExecutor,
                           LogClient& aLog,
                           StreamListener& aListener)
  : mOptions(std::move(aOptions))
  , mExecutor(aExecutor)
  , mLog(aLog)
  , mListener(aListener)
  , mRandom(mOptions.seed)
{
}

void
StreamReader::Start()
{
  Read();
}

void
StreamReader::ReadNow()
{
  if (mIsReading) {
    mReadAgain = true;
    return;
  }
  Read();
}

void
StreamReader::Read()
{
  mTimer.Cancel();
  mIsReading = true;
  mReadAgain = false;
  const auto read = ++mReads;
  const auto sent = mExecutor.Now();
  mTimeout = mExecutor.RunAfter(mOptions.readTimeout, [this, read, sent] {
    OnAnswer(read,
             sent,
             tl::unexpected(LogError{ LogErrorKind::kUnknown, "timeout" }));
  });
  mLog.Read(mOptions.stream,
            mNext,
            mOptions.batchLimit,
            mGuard.Wrap([this, read, sent](
                          const tl::expected<LogBatch, LogError>& aAnswer) {
              OnAnswer(read, sent, aAnswer);
            }));
}

void
StreamReader::OnAnswer(std::uint64_t aRead,
                       Instant aSent,
                       const tl::expected<LogBatch, LogError>& aAnswer)
{
  if (aRead != mReads || !mIsReading) {
    return; // the answer to an abandoned read
  }
  mTimeout.Cancel();
  if (!aAnswer) {
    mIsReading = false;
    OnFailure(aAnswer.error());
    return;
  }
  mBackoff = Duration::zero();
  OnBatch(aSent, *aAnswer);
}

void
StreamReader::OnBatch(Instant aSent, const LogBatch& aBatch)
{
  if (!mHasStarted || HasLostRecords(aBatch)) {
    Restart(aBatch.first);
  }
  Deliver(aBatch);
  const bool atEnd = mNext >= aBatch.end;
  if (atEnd) {
    mCaughtUpAt = aSent;
    mListener.OnCaughtUp(aBatch.end);
  }
  mIsReading = false;
  if (!atEnd || mReadAgain) {
    Read();
    return;
  }
  ReadAfter(Jittered(mOptions.pollInterval));
}

bool
StreamReader::HasLostRecords(const LogBatch& aBatch) const
{
  const bool missed = aBatch.first > mNext || aBatch.end < mNext;
  const bool allGone = aBatch.first >= mNext && mNext > mRunStart;
  return missed || allGone;
}

void
StreamReader::Deliver(const LogBatch& aBatch)
{
  for (const auto& it : aBatch.records) {
    if (it.offset != mNext) {
      continue;
    }
    mNext = LogOffset(it.offset.Value() + 1);
    mListener.OnRecord(it);
  }
}

void
StreamReader::Restart(LogOffset aFirst)
{
  mHasStarted = true;
  ++mRestarts;
  mNext = aFirst;
  mRunStart = aFirst;
  mCaughtUpAt.reset();
  mListener.OnRestart(aFirst);
}

void
StreamReader::OnFailure(const LogError& aError)
{
  ++mFailures;
  if (aError.kind == LogErrorKind::kTrimmed) {
    // Offset zero requests the oldest kept record.
    mNext = LogOffset(0);
    mHasStarted = false;
    mCaughtUpAt.reset();
  }
  mBackoff = std::clamp(mBackoff * 2, kFirstBackoff, mOptions.maxBackoff);
  ReadAfter(Jittered(mBackoff));
}

void
StreamReader::ReadAfter(Duration aDelay)
{
  mTimer = mExecutor.RunAfter(aDelay, [this] { Read(); });
}

Duration
StreamReader::Jittered(Duration aDelay)
{
  constexpr double kJitter = 0.25;
  const double factor = 1.0 + kJitter * (2.0 * mRandom.Uniform() - 1.0);
  return FromSeconds(ToSeconds(aDelay) * factor);
}

} // namespace firefly::coord

#include "coord/keyed_feed.h"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <utility>

namespace firefly::coord {

namespace {

// A process that waits for the log to answer again tries within this time after
// another one was answered.
constexpr Duration kRejoinSpread = std::chrono::milliseconds(300);
// While their reads fail, processes try again in turn, each of them this long
// after another one, but each at least once in kMinTurns turns' time.
constexpr Duration kRetryTurn = std::chrono::milliseconds(20);
constexpr std::size_t kMinTurns = 50;
// Peers that can't read the log either are heard of again within this time,
// since all of them take turns within a second or, if they are many, two.
constexpr Duration kPeerFailureMemory = std::chrono::seconds(3);

// How long newly found peers may postpone a read.
constexpr Duration kMaxDiscoveryTime = std::chrono::seconds(2);

// The offset of the newest of the records with each key.
std::map<std::string_view, LogOffset>
NewestOffsetsOf(const std::vector<KeyedRecord>& aRecords)
{
  std::map<std::string_view, LogOffset> offsets;
  for (const auto& it : aRecords) {
    offsets[it.key] = it.offset;
  }
  return offsets;
}

} // namespace

KeyedFeed::KeyedFeed(Options aOptions,
                     Executor& aExecutor,
                     KeyedLogClient& aLog,
                     KeyedFeedObserver& aObserver)
  : mOptions(std::move(aOptions))
  , mExecutor(aExecutor)
  , mLog(aLog)
  , mObserver(aObserver)
  , mRandom(mOptions.seed)
{
}

void
KeyedFeed::Start()
{
  Load();
}

void
KeyedFeed::SetPeerCount(std::size_t aPeerCount)
{
  const bool found = aPeerCount > mPeerCount;
  mPeerCount = aPeerCount;
  if (found && mIsFollowing && !mIsReading && !mIsReadDue && IsShared() &&
      mExecutor.Now() < mCurrentAt + kMaxDiscoveryTime) {
    Schedule(NextPause(), &KeyedFeed::Follow);
  }
}

void
KeyedFeed::Load()
{
  mReadAt = mExecutor.Now();
  if (mFirstPage) {
    mPageKeys.clear();
    mKnownEndAtRead = mKnownEnd;
    mLoadAt = mReadAt;
  }
  mIsFollowing = false;
  mIsReading = true;
  mIsReadDue = false;
  mLog.ReadNewest(
    mOptions.stream,
    mPageKeys.empty() ? std::string() : mPageKeys.back(),
    [this, call = ++mCallNumber](tl::expected<NewestPage, LogError> aPage) {
      if (call == mCallNumber) {
        OnPage(std::move(aPage));
      }
    });
  WatchAnswer();
}

void
KeyedFeed::OnPage(tl::expected<NewestPage, LogError> aPage)
{
  mIsReading = false;
  if (!aPage) {
    mFirstPage = true;
    HandleFailure(aPage.error());
    return;
  }
  mOwnBackoff = Duration::zero();
  if (mFirstPage) {
    // Start from the end at the first page, so that records that are appended
    // while the pages are read are not missed. Some are read twice.
    const auto before = EraOf(mKnownEnd);
    if (mIsLoaded && EraOf(aPage->end) > before) {
      mObserver.OnRestored(before, EraOf(aPage->end));
    }
    SetNext(aPage->end);
    mFirstPage = false;
    if (aPage->end < mKnownEndAtRead) {
      // The log was rewound, or a replica answered that lags.
      mLoadAt.reset();
    }
  }
  for (const auto& it : aPage->records) {
    mPageKeys.push_back(it.key);
    DeliverIfNewer(it);
  }
  if (aPage->hasMore && !aPage->records.empty()) {
    Load();
    return;
  }
  mFirstPage = true;
  mIsLoaded = true;
  mIsFollowing = true;
  // Remove the offsets of keys that no longer exist, which would otherwise be
  // kept forever.
  std::erase_if(mNewestOffsets, [this](const auto& aIt) {
    return std::ranges::find(mPageKeys, aIt.first) == mPageKeys.end();
  });
  const bool wasLost = mIsLost;
  MarkCurrent();
  // Records that were appended after the first page was requested may be
  // missing.
  Confirm(mLoadAt);
  mObserver.OnSnapshot(mPageKeys);
  if (wasLost) {
    // Tells other processes that the log answers again.
    mObserver.OnProgress(
      { .from = mNext, .next = mNext, .newRecords = {}, .readAt = mLoadAt });
  }
  Schedule(NextPause(), &KeyedFeed::Follow);
}

void
KeyedFeed::Follow()
{
  // After an outage, the first answer must not be delayed by waiting for new
  // records. With shared reads, a delayed answer would also delay the progress
  // that other processes wait for, and they would read meanwhile.
  const bool atOnce = mIsLost || IsShared();
  // A read confirms the instant at which it was sent, so that a delayed answer
  // confirms an instant that is as long ago as the delay.
  const auto wait = mOptions.confirmWithin > Duration::zero()
                      ? std::min(mOptions.wait, mOptions.confirmWithin / 4)
                      : mOptions.wait;
  Read(atOnce ? Duration::zero() : wait);
}

void
KeyedFeed::Read(Duration aWait)
{
  mIsFollowing = true;
  mIsReading = true;
  mMayAnswerLate = aWait > Duration::zero();
  mIsReadDue = false;
  mReadAt = mExecutor.Now();
  mKnownEndAtRead = mKnownEnd;
  mLog.ReadFrom(
    mOptions.stream,
    mNext,
    { .wait = aWait, .maxBytes = mOptions.maxReadBytes },
    [this, call = ++mCallNumber](tl::expected<KeyedBatch, LogError> aBatch) {
      if (call == mCallNumber) {
        OnBatch(std::move(aBatch));
      }
    });
  if (aWait == Duration::zero()) {
    WatchAnswer();
  }
}

void
KeyedFeed::WatchAnswer()
{
  mOverdueTimer =
    mExecutor.RunAfter(mOptions.overdueAfter, [this, call = mCallNumber] {
      if (mIsReading && call == mCallNumber) {
        mObserver.OnReadFailing();
      }
    });
}

void
KeyedFeed::Refresh()
{
  if (mIsFollowing) {
    mTimer.Cancel();
    Read(Duration::zero());
  }
}

void
KeyedFeed::ReadAtOnce()
{
  const bool isAnswerDue = mIsReading && !mMayAnswerLate;
  if (!mIsLost && !isAnswerDue) {
    Refresh();
  }
}

void
KeyedFeed::ReadNewest()
{
  if (mIsFollowing) {
    mTimer.Cancel();
    Load();
  }
}

void
KeyedFeed::RefreshHangingRead()
{
  if (mIsReading) {
    Refresh();
  }
}

void
KeyedFeed::OnBatch(tl::expected<KeyedBatch, LogError> aBatch)
{
  mIsReading = false;
  if (!aBatch) {
    if (aBatch.error().kind == LogErrorKind::kTrimmed) {
      Load();
      return;
    }
    HandleFailure(aBatch.error());
    return;
  }
  mOwnBackoff = Duration::zero();
  if (aBatch->next < aBatch->end) {
    // Reading on would take longer with each record that was written meanwhile.
    // The newest records are no more than the keys are, however many were
    // written.
    mObserver.OnBehind(aBatch->next, aBatch->end);
    Load();
    return;
  }
  MarkCurrent();
  FeedProgress progress{ .from = mNext,
                         .next = aBatch->next,
                         .newRecords = {} };
  // An answer that ends before the records that were known when the read was
  // sent confirms nothing: the log was rewound, or a replica answered that
  // lags.
  if (aBatch->end >= mKnownEndAtRead) {
    progress.readAt = mReadAt;
  }
  const auto newest = NewestOffsetsOf(aBatch->records);
  std::set<std::string_view> replacedKeys;
  for (const auto& it : aBatch->records) {
    if (it.offset < newest.at(it.key)) {
      // Replaced within the answer. Another process may learn of this record
      // and not of the newer one, if that is too large for a datagram.
      progress.newRecords.push_back(it);
      replacedKeys.insert(it.key);
      continue;
    }
    // A record that was appended while the newest records of all keys were
    // read, or a newer one of its key, is known here, but not to processes that
    // have read up to mNext.
    const bool isKnownAhead = it.offset >= mNext && IsDelivered(it);
    // The last record of a key whose earlier ones are passed on may change
    // nothing here, such as the removal of a key that was never known.
    const bool isReplacement = replacedKeys.contains(it.key);
    if (DeliverIfNewer(it) || isKnownAhead || isReplacement) {
      progress.newRecords.push_back(it);
    }
  }
  SetNext(std::max(mNext, aBatch->next));
  Confirm(progress.readAt);
  mObserver.OnProgress(progress);
  Schedule(NextPause(), &KeyedFeed::Follow);
}

void
KeyedFeed::ApplyPeerProgress(const FeedProgress& aProgress)
{
  if (mIsLost && !mIsFollowing) {
    ReadSoon(std::max(kRejoinSpread, mRetryDelay));
  }
  if (!mIsLoaded || !mIsFollowing || aProgress.next < mNext) {
    return;
  }
  if (aProgress.from > mNext) {
    // The records in between were missed. Other processes may have missed them
    // as well, so a random delay keeps all of them from reading at once.
    ReadSoon(mOptions.pause);
    return;
  }
  for (const auto& it : aProgress.newRecords) {
    // Earlier records are known here, or were dropped before this process
    // loaded all keys and must not come back.
    if (it.offset >= mNext) {
      DeliverIfNewer(it);
    }
  }
  SetNext(aProgress.next);
  MarkCurrent();
  // After an answer of a log that was rewound, or of a replica that lags, mNext
  // may be before records that were known already.
  if (aProgress.next >= mKnownEnd) {
    Confirm(aProgress.readAt);
  }
  if (IsConfirmationOld()) {
    ReadSoon(mOptions.pause);
  } else if (!mIsReading && aProgress.readAt) {
    // Progress that does not cover all records, for example because one of them
    // is too large for a datagram, does not stand for a read of this process.
    Schedule(NextPause(), &KeyedFeed::Follow);
  }
}

void
KeyedFeed::SetNext(LogOffset aNext)
{
  mNext = aNext;
  mKnownEnd = std::max(mKnownEnd, aNext);
}

void
KeyedFeed::Confirm(std::optional<Instant> aInstant)
{
  if (aInstant) {
    mConfirmedAt = std::max(mConfirmedAt.value_or(*aInstant), *aInstant);
  }
}

bool
KeyedFeed::IsConfirmationOld() const
{
  return mOptions.confirmWithin > Duration::zero() &&
         (!mConfirmedAt ||
          mExecutor.Now() - *mConfirmedAt > mOptions.confirmWithin);
}

void
KeyedFeed::ReadSoon(Duration aWithin)
{
  if (mIsReading || mIsReadDue) {
    return;
  }
  Schedule(FromSeconds(ToSeconds(aWithin) * mRandom.Uniform()),
           mIsFollowing ? &KeyedFeed::Follow : &KeyedFeed::Load);
  mIsReadDue = true;
}

void
KeyedFeed::OnPeerReadFailing(const std::string& aPeer)
{
  mPeerFailedAt = mExecutor.Now();
  const bool isNew = mFailingPeers.insert(aPeer).second;
  const bool fails = mOwnBackoff > Duration::zero();
  const auto round = kRetryTurn * std::max(mPeerCount, kMinTurns);
  const bool waitsForTurn = fails && mExecutor.Now() < mReadAt + round;
  const bool canWait = !mIsReading && !mIsReadDue && IsShared();
  if (canWait && (isNew || waitsForTurn)) {
    Schedule(SpreadPause(),
             mIsFollowing ? &KeyedFeed::Follow : &KeyedFeed::Load);
  }
}

std::optional<Instant>
KeyedFeed::AwaySince() const
{
  const bool failsForOthers =
    mPeerFailedAt && mExecutor.Now() - *mPeerFailedAt < kPeerFailureMemory;
  return mIsLost && failsForOthers ? std::optional(mFirstFailedReadAt)
                                   : std::nullopt;
}

void
KeyedFeed::ConfirmSoon()
{
  ReadSoon(mOptions.pause);
}

void
KeyedFeed::SkipTo(LogOffset aNext)
{
  ApplyPeerProgress({ .from = mNext, .next = aNext, .newRecords = {} });
  if (mIsLoaded && mIsFollowing && !mIsReading && !mIsReadDue) {
    Schedule(NextPause(), &KeyedFeed::Follow);
  }
}

bool
KeyedFeed::IsShared() const
{
  return mPeerCount > 0 && mOptions.maxSharedPause > mOptions.pause;
}

Duration
KeyedFeed::NextPause()
{
  return IsShared() ? mOptions.pause + SpreadPause() : mOptions.pause;
}

Duration
KeyedFeed::SpreadPause()
{
  // Feedback suppression with exponentially weighted timers: regardless of the
  // number of processes, about one of them reads before the others receive its
  // progress.
  const double spread = ToSeconds(mOptions.maxSharedPause - mOptions.pause);
  const double steepness = std::log(static_cast<double>(mPeerCount) + 1) + 1;
  const double part =
    std::log1p(mRandom.Uniform() * std::expm1(steepness)) / steepness;
  return mOwnBackoff + FromSeconds(spread * part);
}

bool
KeyedFeed::IsDelivered(const KeyedRecord& aRecord) const
{
  const auto it = mNewestOffsets.find(aRecord.key);
  return it != mNewestOffsets.end() && it->second >= aRecord.offset;
}

bool
KeyedFeed::DeliverIfNewer(const KeyedRecord& aRecord)
{
  const auto [it, isNew] =
    mNewestOffsets.try_emplace(aRecord.key, aRecord.offset);
  if (!isNew) {
    if (aRecord.offset <= it->second) {
      return false;
    }
    it->second = aRecord.offset;
  }
  return mObserver.OnRecord(aRecord);
}

void
KeyedFeed::MarkCurrent()
{
  mCurrentAt = mExecutor.Now();
  mRetryDelay = Duration::zero();
  mFailingPeers.clear();
  if (std::exchange(mIsLost, false)) {
    mObserver.OnRegained(mCurrentAt - mLostAt);
  }
}

void
KeyedFeed::HandleFailure(const LogError& aError)
{
  if (!std::exchange(mIsLost, true)) {
    mLostAt = mExecutor.Now();
    mFirstFailedReadAt = mReadAt;
    mObserver.OnLost(aError);
  }
  const auto firstRetry = IsShared() ? mOptions.pause : mOptions.firstRetry;
  mRetryDelay = std::clamp(
    2 * mRetryDelay, firstRetry, std::max(firstRetry, mOptions.longestRetry));
  mOwnBackoff = mRetryDelay;
  mObserver.OnReadFailing();
  // Jitter, so that the readers do not all retry at the same time.
  const auto delay =
    FromSeconds(ToSeconds(mRetryDelay) * (0.5 + mRandom.Uniform()));
  Schedule(delay, mIsFollowing ? &KeyedFeed::Follow : &KeyedFeed::Load);
}

void
KeyedFeed::Schedule(Duration aDelay, void (KeyedFeed::*aStep)())
{
  mIsReadDue = false;
  mTimer = mExecutor.RunAfter(aDelay, [this, aStep] { (this->*aStep)(); });
}

} // namespace firefly::coord

#include "coord/keyed_feed.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace firefly::coord {

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
KeyedFeed::Load()
{
  if (mFirstPage) {
    mPageKeys.clear();
  }
  mFollowing = false;
  mReading = true;
  mLog.ReadNewest(
    mOptions.stream,
    mPageKeys.empty() ? std::string() : mPageKeys.back(),
    [this, call = ++mCall](tl::expected<NewestPage, LogError> aPage) {
      if (call == mCall) {
        OnPage(std::move(aPage));
      }
    });
}

void
KeyedFeed::OnPage(tl::expected<NewestPage, LogError> aPage)
{
  mReading = false;
  if (!aPage) {
    mFirstPage = true;
    Lose(aPage.error());
    return;
  }
  if (mFirstPage) {
    // Records that come while the pages are read are read again.
    mNext = aPage->end;
    mFirstPage = false;
  }
  for (const auto& it : aPage->records) {
    mPageKeys.push_back(it.key);
    Take(it);
  }
  if (aPage->hasMore && !aPage->records.empty()) {
    Load();
    return;
  }
  mFirstPage = true;
  mLoaded = true;
  // Keys that are gone would be kept for good.
  std::erase_if(mTaken, [this](const auto& aIt) {
    return std::ranges::find(mPageKeys, aIt.first) == mPageKeys.end();
  });
  Hear();
  mObserver.OnSnapshot(mPageKeys);
  Later(NextPause(), &KeyedFeed::Follow);
}

void
KeyedFeed::Follow()
{
  // After an outage nothing may be held up by a wait; nor may others that
  // would hear of the answer and read themselves meanwhile.
  const bool atOnce = mLost || IsShared();
  Read(atOnce ? Duration::zero() : mOptions.wait);
}

void
KeyedFeed::Read(Duration aWait)
{
  mFollowing = true;
  mReading = true;
  mLog.ReadFrom(
    mOptions.stream,
    mNext,
    aWait,
    [this, call = ++mCall](tl::expected<KeyedBatch, LogError> aBatch) {
      if (call == mCall) {
        OnBatch(std::move(aBatch));
      }
    });
}

void
KeyedFeed::Refresh()
{
  if (mFollowing) {
    mTimer.Cancel();
    Read(Duration::zero());
  }
}

void
KeyedFeed::OnBatch(tl::expected<KeyedBatch, LogError> aBatch)
{
  mReading = false;
  if (!aBatch) {
    if (aBatch.error().kind == LogErrorKind::kTrimmed) {
      Load();
      return;
    }
    Lose(aBatch.error());
    return;
  }
  Hear();
  FeedProgress progress{ .from = mNext, .next = aBatch->next, .news = {} };
  for (const auto& it : aBatch->records) {
    if (Take(it)) {
      progress.news.push_back(it);
    }
  }
  mNext = std::max(mNext, aBatch->next);
  mObserver.OnProgress(progress);
  Later(NextPause(), &KeyedFeed::Follow);
}

void
KeyedFeed::Offer(const FeedProgress& aProgress)
{
  if (!mLoaded || !mFollowing || aProgress.next < mNext) {
    return;
  }
  if (aProgress.from > mNext) {
    // What lies between was missed. Others may have missed it as well.
    if (!mReading) {
      Later(FromSeconds(ToSeconds(mOptions.pause) * mRandom.Uniform()),
            &KeyedFeed::Follow);
    }
    return;
  }
  for (const auto& it : aProgress.news) {
    Take(it);
  }
  mNext = aProgress.next;
  Hear();
  if (!mReading) {
    Later(NextPause(), &KeyedFeed::Follow);
  }
}

void
KeyedFeed::Skip(LogOffset aNext)
{
  Offer({ .from = mNext, .next = aNext, .news = {} });
}

bool
KeyedFeed::IsShared() const
{
  return mOthers > 0 && mOptions.sharedPause > mOptions.pause;
}

Duration
KeyedFeed::NextPause()
{
  if (!IsShared()) {
    return mOptions.pause;
  }
  // Feedback suppression with exponentially weighted timers: however many
  // follow, about one of them reads before the others hear of it.
  const double spread = ToSeconds(mOptions.sharedPause - mOptions.pause);
  const double steepness = std::log(static_cast<double>(mOthers) + 1) + 1;
  const double part =
    std::log1p(mRandom.Uniform() * std::expm1(steepness)) / steepness;
  return mOptions.pause + FromSeconds(spread * part);
}

bool
KeyedFeed::Take(const KeyedRecord& aRecord)
{
  const auto [it, isNew] = mTaken.try_emplace(aRecord.key, aRecord.offset);
  if (!isNew) {
    if (aRecord.offset <= it->second) {
      return false;
    }
    it->second = aRecord.offset;
  }
  return mObserver.OnRecord(aRecord);
}

void
KeyedFeed::Hear()
{
  mHeard = mExecutor.Now();
  mRetry = Duration::zero();
  if (std::exchange(mLost, false)) {
    mObserver.OnRegained(mHeard - mLostAt);
  }
}

void
KeyedFeed::Lose(const LogError& aError)
{
  if (!std::exchange(mLost, true)) {
    mLostAt = mExecutor.Now();
    mObserver.OnLost(aError);
  }
  mRetry = std::clamp(2 * mRetry, mOptions.firstRetry, mOptions.longestRetry);
  // Jitter, so that all readers don't come back at the same moment.
  const auto delay = FromSeconds(ToSeconds(mRetry) * (0.5 + mRandom.Uniform()));
  Later(delay, mFollowing ? &KeyedFeed::Follow : &KeyedFeed::Load);
}

void
KeyedFeed::Later(Duration aDelay, void (KeyedFeed::*aStep)())
{
  mTimer = mExecutor.RunAfter(aDelay, [this, aStep] { (this->*aStep)(); });
}

} // namespace firefly::coord

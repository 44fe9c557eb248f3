#include "policy/table_update/table_update_planner.h"

#include <algorithm>

namespace firefly::policy {

TableUpdatePlanner::TableUpdatePlanner(Options aOptions)
  : mOptions(aOptions)
{
}

bool
TableUpdatePlanner::OnAnnounced(RoutingVersion aVersion,
                                std::uint64_t aBytes,
                                Instant aNow)
{
  if (aVersion == mNewest) {
    // Another host is asked after a fetch that did not bring the table.
    return mAttempts > 0 && !mIsFetching;
  }
  if (aVersion < mNewest) {
    return false;
  }
  mNewest = aVersion;
  mNewestBytes = aBytes;
  mAttempts = 0;
  mBusyAnswers = 0;
  if (!mBehindSince) {
    mBehindSince = aNow;
  }
  return true;
}

TableUpdatePlanner::Decision
TableUpdatePlanner::Decide(const Situation& aSituation) const
{
  if (mIsFetching || mNewest <= aSituation.ownVersion) {
    return {};
  }
  if (mLastStart && aSituation.now < *mLastStart + Interval()) {
    return { .kind = Decision::Kind::kWait,
             .wait = *mLastStart + Interval() - aSituation.now };
  }
  const auto bytes = std::max(mNewestBytes, aSituation.ownBytes);
  const bool isLarge = bytes > mOptions.maxAnnouncerBytes;
  // After a fetch that did not bring the table, the other source is tried: a
  // log that was restored from a copy may not have it.
  const bool prefersLog =
    mAttempts > 0 ? mLastSource == TableSource::kAnnouncer : isLarge;
  const bool usesLog = !aSituation.isLogLost && prefersLog;
  return { .kind = Decision::Kind::kFetch,
           .source = usesLog ? TableSource::kLog : TableSource::kAnnouncer };
}

Duration
TableUpdatePlanner::Interval() const
{
  if (mBusyAnswers > 0) {
    return mOptions.busyRetry;
  }
  auto interval = mOptions.minInterval;
  for (std::uint32_t i = 1; i < mAttempts && interval < mOptions.maxInterval;
       ++i) {
    interval *= 2;
  }
  return std::min(interval, mOptions.maxInterval);
}

void
TableUpdatePlanner::OnFetchStarted(TableSource aSource, Instant aNow)
{
  mIsFetching = true;
  mLastSource = aSource;
  mLastStart = aNow;
  mAttempts++;
}

void
TableUpdatePlanner::OnFetchEnded(TableFetchOutcome aOutcome)
{
  mIsFetching = false;
  const bool isBusy = aOutcome == TableFetchOutcome::kBusy &&
                      mBusyAnswers < mOptions.maxBusyAnswers;
  if (!isBusy) {
    mBusyAnswers = 0;
    return;
  }
  mBusyAnswers++;
  mAttempts--;
}

bool
TableUpdatePlanner::SpreadsFromHostToHost(std::uint64_t aBytes,
                                          std::size_t aFetchers) const
{
  return aBytes <= mOptions.maxAnnouncerBytes &&
         aBytes * aFetchers > mOptions.maxSingleSourceBytes;
}

Duration
TableUpdatePlanner::BehindFor(RoutingVersion aOwn, Instant aNow) const
{
  return mBehindSince && aOwn < mNewest ? aNow - *mBehindSince
                                        : Duration::zero();
}

std::optional<Duration>
TableUpdatePlanner::OnInForce(RoutingVersion aVersion, Instant aNow)
{
  if (!mBehindSince || aVersion < mNewest) {
    return std::nullopt;
  }
  const auto took = aNow - *mBehindSince;
  mBehindSince.reset();
  return took;
}

} // namespace firefly::policy

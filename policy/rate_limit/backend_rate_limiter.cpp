#include "policy/rate_limit/backend_rate_limiter.h"

#include <algorithm>

namespace firefly::policy {

namespace {

// Limits that differ by less than this part count as the same.
constexpr double kSameRate = 0.01;
// A host that sees at least this part of the recent hosts is not among those
// that were cut off.
constexpr double kMajority = 0.5;

bool
IsSame(const std::optional<RequestRate>& aLeft,
       const std::optional<RequestRate>& aRight)
{
  if (!aLeft || !aRight) {
    return aLeft.has_value() == aRight.has_value();
  }
  const auto larger = std::max(*aLeft, *aRight).Value();
  const auto smaller = std::min(*aLeft, *aRight).Value();
  return larger - smaller <= larger * kSameRate;
}

} // namespace

BackendRateLimiter::BackendRateLimiter(Options aOptions)
  : mOptions(aOptions)
{
}

bool
BackendRateLimiter::OnNews(BackendSlot aSlot, const RateLimitNews& aNews)
{
  const auto it = mRecords.find(aSlot);
  if (it == mRecords.end()) {
    if (!aNews.rate) {
      return false;
    }
    mRecords[aSlot].news = aNews;
    mLimitCount++;
    return true;
  }
  auto& news = it->second.news;
  if (aNews.heardAt < news.heardAt) {
    return false;
  }
  const bool isSameRun = news.startedAt == aNews.startedAt;
  const bool isSame = isSameRun && IsSame(news.rate, aNews.rate);
  mLimitCount += aNews.rate ? 1 : 0;
  mLimitCount -= news.rate ? 1 : 0;
  news = aNews;
  if (!isSameRun) {
    it->second.nextPlace = {};
  }
  return !isSame;
}

void
BackendRateLimiter::TakePlaces(BackendSlot aSlot,
                               std::uint32_t aCount,
                               Instant aNow)
{
  const auto it = mRecords.find(aSlot);
  if (it == mRecords.end() || !it->second.news.rate) {
    return;
  }
  auto& record = it->second;
  record.nextPlace = std::max(record.nextPlace, aNow - mOptions.burst) +
                     aCount * Interval(record, aNow);
}

void
BackendRateLimiter::OnRejection(BackendSlot aSlot, Instant aNow)
{
  const auto it = mRecords.find(aSlot);
  if (it == mRecords.end() || !it->second.news.rate) {
    return;
  }
  auto& record = it->second;
  const auto penalty = FromSeconds(ToSeconds(Interval(record, aNow)) *
                                   mOptions.placesPerRejection);
  record.nextPlace = std::max(record.nextPlace, aNow) + penalty;
}

void
BackendRateLimiter::SetHostCount(std::size_t aCount, Instant aNow)
{
  // The count before the change was valid until now.
  if (!mHostCounts.empty()) {
    mHostCounts.back().at = aNow;
  }
  std::erase_if(mHostCounts, [&](const HostCount& aIt) {
    return aIt.at + mOptions.hostMemory < aNow;
  });
  mHostCounts.push_back({ .at = aNow, .count = aCount });
}

Duration
BackendRateLimiter::WaitAt(BackendSlot aSlot,
                           std::uint64_t aStartedAt,
                           Instant aNow) const
{
  const auto it = mRecords.find(aSlot);
  if (it == mRecords.end() || !it->second.news.rate ||
      it->second.news.startedAt != aStartedAt) {
    return Duration::zero();
  }
  return std::max(Duration::zero(), it->second.nextPlace - aNow);
}

std::optional<RequestRate>
BackendRateLimiter::LimitOf(BackendSlot aSlot, std::uint64_t aStartedAt) const
{
  const auto* news = NewsOf(aSlot);
  return news != nullptr && news->startedAt == aStartedAt ? news->rate
                                                          : std::nullopt;
}

const RateLimitNews*
BackendRateLimiter::NewsOf(BackendSlot aSlot) const
{
  const auto it = mRecords.find(aSlot);
  return it == mRecords.end() ? nullptr : &it->second.news;
}

Duration
BackendRateLimiter::Interval(const Record& aRecord, Instant aNow) const
{
  const double rate =
    std::max(*aRecord.news.rate, mOptions.minRate).Value() * Part(aNow);
  return FromSeconds(1 / rate);
}

double
BackendRateLimiter::Part(Instant aNow) const
{
  if (mHostCounts.empty()) {
    return 1;
  }
  std::size_t most = 1;
  for (const auto& it : mHostCounts) {
    if (it.at + mOptions.hostMemory >= aNow) {
      most = std::max(most, it.count);
    }
  }
  const auto live = std::max<std::size_t>(1, mHostCounts.back().count);
  const double part = static_cast<double>(live) / static_cast<double>(most);
  return part >= kMajority ? 1 : part;
}

} // namespace firefly::policy

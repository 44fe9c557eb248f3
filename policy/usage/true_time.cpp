#include "policy/usage/true_time.h"

#include <algorithm>
#include <vector>

namespace firefly::policy {

namespace {

constexpr Duration kMaxDifference = std::chrono::milliseconds(500);
// A sample's delay makes the other host's clock appear late, so the largest
// offset received within this time is used.
constexpr Duration kKeepLargest = std::chrono::seconds(5);
constexpr Duration kMaxSampleAge = std::chrono::seconds(15);
// With one other host, it is unknown which of both clocks is wrong.
constexpr std::size_t kMinSamples = 2;
// Datagrams that waited while the process was stopped are read within this
// time after it resumes.
constexpr Duration kIgnoreAfterPause = std::chrono::milliseconds(200);
constexpr Duration kSettleTimeout = std::chrono::seconds(5);

} // namespace

TrueTime::TrueTime(WallTime aWallNow, Instant aNow)
  : mOffset(Duration(aWallNow.time_since_epoch()) - aNow.time_since_epoch())
  , mStart(aNow)
{
}

WallTime
TrueTime::At(Instant aNow) const
{
  return WallTime(std::chrono::duration_cast<WallTime::duration>(
    aNow.time_since_epoch() + mOffset + mCorrection));
}

WallTime
TrueTime::Uncorrected(Instant aNow) const
{
  return WallTime(std::chrono::duration_cast<WallTime::duration>(
    aNow.time_since_epoch() + mOffset));
}

void
TrueTime::AddSample(const HostId& aHost, WallTime aTheirs, Instant aNow)
{
  if (aNow < mIgnoreUntil) {
    return;
  }
  const Sample sample{ .offset = aTheirs - Uncorrected(aNow),
                       .received = aNow };
  const auto [it, isNew] = mSamples.try_emplace(aHost, sample);
  if (!isNew && (sample.offset >= it->second.offset ||
                 aNow - it->second.received > kKeepLargest)) {
    it->second = sample;
  }
}

void
TrueTime::OnPause(Instant aNow)
{
  mSamples.clear();
  mIgnoreUntil = aNow + kIgnoreAfterPause;
}

std::optional<Duration>
TrueTime::Correct(Instant aNow)
{
  std::erase_if(mSamples, [aNow](const auto& aSample) {
    return aNow - aSample.second.received > kMaxSampleAge;
  });
  if (mSamples.size() < kMinSamples) {
    return std::nullopt;
  }
  std::vector<Duration> offsets{ Duration::zero() }; // of this host
  for (const auto& [host, sample] : mSamples) {
    offsets.push_back(sample.offset);
  }
  const auto middle =
    offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
  std::ranges::nth_element(offsets, middle);
  const auto change = *middle - mCorrection;
  mIsCompared = true;
  if (std::chrono::abs(change) <= kMaxDifference) {
    return std::nullopt;
  }
  mCorrection = *middle;
  return change;
}

bool
TrueTime::IsSettled(Instant aNow) const
{
  return mIsCompared || aNow - mStart >= kSettleTimeout;
}

} // namespace firefly::policy

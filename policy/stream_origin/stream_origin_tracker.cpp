#include "policy/stream_origin/stream_origin_tracker.h"

#include <algorithm>

namespace firefly::policy {

StreamHash
StreamHashOf(const RequestId& aId)
{
  return StreamHash(StableHash(aId.Value()));
}

std::string_view
ToString(OriginSource aSource)
{
  switch (aSource) {
    case OriginSource::kRecorded:
      return "recorded";
    case OriginSource::kOnlyVersion:
      return "only version";
    case OriginSource::kUnconfirmed:
      return "unconfirmed";
    case OriginSource::kUnknown:
      break;
  }
  return "unknown";
}

StreamOriginTracker::StreamOriginTracker(Options aOptions)
  : mOptions(aOptions)
{
}

Duration
StreamOriginTracker::Memory() const
{
  return mOptions.lifetime + mOptions.lateSends;
}

void
StreamOriginTracker::OnBackend(const BackendId& aId,
                               const ServiceId& aService,
                               SoftwareVersion aVersion,
                               Instant aNow)
{
  const auto [it, isNew] =
    mBackends.try_emplace(aId, KnownBackend{ aService, aVersion });
  if (!isNew) {
    if (it->second.service == aService && it->second.version == aVersion) {
      return;
    }
    OnBackendGone(aId, aNow);
    mBackends[aId] = { aService, aVersion };
    const auto hash = StableHash(aId.Value());
    for (auto& [stream, record] : mStreams) {
      if (record.backend == hash) {
        record.isAmbiguous = true;
        record.hasBegun = false;
      }
    }
  }
  mVersions[aService][aVersion].backends++;
}

void
StreamOriginTracker::OnBackendGone(const BackendId& aId, Instant aNow)
{
  const auto it = mBackends.find(aId);
  if (it == mBackends.end()) {
    return;
  }
  auto& versions = mVersions[it->second.service];
  auto& presence = versions[it->second.version];
  presence.backends--;
  presence.goneAt = aNow;
  mBackends.erase(it);
  std::erase_if(versions, [&](const auto& aIt) {
    return aIt.second.backends == 0 && aIt.second.goneAt + Memory() < aNow;
  });
}

void
StreamOriginTracker::OnConfirmed(const BackendConfirmation& aConfirmation)
{
  const auto until = aConfirmation.unchangedUntil;
  if (!mConfirmation ||
      until - mConfirmation->unchangedUntil > mOptions.maxConfirmationGap) {
    mCompleteSince = until;
    mOwnFrom = aConfirmation.place;
    mConfirmation = aConfirmation;
    return;
  }
  mConfirmation->readAt = std::max(mConfirmation->readAt, aConfirmation.readAt);
  mConfirmation->unchangedUntil =
    std::max(mConfirmation->unchangedUntil, until);
  mConfirmation->place = std::max(mConfirmation->place, aConfirmation.place);
}

bool
StreamOriginTracker::NeedsHistory(Instant aNow) const
{
  return mCompleteSince && aNow - *mCompleteSince < Memory();
}

std::optional<VersionHistory>
StreamOriginTracker::History() const
{
  if (!mCompleteSince) {
    return std::nullopt;
  }
  VersionHistory history{ .since = *mCompleteSince,
                          .through = mConfirmation->place,
                          .versions = {} };
  for (const auto& [service, versions] : mVersions) {
    for (const auto& [version, presence] : versions) {
      history.versions.push_back(
        { .service = service,
          .version = version,
          .goneAt = presence.backends > 0 ? std::nullopt
                                          : std::optional(presence.goneAt) });
    }
  }
  return history;
}

bool
StreamOriginTracker::TakeOver(const VersionHistory& aHistory, Instant aNow)
{
  if (!mCompleteSince || aHistory.through < mOwnFrom ||
      aHistory.since >= *mCompleteSince) {
    return false;
  }
  for (const auto& it : aHistory.versions) {
    auto& presence = mVersions[it.service][it.version];
    if (presence.backends == 0) {
      // One that serves there has left here, or is about to be known.
      presence.goneAt = std::max(presence.goneAt, it.goneAt.value_or(aNow));
    }
  }
  mCompleteSince = aHistory.since;
  return true;
}

std::size_t
StreamOriginTracker::VersionCount(const ServiceId& aService, Instant aNow) const
{
  const auto versions = mVersions.find(aService);
  if (versions == mVersions.end()) {
    return 0;
  }
  return static_cast<std::size_t>(
    std::ranges::count_if(versions->second, [&](const auto& aIt) {
      return aIt.second.backends > 0 || aIt.second.goneAt + Memory() >= aNow;
    }));
}

std::optional<SoftwareVersion>
StreamOriginTracker::OnlyVersion(const ServiceId& aService, Instant aNow) const
{
  const bool isCurrent =
    mConfirmation &&
    aNow - mConfirmation->unchangedUntil <= mOptions.maxConfirmationGap;
  if (!isCurrent || aNow - *mCompleteSince < Memory() ||
      VersionCount(aService, aNow) != 1) {
    return std::nullopt;
  }
  const auto& versions = mVersions.at(aService);
  const auto it = std::ranges::find_if(versions, [&](const auto& aIt) {
    return aIt.second.backends > 0 || aIt.second.goneAt + Memory() >= aNow;
  });
  return it->first;
}

bool
StreamOriginTracker::NeedsRecords(const ServiceId& aService, Instant aNow) const
{
  // Without a read of the log, no take-up can be confirmed later.
  const bool isRead = mConfirmation && aNow - mConfirmation->readAt <=
                                         mOptions.maxConfirmationGap;
  return !isRead || !OnlyVersion(aService, aNow);
}

bool
StreamOriginTracker::OnSend(const StreamSend& aSend, Instant aNow)
{
  RemoveOldRecords(aNow);
  const auto [it, isNew] = mStreams.try_emplace(aSend.stream);
  auto& record = it->second;
  record.lastSend = aNow;
  if (isNew) {
    mStreamsByAge.emplace_back(aNow, aSend.stream);
  }
  const bool isOther = isNew || record.version != aSend.version;
  if (!isNew && !aSend.hasBegun) {
    if (!record.hasBegun && isOther) {
      record.isAmbiguous = true;
    }
    return !record.hasBegun && isOther;
  }
  const bool isNews = isOther || record.isAmbiguous;
  record.version = aSend.version;
  record.backend = aSend.backend;
  record.hasBegun = aSend.hasBegun;
  record.isAmbiguous = false;
  return isNews;
}

StreamOrigin
StreamOriginTracker::OriginOf(const ServiceId& aService,
                              std::optional<StreamHash> aStream,
                              Instant aAsOf,
                              Instant aNow) const
{
  if (aStream) {
    const auto it = mStreams.find(*aStream);
    if (it != mStreams.end()) {
      return it->second.isAmbiguous
               ? StreamOrigin{}
               : StreamOrigin{ OriginSource::kRecorded, it->second.version };
    }
  }
  const auto only = OnlyVersion(aService, aNow);
  if (!only) {
    return {};
  }
  // A read that was sent before the stream broke says nothing of a server that
  // joined since, nor of a stream that it began since.
  return mConfirmation->readAt >= aAsOf
           ? StreamOrigin{ OriginSource::kOnlyVersion, *only }
           : StreamOrigin{ OriginSource::kUnconfirmed, {} };
}

void
StreamOriginTracker::RemoveOldRecords(Instant aNow)
{
  while (!mStreamsByAge.empty()) {
    const auto [at, stream] = mStreamsByAge.front();
    const bool isFull = mStreams.size() >= mOptions.maxStreams;
    if (at + Memory() >= aNow && !isFull) {
      return;
    }
    mStreamsByAge.pop_front();
    const auto lastSend = mStreams.at(stream).lastSend;
    if (lastSend > at && lastSend + Memory() >= aNow && !isFull) {
      mStreamsByAge.emplace_back(lastSend, stream);
    } else {
      mStreams.erase(stream);
    }
  }
}

} // namespace firefly::policy

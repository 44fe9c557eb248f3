#include "servers/relay/version_history_exchange.h"

#include <algorithm>
#include <utility>

#include "coord/codec.h"

namespace firefly {

namespace {

// Values of the first field of a datagram, after those in
// servers/relay/peer_update_channel.cpp.
constexpr std::uint64_t kQuery = 10;
constexpr std::uint64_t kHistory = 11;
// Far longer than a stream can live.
constexpr std::chrono::milliseconds kMaxAge = std::chrono::hours(1);
constexpr std::int64_t kServes = -1;

// Rounded down, since an age may be understated but not overstated.
std::int64_t
AgeOf(Instant aInstant, Instant aNow)
{
  const auto age =
    std::chrono::floor<std::chrono::milliseconds>(aNow - aInstant);
  return std::clamp(age, std::chrono::milliseconds::zero(), kMaxAge).count();
}

Instant
InstantOf(std::int64_t aAge, Instant aNow)
{
  return aNow - std::chrono::milliseconds(aAge);
}

} // namespace

std::string
EncodeVersionHistoryQuery(const VersionHistoryQuery& aQuery)
{
  return coord::FieldWriter().Number(kQuery).Text(aQuery.host).Take();
}

std::optional<VersionHistoryQuery>
DecodeVersionHistoryQuery(std::string_view aBytes)
{
  coord::FieldReader reader(aBytes);
  if (reader.Number() != kQuery) {
    return std::nullopt;
  }
  VersionHistoryQuery query;
  query.host = reader.Text();
  if (!reader.Ok() || !reader.AtEnd()) {
    return std::nullopt;
  }
  return query;
}

std::string
EncodeVersionHistory(const policy::VersionHistory& aHistory, Instant aNow)
{
  coord::FieldWriter writer;
  writer.Number(kHistory)
    .Signed(AgeOf(aHistory.since, aNow))
    .Number(aHistory.through.Value())
    .Number(aHistory.versions.size());
  for (const auto& it : aHistory.versions) {
    writer.Text(it.service.Value())
      .Number(it.version.Value())
      .Signed(it.goneAt ? AgeOf(*it.goneAt, aNow) : kServes);
  }
  return writer.Take();
}

std::optional<policy::VersionHistory>
DecodeVersionHistory(std::string_view aBytes, Instant aNow)
{
  coord::FieldReader reader(aBytes);
  if (reader.Number() != kHistory) {
    return std::nullopt;
  }
  const auto isAge = [](std::int64_t aAge) {
    return aAge >= 0 && aAge <= kMaxAge.count();
  };
  const auto sinceAge = reader.Signed();
  bool isValid = isAge(sinceAge);
  policy::VersionHistory history;
  history.since = InstantOf(isValid ? sinceAge : 0, aNow);
  history.through = policy::LogPlace(reader.Number());
  const auto n = reader.Number();
  for (std::uint64_t i = 0; i < n && reader.Ok(); ++i) {
    policy::VersionHistory::Presence presence;
    presence.service = ServiceId(reader.Text());
    presence.version = policy::SoftwareVersion(reader.Number());
    const auto age = reader.Signed();
    isValid = isValid && (age == kServes || isAge(age));
    if (isAge(age)) {
      presence.goneAt = InstantOf(age, aNow);
    }
    history.versions.push_back(std::move(presence));
  }
  if (!isValid || !reader.Ok() || !reader.AtEnd()) {
    return std::nullopt;
  }
  return history;
}

VersionHistoryExchange::VersionHistoryExchange(
  Executor& aExecutor,
  policy::StreamOriginTracker& aTracker,
  VersionHistoryPeers& aPeers)
  : mExecutor(aExecutor)
  , mTracker(aTracker)
  , mPeers(aPeers)
{
}

void
VersionHistoryExchange::AskIfNeeded()
{
  if (mTracker.NeedsHistory(mExecutor.Now())) {
    mPeers.AskForVersions();
  }
}

void
VersionHistoryExchange::OnQuery(const VersionHistoryQuery& aQuery)
{
  if (const auto history = mTracker.History()) {
    mPeers.SendVersions(*history, aQuery.host);
  }
}

void
VersionHistoryExchange::OnHistory(const policy::VersionHistory& aHistory)
{
  const auto now = mExecutor.Now();
  if (mTracker.TakeOver(aHistory, now)) {
    mLog.Info("versions taken over from a peer",
              { { "known_s", std::to_string(ToSeconds(now - aHistory.since)) },
                { "versions", std::to_string(aHistory.versions.size()) } });
  }
}

} // namespace firefly

#pragma once

// Knows which software version began a stream, so that it is continued only by
// backend servers of that version: what two versions write does not fit
// together, and neither the servers nor the answer show it.
//
// The load it answers: all streams that break when a host or many backend
// servers end at once are taken up again within a second, at other hosts than
// before, while two or more versions serve. While only one version can have
// begun streams, nothing is recorded or announced. Otherwise each host
// announces its sends of streams to the others, and a stream that no host
// vouches for is not continued.
//
// That only one version can have begun a stream is known as of an instant: a
// host must have known all changes of the backend servers, without a gap, from
// before the stream can have begun until after it broke. That time ends with a
// read of the log that was sent after the take-up arrived. It begins with the
// host's own start, or with that of another host which has known all changes up
// to where this one began (VersionHistory). A host that has just started
// continues no earlier stream until another one tells it.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "policy/fleet_view.h"

namespace firefly::policy {

// The stable hash of the id of the request that began a stream.
using StreamHash = StrongType<struct StreamHashTag, std::uint64_t>;

StreamHash
StreamHashOf(const RequestId& aId);

// How the version of a stream is known.
enum class OriginSource : std::uint8_t
{
  // Sends of the stream were recorded.
  kRecorded,
  // Only one version can have begun streams of the service.
  kOnlyVersion,
  // The same as far as is known, but a version may have come since, which this
  // host has not learned of.
  kUnconfirmed,
  kUnknown,
};

std::string_view
ToString(OriginSource aSource);

struct StreamOrigin
{
  OriginSource source = OriginSource::kUnknown;
  // Not valid with kUnconfirmed and kUnknown.
  SoftwareVersion version{};
};

// A place in the log of the backend servers: whoever has processed the records
// before it knows all changes that they tell.
using LogPlace = StrongType<struct LogPlaceTag, std::uint64_t>;

// How current the known backend servers are.
struct BackendConfirmation
{
  // All changes that the log had acknowledged then are known.
  Instant readAt{};
  // No host can have learned of another change before this; not before readAt.
  Instant unchangedUntil{};
  LogPlace place{};
};

// The versions that a host has known without a gap.
struct VersionHistory
{
  struct Presence
  {
    ServiceId service;
    SoftwareVersion version;
    // When the last backend server left; empty if there is one.
    std::optional<Instant> goneAt;
  };

  // All changes since this instant and before this place are contained.
  Instant since{};
  LogPlace through{};
  std::vector<Presence> versions;
};

// A send of a stream to a backend server, by this host or another one.
struct StreamSend
{
  StreamHash stream;
  SoftwareVersion version;
  // FleetView::HashAt of the backend server.
  std::uint64_t backend = 0;
  // Whether the caller received the first event from there. Without it, the
  // stream may have been sent to several backend servers.
  bool hasBegun = false;
};

class StreamOriginTracker
{
public:
  struct Options
  {
    // How long after its beginning a stream can be taken up again, until
    // SetStreamLifetime() says otherwise.
    Duration lifetime = std::chrono::seconds(10);
    // A host that does not hear of the departure of a backend server may send
    // streams to it for this time.
    Duration lateSends = std::chrono::seconds(5);
    // If the known backend servers were not confirmed for longer than this, a
    // version may have come or gone meanwhile.
    Duration maxConfirmationGap = std::chrono::seconds(3);
    // Maximum number of streams that are remembered.
    std::size_t maxStreams = 16384;
  };

  StreamOriginTracker() = default;
  explicit StreamOriginTracker(Options aOptions);

  void SetStreamLifetime(Duration aLifetime) { mOptions.lifetime = aLifetime; }

  // A backend server is known to run this version. If it ran another one under
  // the same id, it is not known which of them began its streams.
  void OnBackend(const BackendId& aId,
                 const ServiceId& aService,
                 SoftwareVersion aVersion,
                 Instant aNow);
  void OnBackendGone(const BackendId& aId, Instant aNow);

  // Must be called several times in each maxConfirmationGap, and after each
  // read of the log.
  void OnConfirmed(const BackendConfirmation& aConfirmation);

  // Whether the versions of all streams that can be taken up are not known, as
  // after a start or a gap, so that other hosts should be asked.
  [[nodiscard]] bool NeedsHistory(Instant aNow) const;

  // What other hosts can take over; empty before the first confirmation.
  [[nodiscard]] std::optional<VersionHistory> History() const;

  // Takes over what another host has known longer than this one. Returns false
  // if it has not, or if there may be a gap between its knowledge and what this
  // host knows itself.
  bool TakeOver(const VersionHistory& aHistory, Instant aNow);

  // Whether the versions that can have begun streams of the service are more
  // than one, or are not known. Sends of its streams then have to be recorded
  // and announced.
  [[nodiscard]] bool NeedsRecords(const ServiceId& aService,
                                  Instant aNow) const;

  // Returns whether this says more about the stream than was known.
  bool OnSend(const StreamSend& aSend, Instant aNow);

  // Which version began the stream; aStream is empty if the caller names none.
  // aAsOf is when its take-up arrived, or another instant after it broke.
  [[nodiscard]] StreamOrigin OriginOf(const ServiceId& aService,
                                      std::optional<StreamHash> aStream,
                                      Instant aAsOf,
                                      Instant aNow) const;

  // Number of versions that can have begun streams of the service, as far as
  // known.
  [[nodiscard]] std::size_t VersionCount(const ServiceId& aService,
                                         Instant aNow) const;
  [[nodiscard]] std::size_t RecordedStreams() const { return mStreams.size(); }

private:
  struct Record
  {
    SoftwareVersion version;
    std::uint64_t backend = 0;
    Instant lastSend{};
    bool hasBegun = false;
    // Sends to several versions are known, or to a backend server that changed
    // its version, and not which of them began the stream.
    bool isAmbiguous = false;
  };
  struct Presence
  {
    std::size_t backends = 0;
    // When the last backend server left, if there is none.
    Instant goneAt{};
  };
  struct KnownBackend
  {
    ServiceId service;
    SoftwareVersion version;
  };

  [[nodiscard]] Duration Memory() const;
  // The only version that can have begun streams of the service.
  [[nodiscard]] std::optional<SoftwareVersion> OnlyVersion(
    const ServiceId& aService,
    Instant aNow) const;
  void RemoveOldRecords(Instant aNow);

  Options mOptions;
  std::unordered_map<BackendId, KnownBackend> mBackends;
  std::map<ServiceId, std::map<SoftwareVersion, Presence>> mVersions;
  std::optional<BackendConfirmation> mConfirmation;
  // Since when no change of the backend servers can have been missed.
  std::optional<Instant> mCompleteSince;
  // From here on, this host has processed all changes itself.
  LogPlace mOwnFrom{};
  std::unordered_map<StreamHash, Record> mStreams;
  // The streams by the time of their last known send, or an earlier one.
  std::deque<std::pair<Instant, StreamHash>> mStreamsByAge;
};

} // namespace firefly::policy

#include "servers/relay/peer_update_channel.h"

#include <algorithm>
#include <utility>

#include "coord/codec.h"

namespace firefly {

namespace {

// Maximum size of a datagram that fits into one Ethernet frame.
constexpr std::size_t kMaxDatagramBytes = 1400;
// Only this many of a prompt's longest prefixes are sent; the shorter ones are
// shared by most prompts.
constexpr std::size_t kMaxNoticePrefixes = 4;
// Values of the first field of a datagram: the kind of the message.
constexpr std::uint64_t kFeedUpdate = 1;
constexpr std::uint64_t kNotice = 2;
constexpr std::uint64_t kRoutingUpdate = 3;
constexpr std::uint64_t kForwarded = 4;
constexpr std::uint64_t kReadFailure = 5;
constexpr std::uint64_t kCrashSuspicions = 6;
// kHostUsageMessage = 7 and kTimeMessage = 8, servers/duties/usage_messages.h.
constexpr std::uint64_t kStreamSend = 9;
// 10 and 11, servers/relay/version_history_exchange.cpp.
// The age of a feed update that states none.
constexpr std::int64_t kNoAge = -1;
// Older feed updates state no age. Far longer than any bound on the staleness
// of a routing table, and short enough that sums of ages do not overflow.
constexpr Duration kMaxAge = std::chrono::hours(1);
// Bounds of the numbers in a notice about a limit.
constexpr double kMaxRequestRate = 1e6;
constexpr std::uint32_t kMaxPlaces = 1000;
constexpr double kMilli = 1000;
// Size of the encoded age: a type and four bytes.
constexpr std::size_t kMaxAgeBytes = 5;
// Maximum time that the network is assumed to take for a datagram.
constexpr Duration kNetworkAllowance = std::chrono::milliseconds(500);
constexpr auto kLastFeed = static_cast<std::uint64_t>(SharedFeed::kRouting);
constexpr auto kLastNoticeKind =
  static_cast<std::uint64_t>(policy::BackendNotice::Kind::kRateLimit);

std::string
EncodeRecord(const coord::KeyedRecord& aRecord)
{
  return coord::FieldWriter()
    .Text(aRecord.key)
    .Number(aRecord.offset.Value())
    .Flag(aRecord.value.has_value())
    .Text(aRecord.value.value_or(""))
    .Take();
}

// One datagram of a feed update. The age follows `bytes`, so that it can be
// computed anew for each receiver.
struct FeedDatagram
{
  std::string bytes;
  // Whether it ends where the read ends.
  bool isLast = false;

  [[nodiscard]] std::string WithAge(std::optional<Duration> aAge) const
  {
    // Rounded up, since an age may be overstated but not understated.
    const auto age =
      isLast && aAge && *aAge <= kMaxAge
        ? std::chrono::ceil<std::chrono::milliseconds>(*aAge).count()
        : kNoAge;
    return bytes + coord::FieldWriter().Signed(age).Take();
  }
};

// Collects the records of one datagram.
struct DatagramDraft
{
  SharedFeed feed = SharedFeed::kBackends;
  coord::LogOffset from;
  std::uint64_t count = 0;
  std::string records{};

  [[nodiscard]] std::string Encode(coord::LogOffset aNext) const
  {
    return coord::FieldWriter()
             .Number(kFeedUpdate)
             .Number(static_cast<std::uint64_t>(feed))
             .Number(from.Value())
             .Number(aNext.Value())
             .Number(count)
             .Take() +
           records;
  }
};

std::vector<FeedDatagram>
EncodeWithoutAge(const FeedUpdate& aUpdate)
{
  std::vector<FeedDatagram> datagrams;
  const auto end = aUpdate.progress.next;
  DatagramDraft draft{ .feed = aUpdate.feed, .from = aUpdate.progress.from };
  const auto hasRoomFor = [&](const std::string& aRecord) {
    return draft.Encode(end).size() + aRecord.size() + kMaxAgeBytes <=
           kMaxDatagramBytes;
  };
  const auto finish = [&](coord::LogOffset aNext) {
    datagrams.push_back(
      { .bytes = draft.Encode(aNext), .isLast = aNext == end });
    draft = { .feed = aUpdate.feed, .from = aNext };
  };
  for (const auto& it : aUpdate.progress.newRecords) {
    const auto record = EncodeRecord(it);
    if (draft.count > 0 && !hasRoomFor(record)) {
      finish(it.offset);
    }
    if (!hasRoomFor(record)) {
      if (datagrams.empty()) {
        finish(it.offset);
      }
      return datagrams;
    }
    draft.records += record;
    draft.count++;
  }
  finish(end);
  return datagrams;
}

std::string
EncodeRateLimit(const policy::BackendNotice& aNotice, Instant aNow)
{
  const auto& limit = aNotice.limit;
  const auto age = std::clamp(aNow - limit.heardAt, Duration::zero(), kMaxAge);
  return coord::FieldWriter()
    .Number(kNotice)
    .Number(static_cast<std::uint64_t>(aNotice.kind))
    .Number(aNotice.backend)
    .Number(limit.startedAt)
    .Flag(limit.rate.has_value())
    .Number(static_cast<std::uint64_t>(
      std::min(limit.rate.value_or(policy::RequestRate(0)).Value(),
               kMaxRequestRate) *
      kMilli))
    .Number(static_cast<std::uint64_t>(
      std::chrono::floor<std::chrono::milliseconds>(age).count()))
    .Number(aNotice.places)
    .Take();
}

// Reads what follows the kind of a notice.
std::optional<policy::BackendNotice>
DecodeRateLimit(coord::FieldReader& aReader, Instant aNow)
{
  policy::BackendNotice notice;
  notice.kind = policy::BackendNotice::Kind::kRateLimit;
  notice.backend = aReader.Number();
  notice.limit.startedAt = aReader.Number();
  const bool hasRate = aReader.Flag();
  const auto rate = static_cast<double>(aReader.Number()) / kMilli;
  const std::chrono::milliseconds age(aReader.Number());
  notice.places = static_cast<std::uint32_t>(aReader.Number());
  if (!aReader.Ok() || !aReader.AtEnd() || rate > kMaxRequestRate ||
      age.count() < 0 || age > kMaxAge || notice.places > kMaxPlaces) {
    return std::nullopt;
  }
  if (hasRate) {
    notice.limit.rate = policy::RequestRate(rate);
  }
  notice.limit.heardAt = aNow - age;
  return notice;
}

std::optional<Duration>
AgeAt(const coord::FeedProgress& aProgress, Instant aNow)
{
  return aProgress.readAt ? std::optional(aNow - *aProgress.readAt)
                          : std::nullopt;
}

} // namespace

std::vector<std::string>
EncodeFeedUpdate(const FeedUpdate& aUpdate)
{
  std::vector<std::string> datagrams;
  for (const auto& it : EncodeWithoutAge(aUpdate)) {
    datagrams.push_back(it.WithAge(aUpdate.age));
  }
  return datagrams;
}

std::optional<FeedUpdate>
DecodeFeedUpdate(std::string_view aBytes)
{
  coord::FieldReader reader(aBytes);
  if (reader.Number() != kFeedUpdate) {
    return std::nullopt;
  }
  const auto feed = reader.Number();
  FeedUpdate update;
  auto& progress = update.progress;
  progress.from = coord::LogOffset(reader.Number());
  progress.next = coord::LogOffset(reader.Number());
  const auto n = reader.Number();
  for (std::uint64_t i = 0; i < n && reader.Ok(); ++i) {
    coord::KeyedRecord record;
    record.key = reader.Text();
    record.offset = coord::LogOffset(reader.Number());
    const bool hasValue = reader.Flag();
    auto value = reader.Text();
    if (hasValue) {
      record.value = std::move(value);
    }
    progress.newRecords.push_back(std::move(record));
  }
  const auto age = reader.Signed();
  if (!reader.Ok() || !reader.AtEnd() || feed > kLastFeed || age < kNoAge ||
      age > std::chrono::floor<std::chrono::milliseconds>(kMaxAge).count()) {
    return std::nullopt;
  }
  update.feed = static_cast<SharedFeed>(feed);
  if (age != kNoAge) {
    update.age = std::chrono::milliseconds(age);
  }
  return update;
}

std::optional<Instant>
ReadInstant(const FeedUpdate& aUpdate, Instant aEmptyAt)
{
  if (!aUpdate.age) {
    return std::nullopt;
  }
  return aEmptyAt - *aUpdate.age - kNetworkAllowance;
}

std::string
EncodeRoutingUpdate(const RoutingUpdate& aUpdate)
{
  return coord::FieldWriter()
    .Number(kRoutingUpdate)
    .Number(aUpdate.version)
    .Number(aUpdate.next.Value())
    .Number(aUpdate.bytes)
    .Text(aUpdate.host)
    .Take();
}

std::optional<RoutingUpdate>
DecodeRoutingUpdate(std::string_view aBytes)
{
  coord::FieldReader reader(aBytes);
  if (reader.Number() != kRoutingUpdate) {
    return std::nullopt;
  }
  RoutingUpdate update;
  update.version = reader.Number();
  update.next = coord::LogOffset(reader.Number());
  update.bytes = reader.Number();
  update.host = reader.Text();
  if (!reader.Ok() || !reader.AtEnd()) {
    return std::nullopt;
  }
  return update;
}

std::string
EncodeReadFailure(const ReadFailure& aFailure)
{
  return coord::FieldWriter()
    .Number(kReadFailure)
    .Number(static_cast<std::uint64_t>(aFailure.feed))
    .Text(aFailure.host)
    .Take();
}

std::optional<ReadFailure>
DecodeReadFailure(std::string_view aBytes)
{
  coord::FieldReader reader(aBytes);
  if (reader.Number() != kReadFailure) {
    return std::nullopt;
  }
  const auto feed = reader.Number();
  ReadFailure failure;
  failure.host = reader.Text();
  if (!reader.Ok() || !reader.AtEnd() || feed > kLastFeed) {
    return std::nullopt;
  }
  failure.feed = static_cast<SharedFeed>(feed);
  return failure;
}

std::string
EncodeStreamSend(const policy::StreamSend& aSend)
{
  return coord::FieldWriter()
    .Number(kStreamSend)
    .Number(aSend.stream.Value())
    .Number(aSend.version.Value())
    .Number(aSend.backend)
    .Flag(aSend.hasBegun)
    .Take();
}

std::optional<policy::StreamSend>
DecodeStreamSend(std::string_view aBytes)
{
  coord::FieldReader reader(aBytes);
  if (reader.Number() != kStreamSend) {
    return std::nullopt;
  }
  policy::StreamSend send;
  send.stream = policy::StreamHash(reader.Number());
  send.version = policy::SoftwareVersion(reader.Number());
  send.backend = reader.Number();
  send.hasBegun = reader.Flag();
  if (!reader.Ok() || !reader.AtEnd()) {
    return std::nullopt;
  }
  return send;
}

std::string
EncodeNotice(const policy::BackendNotice& aNotice, Instant aNow)
{
  if (aNotice.kind == policy::BackendNotice::Kind::kRateLimit) {
    return EncodeRateLimit(aNotice, aNow);
  }
  coord::FieldWriter writer;
  writer.Number(kNotice)
    .Number(static_cast<std::uint64_t>(aNotice.kind))
    .Number(aNotice.backend)
    .Number(aNotice.uncached.Value())
    .Number(aNotice.urgency.Value());
  const auto n = std::min(aNotice.prefixes.size(), kMaxNoticePrefixes);
  for (auto i = aNotice.prefixes.size() - n; i < aNotice.prefixes.size(); ++i) {
    writer.Number(aNotice.prefixes[i]);
  }
  return writer.Take();
}

std::optional<policy::BackendNotice>
DecodeNotice(std::string_view aBytes, Instant aNow)
{
  coord::FieldReader reader(aBytes);
  if (reader.Number() != kNotice) {
    return std::nullopt;
  }
  const auto kind = reader.Number();
  if (kind ==
      static_cast<std::uint64_t>(policy::BackendNotice::Kind::kRateLimit)) {
    return DecodeRateLimit(reader, aNow);
  }
  policy::BackendNotice notice;
  notice.backend = reader.Number();
  notice.uncached = policy::Tokens(static_cast<std::uint32_t>(reader.Number()));
  notice.urgency =
    policy::EngineUrgency(static_cast<std::uint8_t>(reader.Number()));
  while (reader.Ok() && !reader.AtEnd()) {
    notice.prefixes.push_back(reader.Number());
  }
  if (!reader.Ok() || kind > kLastNoticeKind) {
    return std::nullopt;
  }
  notice.kind = static_cast<policy::BackendNotice::Kind>(kind);
  return notice;
}

std::vector<std::string>
EncodeCrashSuspicions(const std::vector<policy::CrashSuspicion>& aSuspicions)
{
  const auto head = coord::FieldWriter().Number(kCrashSuspicions).Take();
  std::vector<std::string> datagrams;
  for (const auto& it : aSuspicions) {
    coord::FieldWriter writer;
    writer.Number(it.clearances)
      .Number(it.crashes)
      .Number(it.trials)
      .Flag(it.isContrasted)
      .Number(it.traits.size());
    for (const auto& trait : it.traits) {
      writer.Number(trait.Value());
    }
    const auto bytes = writer.Take();
    if (datagrams.empty() ||
        datagrams.back().size() + bytes.size() > kMaxDatagramBytes) {
      datagrams.push_back(head);
    }
    datagrams.back() += bytes;
  }
  return datagrams;
}

std::optional<std::vector<policy::CrashSuspicion>>
DecodeCrashSuspicions(std::string_view aBytes)
{
  coord::FieldReader reader(aBytes);
  if (reader.Number() != kCrashSuspicions) {
    return std::nullopt;
  }
  std::vector<policy::CrashSuspicion> suspicions;
  while (reader.Ok() && !reader.AtEnd()) {
    policy::CrashSuspicion suspicion;
    suspicion.clearances = static_cast<std::uint32_t>(reader.Number());
    suspicion.crashes = static_cast<std::uint32_t>(reader.Number());
    suspicion.trials = static_cast<std::uint32_t>(reader.Number());
    suspicion.isContrasted = reader.Flag();
    const auto n = reader.Number();
    for (std::uint64_t i = 0; i < n && reader.Ok(); ++i) {
      suspicion.traits.emplace_back(reader.Number());
    }
    suspicions.push_back(std::move(suspicion));
  }
  if (!reader.Ok()) {
    return std::nullopt;
  }
  return suspicions;
}

std::string
EncodeForwarded(const std::string& aBytes)
{
  return coord::FieldWriter().Number(kForwarded).Text(aBytes).Take();
}

std::optional<std::string>
DecodeForwarded(std::string_view aDatagram)
{
  coord::FieldReader reader(aDatagram);
  if (reader.Number() != kForwarded) {
    return std::nullopt;
  }
  auto bytes = reader.Text();
  if (!reader.Ok() || !reader.AtEnd()) {
    return std::nullopt;
  }
  return bytes;
}

PeerUpdateChannel::PeerUpdateChannel(Options aOptions,
                                     AsioExecutor& aExecutor,
                                     Handlers aHandlers)
  : mOptions(std::move(aOptions))
  , mExecutor(aExecutor)
  , mSocket(aExecutor)
  , mHandlers(std::move(aHandlers))
{
}

tl::expected<void, GossipError>
PeerUpdateChannel::Start()
{
  auto opened = mSocket.Open(mOptions.address,
                             mOptions.port,
                             [this](std::string_view aIt) { OnDatagram(aIt); });
  if (opened && mOptions.socketCheck > Duration::zero()) {
    mSocket.CheckPeriodically(mOptions.socketCheck);
  }
  return opened;
}

void
PeerUpdateChannel::OnDatagram(std::string_view aBytes)
{
  const auto forwarded = DecodeForwarded(aBytes);
  if (forwarded) {
    Deliver(*forwarded, true);
  } else {
    Deliver(aBytes, false);
  }
}

void
PeerUpdateChannel::Forward(std::string_view aBytes, bool aIsForwarder)
{
  if (aIsForwarder) {
    SendToAll(std::string(aBytes), mHandlers.domainPeers());
  }
}

void
PeerUpdateChannel::Deliver(std::string_view aBytes, bool aIsForwarder)
{
  if (const auto notice = DecodeNotice(aBytes, mExecutor.Now())) {
    mHandlers.onNotice(*notice);
    Forward(aBytes, aIsForwarder);
    return;
  }
  if (const auto send = DecodeStreamSend(aBytes)) {
    mHandlers.onStreamSend(*send);
    Forward(aBytes, aIsForwarder);
    return;
  }
  if (auto update = DecodeFeedUpdate(aBytes)) {
    update->progress.readAt = ReadInstant(*update, mSocket.EmptyAt());
    mHandlers.onFeedUpdate(*update);
    if (aIsForwarder) {
      // Encoded anew, with the age that the read has by now.
      Send(*update, { .direct = mHandlers.domainPeers(), .forwarders = {} });
    }
    return;
  }
  if (const auto suspicions = DecodeCrashSuspicions(aBytes)) {
    mHandlers.onCrashSuspicions(*suspicions);
    Forward(aBytes, aIsForwarder);
    return;
  }
  if (const auto failure = DecodeReadFailure(aBytes)) {
    mHandlers.onReadFailure(*failure);
    Forward(aBytes, aIsForwarder);
    return;
  }
  if (const auto query = DecodeVersionHistoryQuery(aBytes)) {
    mHandlers.onVersionQuery(*query);
    return;
  }
  if (const auto history = DecodeVersionHistory(aBytes, mExecutor.Now())) {
    mHandlers.onVersionHistory(*history);
    return;
  }
  if (const auto update = DecodeRoutingUpdate(aBytes)) {
    mHandlers.onRoutingUpdate(*update, aIsForwarder);
    return;
  }
  if (mHandlers.onHostUsage) {
    if (const auto usage = DecodeHostUsage(aBytes)) {
      mHandlers.onHostUsage(*usage);
      return;
    }
  }
  if (mHandlers.onTime) {
    if (const auto message = DecodeTimeMessage(aBytes)) {
      mHandlers.onTime(*message);
    }
  }
}

void
PeerUpdateChannel::Send(const FeedUpdate& aUpdate, const PeerTargets& aTargets)
{
  // The age is computed right before each datagram is sent: a stop of this
  // process before that is part of it.
  const auto send = [this](const std::string& aHost,
                           const std::string& aBytes) {
    mSocket.Send(MakePeerAddress(aHost, mOptions.port), aBytes);
  };
  for (const auto& it : EncodeWithoutAge(aUpdate)) {
    const auto bytes = [&] {
      return it.WithAge(AgeAt(aUpdate.progress, mExecutor.Now()));
    };
    // The copies that travel farthest first.
    for (const auto& host : aTargets.forwarders) {
      send(host, EncodeForwarded(bytes()));
    }
    for (const auto& host : aTargets.direct) {
      send(host, bytes());
    }
  }
}

void
PeerUpdateChannel::Send(RoutingUpdate aUpdate, const PeerTargets& aTargets)
{
  aUpdate.host = mOptions.address;
  SendTo(EncodeRoutingUpdate(aUpdate), aTargets);
}

void
PeerUpdateChannel::Send(const policy::BackendNotice& aNotice,
                        const PeerTargets& aTargets)
{
  SendTo(EncodeNotice(aNotice, mExecutor.Now()), aTargets);
}

void
PeerUpdateChannel::Send(const policy::StreamSend& aSend,
                        const PeerTargets& aTargets)
{
  SendTo(EncodeStreamSend(aSend), aTargets);
}

void
PeerUpdateChannel::AskForVersions(const PeerTargets& aTargets)
{
  SendTo(EncodeVersionHistoryQuery({ .host = mOptions.address }), aTargets);
}

void
PeerUpdateChannel::Send(const policy::VersionHistory& aHistory,
                        const PeerTargets& aTargets)
{
  SendTo(EncodeVersionHistory(aHistory, mExecutor.Now()), aTargets);
}

void
PeerUpdateChannel::Send(const std::vector<policy::CrashSuspicion>& aSuspicions,
                        const PeerTargets& aTargets)
{
  for (const auto& it : EncodeCrashSuspicions(aSuspicions)) {
    SendTo(it, aTargets);
  }
}

void
PeerUpdateChannel::Send(ReadFailure aFailure, const PeerTargets& aTargets)
{
  aFailure.host = mOptions.address;
  SendTo(EncodeReadFailure(aFailure), aTargets);
}

void
PeerUpdateChannel::Send(const policy::HostUsage& aUsage,
                        const PeerTargets& aTargets)
{
  SendTo(EncodeHostUsage(aUsage), aTargets);
}

void
PeerUpdateChannel::Send(const TimeMessage& aMessage,
                        const PeerTargets& aTargets)
{
  SendTo(EncodeTimeMessage(aMessage), aTargets);
}

void
PeerUpdateChannel::SendTo(const std::string& aBytes,
                          const PeerTargets& aTargets)
{
  // The copies that travel farthest first.
  SendToAll(EncodeForwarded(aBytes), aTargets.forwarders);
  SendToAll(aBytes, aTargets.direct);
}

void
PeerUpdateChannel::SendToAll(const std::string& aBytes,
                             const std::vector<std::string>& aHosts)
{
  for (const auto& it : aHosts) {
    mSocket.Send(MakePeerAddress(it, mOptions.port), aBytes);
  }
}

} // namespace firefly

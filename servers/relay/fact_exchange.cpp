#include "servers/relay/fact_exchange.h"

#include <algorithm>
#include <utility>

#include "coord/codec.h"

namespace firefly {

namespace {

// A datagram that fits into one Ethernet frame.
constexpr std::size_t kMaxBytes = 1400;
// The deepest prefixes of a prompt that are told; the others are shared by most
// prompts.
constexpr std::size_t kMaxPrefixes = 4;
// The first field of a datagram: what it tells.
constexpr std::uint64_t kProgress = 1;
constexpr std::uint64_t kNotice = 2;
constexpr std::uint64_t kRoutingNews = 3;
constexpr auto kLastFeed = static_cast<std::uint64_t>(SharedFeed::kRouting);
constexpr auto kLastNoticeKind =
  static_cast<std::uint64_t>(policy::BackendNotice::Kind::kSilent);

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

// One datagram; the records are encoded already.
struct Piece
{
  SharedFeed feed = SharedFeed::kBackends;
  coord::LogOffset from;
  std::uint64_t count = 0;
  std::string records{};

  [[nodiscard]] std::string Encode(coord::LogOffset aNext) const
  {
    return coord::FieldWriter()
             .Number(kProgress)
             .Number(static_cast<std::uint64_t>(feed))
             .Number(from.Value())
             .Number(aNext.Value())
             .Number(count)
             .Take() +
           records;
  }
};

} // namespace

std::vector<std::string>
EncodeProgress(const SharedProgress& aProgress)
{
  std::vector<std::string> datagrams;
  Piece piece{ .feed = aProgress.feed, .from = aProgress.progress.from };
  const auto hasRoomFor = [&](const std::string& aRecord) {
    const auto bytes = piece.Encode(aProgress.progress.next);
    return bytes.size() + aRecord.size() <= kMaxBytes;
  };
  const auto end = [&](coord::LogOffset aNext) {
    datagrams.push_back(piece.Encode(aNext));
    piece = { .feed = aProgress.feed, .from = aNext };
  };
  for (const auto& it : aProgress.progress.news) {
    const auto record = EncodeRecord(it);
    if (piece.count > 0 && !hasRoomFor(record)) {
      end(it.offset);
    }
    if (!hasRoomFor(record)) {
      if (datagrams.empty()) {
        end(it.offset);
      }
      return datagrams;
    }
    piece.records += record;
    piece.count++;
  }
  end(aProgress.progress.next);
  return datagrams;
}

std::optional<SharedProgress>
DecodeProgress(std::string_view aBytes)
{
  coord::FieldReader reader(aBytes);
  if (reader.Number() != kProgress) {
    return std::nullopt;
  }
  const auto feed = reader.Number();
  SharedProgress shared;
  auto& progress = shared.progress;
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
    progress.news.push_back(std::move(record));
  }
  if (!reader.Ok() || !reader.AtEnd() || feed > kLastFeed) {
    return std::nullopt;
  }
  shared.feed = static_cast<SharedFeed>(feed);
  return shared;
}

std::string
EncodeRoutingNews(const RoutingNews& aNews)
{
  return coord::FieldWriter()
    .Number(kRoutingNews)
    .Number(aNews.version)
    .Number(aNews.next.Value())
    .Number(aNews.bytes)
    .Text(aNews.host)
    .Take();
}

std::optional<RoutingNews>
DecodeRoutingNews(std::string_view aBytes)
{
  coord::FieldReader reader(aBytes);
  if (reader.Number() != kRoutingNews) {
    return std::nullopt;
  }
  RoutingNews news;
  news.version = reader.Number();
  news.next = coord::LogOffset(reader.Number());
  news.bytes = reader.Number();
  news.host = reader.Text();
  if (!reader.Ok() || !reader.AtEnd()) {
    return std::nullopt;
  }
  return news;
}

std::string
EncodeNotice(const policy::BackendNotice& aNotice)
{
  coord::FieldWriter writer;
  writer.Number(kNotice)
    .Number(static_cast<std::uint64_t>(aNotice.kind))
    .Number(aNotice.backend)
    .Number(aNotice.uncached.Value())
    .Number(aNotice.urgency.Value());
  const auto n = std::min(aNotice.prefixes.size(), kMaxPrefixes);
  for (auto i = aNotice.prefixes.size() - n; i < aNotice.prefixes.size(); ++i) {
    writer.Number(aNotice.prefixes[i]);
  }
  return writer.Take();
}

std::optional<policy::BackendNotice>
DecodeNotice(std::string_view aBytes)
{
  coord::FieldReader reader(aBytes);
  if (reader.Number() != kNotice) {
    return std::nullopt;
  }
  const auto kind = reader.Number();
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

FactExchange::FactExchange(Options aOptions,
                           AsioExecutor& aExecutor,
                           Handlers aHandlers)
  : mOptions(std::move(aOptions))
  , mSocket(aExecutor)
  , mHandlers(std::move(aHandlers))
{
}

tl::expected<void, GossipError>
FactExchange::Start()
{
  return mSocket.Open(
    mOptions.address, mOptions.port, [this](std::string_view aBytes) {
      if (const auto notice = DecodeNotice(aBytes)) {
        mHandlers.onNotice(*notice);
      } else if (const auto news = DecodeRoutingNews(aBytes)) {
        mHandlers.onRouting(*news);
      } else if (const auto progress = DecodeProgress(aBytes)) {
        mHandlers.onProgress(*progress);
      }
    });
}

void
FactExchange::Tell(const SharedProgress& aProgress,
                   const std::vector<std::string>& aHosts)
{
  for (const auto& it : EncodeProgress(aProgress)) {
    SendAll(it, aHosts);
  }
}

void
FactExchange::Tell(RoutingNews aNews, const std::vector<std::string>& aHosts)
{
  aNews.host = mOptions.address;
  SendAll(EncodeRoutingNews(aNews), aHosts);
}

void
FactExchange::Tell(const policy::BackendNotice& aNotice,
                   const std::vector<std::string>& aHosts)
{
  SendAll(EncodeNotice(aNotice), aHosts);
}

void
FactExchange::SendAll(const std::string& aBytes,
                      const std::vector<std::string>& aHosts)
{
  for (const auto& it : aHosts) {
    mSocket.Send(MakePeerAddress(it, mOptions.port), aBytes);
  }
}

} // namespace firefly

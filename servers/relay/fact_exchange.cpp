#include "servers/relay/fact_exchange.h"

#include <utility>

#include "coord/codec.h"

namespace firefly {

namespace {

// A datagram that fits into one Ethernet frame.
constexpr std::size_t kMaxBytes = 1400;
constexpr std::uint64_t kFormat = 1;

} // namespace

std::optional<std::string>
EncodeProgress(const coord::FeedProgress& aProgress)
{
  coord::FieldWriter writer;
  writer.Number(kFormat)
    .Number(aProgress.from.Value())
    .Number(aProgress.next.Value())
    .Number(aProgress.news.size());
  for (const auto& it : aProgress.news) {
    writer.Text(it.key)
      .Number(it.offset.Value())
      .Flag(it.value.has_value())
      .Text(it.value.value_or(""));
  }
  auto bytes = writer.Take();
  if (bytes.size() > kMaxBytes) {
    return std::nullopt;
  }
  return bytes;
}

std::optional<coord::FeedProgress>
DecodeProgress(std::string_view aBytes)
{
  coord::FieldReader reader(aBytes);
  if (reader.Number() != kFormat) {
    return std::nullopt;
  }
  coord::FeedProgress progress;
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
  if (!reader.Ok() || !reader.AtEnd()) {
    return std::nullopt;
  }
  return progress;
}

FactExchange::FactExchange(Options aOptions,
                           AsioExecutor& aExecutor,
                           Handler aHandler)
  : mOptions(std::move(aOptions))
  , mSocket(aExecutor)
  , mHandler(std::move(aHandler))
{
}

tl::expected<void, GossipError>
FactExchange::Start()
{
  return mSocket.Open(
    mOptions.address, mOptions.port, [this](std::string_view aBytes) {
      if (const auto progress = DecodeProgress(aBytes)) {
        mHandler(*progress);
      }
    });
}

void
FactExchange::Tell(const coord::FeedProgress& aProgress,
                   const std::vector<std::string>& aHosts)
{
  const auto bytes = EncodeProgress(aProgress);
  if (!bytes) {
    return;
  }
  for (const auto& it : aHosts) {
    mSocket.Send(MakePeerAddress(it, mOptions.port), *bytes);
  }
}

} // namespace firefly

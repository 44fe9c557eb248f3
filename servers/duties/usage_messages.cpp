#include "servers/duties/usage_messages.h"

#include "coord/codec.h"

namespace firefly {

namespace {

using policy::UsageCounts;
using policy::UsageJournal;
using policy::UsageWindow;

constexpr std::uint64_t kRecordVersion = 1;

void
Write(coord::FieldWriter& aWriter, const UsageCounts& aCounts)
{
  aWriter.Number(aCounts.size());
  for (const auto& [customer, count] : aCounts) {
    aWriter.Text(customer.Value()).Number(count);
  }
}

UsageCounts
ReadCounts(coord::FieldReader& aReader)
{
  UsageCounts counts;
  const auto n = aReader.Number();
  for (std::uint64_t i = 0; i < n && aReader.Ok(); ++i) {
    CustomerId customer(aReader.Text());
    counts[std::move(customer)] = aReader.Number();
  }
  return counts;
}

} // namespace

std::string
EncodeHostUsage(const policy::HostUsage& aUsage)
{
  coord::FieldWriter writer;
  writer.Number(kHostUsageMessage)
    .Text(aUsage.host.Value())
    .Number(aUsage.incarnation.Value())
    .Number(aUsage.completeBefore.Value())
    .Number(aUsage.windows.size());
  for (const auto& it : aUsage.windows) {
    writer.Number(it.window.Value()).Number(it.total);
    Write(writer, it.counts);
  }
  return writer.Take();
}

std::optional<policy::HostUsage>
DecodeHostUsage(std::string_view aBytes)
{
  coord::FieldReader reader(aBytes);
  if (reader.Number() != kHostUsageMessage) {
    return std::nullopt;
  }
  policy::HostUsage usage;
  usage.host = HostId(reader.Text());
  usage.incarnation = Incarnation(reader.Number());
  usage.completeBefore = UsageWindow(reader.Number());
  const auto n = reader.Number();
  for (std::uint64_t i = 0; i < n && reader.Ok(); ++i) {
    policy::HostUsage::Window window;
    window.window = UsageWindow(reader.Number());
    window.total = reader.Number();
    window.counts = ReadCounts(reader);
    usage.windows.push_back(std::move(window));
  }
  if (!reader.Ok() || !reader.AtEnd()) {
    return std::nullopt;
  }
  return usage;
}

std::string
EncodeTimeMessage(const TimeMessage& aMessage)
{
  return coord::FieldWriter()
    .Number(kTimeMessage)
    .Text(aMessage.host.Value())
    .Signed(aMessage.time.time_since_epoch().count())
    .Take();
}

std::optional<TimeMessage>
DecodeTimeMessage(std::string_view aBytes)
{
  coord::FieldReader reader(aBytes);
  if (reader.Number() != kTimeMessage) {
    return std::nullopt;
  }
  TimeMessage message;
  message.host = HostId(reader.Text());
  message.time = WallTime(WallTime::duration(reader.Signed()));
  if (!reader.Ok() || !reader.AtEnd()) {
    return std::nullopt;
  }
  return message;
}

std::string
EncodeUsageRecord(const UsageJournal::Record& aRecord)
{
  coord::FieldWriter writer;
  writer.Number(kRecordVersion)
    .Number(aRecord.report.window.Value())
    .Flag(aRecord.oldestUnanswered.has_value())
    .Number(
      aRecord.oldestUnanswered.value_or(policy::JournalOffset(0)).Value());
  Write(writer, aRecord.report.counts);
  return writer.Take();
}

std::optional<UsageJournal::Record>
DecodeUsageRecord(std::string_view aBytes)
{
  coord::FieldReader reader(aBytes);
  if (reader.Number() != kRecordVersion) {
    return std::nullopt;
  }
  UsageJournal::Record record;
  record.report.window = UsageWindow(reader.Number());
  const bool hasUnanswered = reader.Flag();
  const policy::JournalOffset unanswered(reader.Number());
  if (hasUnanswered) {
    record.oldestUnanswered = unanswered;
  }
  record.report.counts = ReadCounts(reader);
  if (!reader.Ok() || !reader.AtEnd()) {
    return std::nullopt;
  }
  return record;
}

} // namespace firefly

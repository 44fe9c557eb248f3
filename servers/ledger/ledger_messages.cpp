#include "servers/ledger/ledger_messages.h"

#include <utility>

#include "coord/codec.h"

namespace firefly {

namespace {

using coord::FieldReader;
using coord::FieldWriter;

void
WriteOutcome(FieldWriter& aWriter, const coord::BookingOutcome& aOutcome)
{
  aWriter.Number(aOutcome.status)
    .Text(aOutcome.answer)
    .Flag(aOutcome.truncated);
}

coord::BookingOutcome
ReadOutcome(FieldReader& aReader)
{
  coord::BookingOutcome outcome;
  outcome.status = static_cast<std::uint32_t>(aReader.Number());
  outcome.answer = aReader.Text();
  outcome.truncated = aReader.Flag();
  return outcome;
}

void
WriteOptional(FieldWriter& aWriter,
              const std::optional<coord::BookingOutcome>& aOutcome)
{
  aWriter.Flag(aOutcome.has_value());
  if (aOutcome) {
    WriteOutcome(aWriter, *aOutcome);
  }
}

std::optional<coord::BookingOutcome>
ReadOptional(FieldReader& aReader)
{
  if (!aReader.Flag()) {
    return std::nullopt;
  }
  return ReadOutcome(aReader);
}

// Returns the value if the reader found all fields and no bytes after them.
template<typename T>
tl::expected<T, MessageError>
CheckComplete(const FieldReader& aReader, T aValue)
{
  if (!aReader.Ok() || !aReader.AtEnd()) {
    return tl::make_unexpected(MessageError{ .message = "malformed body" });
  }
  return aValue;
}

} // namespace

std::string
Encode(const PermitMessage& aMessage)
{
  FieldWriter writer;
  writer.Text(aMessage.key.Value())
    .Text(aMessage.attempt.Value())
    .Number(aMessage.digest.Value())
    .Signed(aMessage.timeout.count())
    .Flag(aMessage.keyTime.has_value());
  if (aMessage.keyTime) {
    writer.Signed(aMessage.keyTime->time_since_epoch().count());
  }
  return writer.Take();
}

std::string
Encode(const OutcomeMessage& aMessage)
{
  FieldWriter writer;
  writer.Text(aMessage.key.Value()).Text(aMessage.attempt.Value());
  WriteOutcome(writer, aMessage.outcome);
  return writer.Take();
}

std::string
Encode(const AbandonMessage& aMessage)
{
  FieldWriter writer;
  writer.Text(aMessage.key.Value()).Text(aMessage.attempt.Value());
  return writer.Take();
}

std::string
Encode(const ShowMessage& aMessage)
{
  FieldWriter writer;
  writer.Text(aMessage.key.Value());
  return writer.Take();
}

std::string
Encode(const coord::Permit& aPermit)
{
  FieldWriter writer;
  writer.Number(static_cast<std::uint64_t>(aPermit.verdict))
    .Number(aPermit.offset.Value())
    .Text(aPermit.holder.Value());
  WriteOptional(writer, aPermit.outcome);
  return writer.Take();
}

std::string
Encode(const std::optional<coord::BookingView>& aView)
{
  FieldWriter writer;
  writer.Flag(aView.has_value());
  if (aView) {
    writer.Text(aView->attempt.Value())
      .Number(aView->digest.Value())
      .Number(aView->offset.Value());
    WriteOptional(writer, aView->outcome);
  }
  return writer.Take();
}

tl::expected<PermitMessage, MessageError>
DecodePermitMessage(std::string_view aBody)
{
  FieldReader reader(aBody);
  PermitMessage message;
  message.key = BookingKey(reader.Text());
  message.attempt = AttemptId(reader.Text());
  message.digest = coord::RequestDigest(reader.Number());
  message.timeout = Duration(reader.Signed());
  if (reader.Flag()) {
    message.keyTime = WallTime(std::chrono::milliseconds(reader.Signed()));
  }
  return CheckComplete(reader, std::move(message));
}

tl::expected<OutcomeMessage, MessageError>
DecodeOutcomeMessage(std::string_view aBody)
{
  FieldReader reader(aBody);
  OutcomeMessage message;
  message.key = BookingKey(reader.Text());
  message.attempt = AttemptId(reader.Text());
  message.outcome = ReadOutcome(reader);
  return CheckComplete(reader, std::move(message));
}

tl::expected<AbandonMessage, MessageError>
DecodeAbandonMessage(std::string_view aBody)
{
  FieldReader reader(aBody);
  AbandonMessage message;
  message.key = BookingKey(reader.Text());
  message.attempt = AttemptId(reader.Text());
  return CheckComplete(reader, std::move(message));
}

tl::expected<ShowMessage, MessageError>
DecodeShowMessage(std::string_view aBody)
{
  FieldReader reader(aBody);
  ShowMessage message;
  message.key = BookingKey(reader.Text());
  return CheckComplete(reader, std::move(message));
}

tl::expected<coord::Permit, MessageError>
DecodePermit(std::string_view aBody)
{
  FieldReader reader(aBody);
  coord::Permit permit;
  const std::uint64_t verdict = reader.Number();
  if (verdict > static_cast<std::uint64_t>(coord::PermitVerdict::kExpired)) {
    return tl::make_unexpected(MessageError{ .message = "unknown verdict" });
  }
  permit.verdict = static_cast<coord::PermitVerdict>(verdict);
  permit.offset = coord::LogOffset(reader.Number());
  permit.holder = AttemptId(reader.Text());
  permit.outcome = ReadOptional(reader);
  return CheckComplete(reader, std::move(permit));
}

tl::expected<std::optional<coord::BookingView>, MessageError>
DecodeView(std::string_view aBody)
{
  FieldReader reader(aBody);
  std::optional<coord::BookingView> view;
  if (reader.Flag()) {
    view.emplace();
    view->attempt = AttemptId(reader.Text());
    view->digest = coord::RequestDigest(reader.Number());
    view->offset = coord::LogOffset(reader.Number());
    view->outcome = ReadOptional(reader);
  }
  return CheckComplete(reader, std::move(view));
}

} // namespace firefly

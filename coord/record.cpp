#include "coord/record.h"

#include "coord/codec.h"

namespace firefly::coord {

std::string
EncodeEnvelope(const Envelope& aEnvelope)
{
  return FieldWriter()
    .Text(aEnvelope.id.writer.Value())
    .Number(aEnvelope.id.sequence)
    .Number(static_cast<std::uint64_t>(aEnvelope.kind))
    .Text(aEnvelope.body)
    .Take();
}

std::optional<Envelope>
DecodeEnvelope(std::string_view aPayload)
{
  FieldReader reader(aPayload);
  Envelope envelope;
  envelope.id.writer = WriterId(reader.Text());
  envelope.id.sequence = reader.Number();
  envelope.kind = static_cast<RecordKind>(reader.Number());
  envelope.body = reader.Text();
  if (!reader.Ok()) {
    return std::nullopt;
  }
  return envelope;
}

} // namespace firefly::coord

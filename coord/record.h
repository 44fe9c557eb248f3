#pragma once

// The envelope of all records in the system's own streams. The writer id and
// sequence number identify a record, so that a writer whose append was not
// answered can read the stream to find out whether it took effect.

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/strong_type.h"

namespace firefly::coord {

// Identifies a writer. A process never reuses an id after a restart.
using WriterId = StrongType<struct WriterIdTag, std::string>;

// Identifies a record. A repeated append may place the same record in a stream
// twice; folds ignore the second copy.
struct RecordId
{
  WriterId writer{};
  std::uint64_t sequence = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a default
  auto operator<=>(const RecordId&) const = default;
};

// The kinds of records. The numbers are stored in the log and must not change.
enum class RecordKind : std::uint8_t
{
  kCheckpoint = 0,
  kClaim = 1,
  kRenewal = 2,
  kRelease = 3,
  kOrderIntent = 4,
  kOrderOutcome = 5,
  kPlanEvent = 6,
  kTableEdit = 16,
  kBookingIntent = 32,
  kBookingAbandon = 33,
  kBookingOutcome = 34,
};

// A record whose body holds the encoded fields of its kind.
struct Envelope
{
  RecordId id{};
  RecordKind kind = RecordKind::kCheckpoint;
  std::string body{};
};

// Encodes an envelope as a log payload.
[[nodiscard]] std::string
EncodeEnvelope(const Envelope& aEnvelope);

// Decodes a log payload; empty if it is not an envelope.
[[nodiscard]] std::optional<Envelope>
DecodeEnvelope(std::string_view aPayload);

} // namespace firefly::coord

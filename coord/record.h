#pragma once

// The envelope of each record of the system's own streams. Its writer and
// sequence identify the record, so that a writer whose append got no answer
// finds out by reading whether it took effect.

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/strong_type.h"

namespace firefly::coord {

// One life of one writing process; never used again after a restart.
using WriterId = StrongType<struct WriterIdTag, std::string>;

// Identifies a record. The same record may stand in a stream twice, after an
// append was repeated; folds ignore the second one.
struct RecordId
{
  WriterId writer{};
  std::uint64_t sequence = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): a false finding on defaults
  auto operator<=>(const RecordId&) const = default;
};

// The kinds of records; the numbers stand in the log and never change.
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

// A record with its kind's fields still encoded in the body.
struct Envelope
{
  RecordId id{};
  RecordKind kind = RecordKind::kCheckpoint;
  std::string body{};
};

// The envelope as a log payload.
[[nodiscard]] std::string
EncodeEnvelope(const Envelope& aEnvelope);

// The envelope of a log payload; nothing if it is not one.
[[nodiscard]] std::optional<Envelope>
DecodeEnvelope(std::string_view aPayload);

} // namespace firefly::coord

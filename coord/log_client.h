#pragma once

// The interface to the platform's append-only log. Each stream is a separate
// sequence of records with its own offsets.

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "core/strong_type.h"

namespace firefly::coord {

// Counts how often the log has been restored from a copy. A copy lacks the
// newest records, whose positions are then given to other records.
using LogEra = StrongType<struct LogEraTag, std::uint64_t>;

// A record's place in its stream: the era of the log and, within it, the
// position, which increases by one with each record. The order of two offsets
// is that of their eras and then their positions, so that whatever was read or
// written after a restore is newer than all that was before, and fencing
// numbers made from offsets never decrease. The era is in the upper bits.
using LogOffset = StrongType<struct LogOffsetTag, std::uint64_t>;

// 10^12 records in one era of a stream.
inline constexpr unsigned kPositionBits = 40;
inline constexpr std::uint64_t kMaxEra = (std::uint64_t{ 1 } << 24U) - 1;

[[nodiscard]] constexpr LogOffset
OffsetIn(LogEra aEra, std::uint64_t aPosition)
{
  return LogOffset((aEra.Value() << kPositionBits) | aPosition);
}

[[nodiscard]] constexpr LogEra
EraOf(LogOffset aOffset)
{
  return LogEra(aOffset.Value() >> kPositionBits);
}

[[nodiscard]] constexpr std::uint64_t
PositionOf(LogOffset aOffset)
{
  return aOffset.Value() & ((std::uint64_t{ 1 } << kPositionBits) - 1);
}

// A stream's name, such as "authority" or "booking-17".
using StreamName = StrongType<struct StreamNameTag, std::string>;

// One record as read from the log.
struct LogRecord
{
  LogOffset offset;
  std::string payload;
};

// The result of a read. Records older than the retention time have been
// removed.
struct LogBatch
{
  std::vector<LogRecord> records;
  LogOffset first; // the oldest offset that is still kept
  LogOffset end;   // one past the newest record at the time of the read
};

enum class LogErrorKind
{
  kUnavailable, // refused or not sent: the call had no effect
  kUnknown,     // no answer: an append may or may not have taken effect
  // The offset asked for is older than the retention time, or of another era.
  kTrimmed,
};

// Why a call to the log failed.
struct LogError
{
  LogErrorKind kind = LogErrorKind::kUnknown;
  std::string message;
};

// The log service. Callbacks run on the caller's executor, exactly once and
// never inside the call; a client that is destroyed drops its callbacks.
class LogClient
{
public:
  using AppendCallback = std::function<void(tl::expected<LogOffset, LogError>)>;
  using ReadCallback = std::function<void(tl::expected<LogBatch, LogError>)>;

  virtual ~LogClient() = default;

  // Appends the payloads as consecutive records; the callback receives the
  // offset of the first one. After kUnknown the caller must read the stream to
  // find out whether the append took effect.
  virtual void Append(const StreamName& aStream,
                      std::vector<std::string> aPayloads,
                      AppendCallback aCallback) = 0;

  // Reads at most aLimit records from the offset on. At the end of the stream
  // the answer is an empty batch.
  virtual void Read(const StreamName& aStream,
                    LogOffset aFrom,
                    std::size_t aLimit,
                    ReadCallback aCallback) = 0;
};

} // namespace firefly::coord

#pragma once

// The log of the platform's stand-in: streams of records in memory, with limits
// on retention.

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "core/clock.h"

namespace firefly::stand_ins {

struct StoredRecord
{
  std::uint64_t offset = 0;
  std::string payload;
  Instant at{};
};

struct StoredBatch
{
  std::vector<StoredRecord> records;
  // The offsets of the first kept record of the stream and of its next record.
  std::uint64_t first = 0;
  std::uint64_t end = 0;
};

// The limits on kept records; zero means no limit.
struct Retention
{
  std::size_t maxRecords = 0; // per stream
  Duration maxAge = Duration::zero();
};

class PlatformLog
{
public:
  // Appends the payloads and returns the offset of the first one.
  std::uint64_t Append(const std::string& aStream,
                       const std::vector<std::string>& aPayloads,
                       Instant aNow);

  // Returns up to aLimit records, starting at offset aFrom. Returns none if
  // aFrom is older than the first kept record.
  StoredBatch Read(const std::string& aStream,
                   std::uint64_t aFrom,
                   std::size_t aLimit,
                   Instant aNow);

  void SetRetention(Retention aRetention) { mRetention = aRetention; }

private:
  struct Stream
  {
    std::deque<StoredRecord> records;
    std::uint64_t end = 0;
  };

  void Trim(Stream& aStream, Instant aNow) const;

  Retention mRetention;
  std::map<std::string, Stream> mStreams;
};

} // namespace firefly::stand_ins

#include "tests/stand_ins/platform/platform_log.h"

namespace firefly::stand_ins {

std::uint64_t
PlatformLog::Append(const std::string& aStream,
                    const std::vector<std::string>& aPayloads,
                    Instant aNow)
{
  Stream& stream = mStreams[aStream];
  const std::uint64_t first = stream.end;
  for (const std::string& payload : aPayloads) {
    stream.records.push_back(
      { .offset = stream.end++, .payload = payload, .at = aNow });
  }
  Trim(stream, aNow);
  return first;
}

StoredBatch
PlatformLog::Read(const std::string& aStream,
                  std::uint64_t aFrom,
                  std::size_t aLimit,
                  Instant aNow)
{
  Stream& stream = mStreams[aStream];
  Trim(stream, aNow);
  StoredBatch batch;
  batch.end = stream.end;
  batch.first =
    stream.records.empty() ? stream.end : stream.records.front().offset;
  if (aFrom < batch.first) {
    return batch;
  }
  for (std::uint64_t i = aFrom - batch.first;
       i < stream.records.size() && batch.records.size() < aLimit;
       ++i) {
    batch.records.push_back(stream.records[i]);
  }
  return batch;
}

void
PlatformLog::Trim(Stream& aStream, Instant aNow) const
{
  const auto isExpired = [&](const StoredRecord& aRecord) {
    const bool isTooOld = mRetention.maxAge > Duration::zero() &&
                          aNow - aRecord.at > mRetention.maxAge;
    const bool isOverCount = mRetention.maxRecords > 0 &&
                             aStream.records.size() > mRetention.maxRecords;
    return isTooOld || isOverCount;
  };
  while (!aStream.records.empty() && isExpired(aStream.records.front())) {
    aStream.records.pop_front();
  }
}

} // namespace firefly::stand_ins

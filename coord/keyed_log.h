#pragma once

// Streams of the log that are compacted by key: the newest record of each key
// is kept permanently, older ones may be dropped.

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "coord/log_client.h"
#include "core/clock.h"

namespace firefly::coord {

// Sets a key to a value, or removes the key if there is no value.
struct KeyedRecord
{
  std::string key;
  std::optional<std::string> value;
  LogOffset offset;
};

// The records of a stream that follow an offset.
struct KeyedBatch
{
  std::vector<KeyedRecord> records;
  // The offset to read on from.
  LogOffset next;
  // The stream's end when the records were read. It is after `next` if the
  // answer does not hold all of them.
  LogOffset end;
};

// A page of the newest records of all keys, sorted by key. Consecutive pages do
// not form a consistent snapshot.
struct NewestPage
{
  std::vector<KeyedRecord> records;
  bool hasMore = false;
  // The stream's end when the page was read.
  LogOffset end;
};

// Terms of a read of the records that follow an offset.
struct KeyedReadTerms
{
  // At the end of the stream, the answer is delayed until the next record
  // arrives, or is empty after this time.
  Duration wait{};
  // The answer holds the first records whose sizes together stay below this.
  std::size_t maxBytes = std::size_t{ 1 } << 20U;
};

// Reads compacted streams. Callbacks run exactly once and never inside the
// call; a client that is destroyed drops its callbacks.
class KeyedLogClient
{
public:
  using NewestCallback =
    std::function<void(tl::expected<NewestPage, LogError>)>;
  using BatchCallback = std::function<void(tl::expected<KeyedBatch, LogError>)>;

  virtual ~KeyedLogClient() = default;

  // Reads the newest records of the keys that sort after aAfterKey; an empty
  // key starts at the first one.
  virtual void ReadNewest(const StreamName& aStream,
                          const std::string& aAfterKey,
                          NewestCallback aCallback) = 0;

  // Reads the records from the offset on. After kTrimmed, call ReadNewest()
  // again.
  virtual void ReadFrom(const StreamName& aStream,
                        LogOffset aFrom,
                        const KeyedReadTerms& aTerms,
                        BatchCallback aCallback) = 0;
};

} // namespace firefly::coord

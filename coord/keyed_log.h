#pragma once

// Streams of the log that are compacted by key: the newest record of each key
// is kept for good, older ones may be dropped.

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "coord/log_client.h"
#include "core/clock.h"

namespace firefly::coord {

// What a key was set to; without a value the key was removed.
struct KeyedRecord
{
  std::string key;
  std::optional<std::string> value;
  LogOffset offset;
};

// The records of a stream from some offset on.
struct KeyedBatch
{
  std::vector<KeyedRecord> records;
  // The offset to read on from.
  LogOffset next;
};

// A page of the newest records of all keys, in the order of the keys. Pages
// that are read one after the other are no snapshot.
struct NewestPage
{
  std::vector<KeyedRecord> records;
  bool hasMore = false;
  // The stream's end when the page was read.
  LogOffset end;
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

  // The newest records of the keys after that one; all for an empty key.
  virtual void ReadNewest(const StreamName& aStream,
                          const std::string& aAfterKey,
                          NewestCallback aCallback) = 0;

  // The records from the offset on. At the stream's end, the answer comes with
  // the next record, or empty after the wait. kTrimmed: read the newest again.
  virtual void ReadFrom(const StreamName& aStream,
                        LogOffset aFrom,
                        Duration aWait,
                        BatchCallback aCallback) = 0;
};

} // namespace firefly::coord

#pragma once

// Checks each chunk of an engine's stream against the expected offset, so that
// a caller receives every token of its own answer exactly once and in order.

#include <cstdint>
#include <string>

#include "servers/entry/stream_chunk.h"

namespace firefly {

enum class ChunkVerdict
{
  kAccept,
  kDropOtherStream, // the chunk belongs to another stream
  kDropDuplicate,   // the caller already has this token or finish
  kBroken,          // out of order or incomplete: the stream is unusable
};

// Checks one attempt's stream.
class AnswerChecker
{
public:
  // aNextOffset is the offset of the first token that the caller does not have
  // yet.
  AnswerChecker(std::string aStreamId, std::uint32_t aNextOffset);

  // Decides what to do with the chunk. An accepted token advances the expected
  // offset.
  ChunkVerdict Check(const StreamChunk& aChunk);

  // Whether the end mark arrived after the finish chunk, so that no token is
  // missing.
  [[nodiscard]] bool IsComplete() const { return mIsComplete; }

private:
  ChunkVerdict CheckToken(std::uint32_t aOffset);
  ChunkVerdict CheckFinish(std::uint32_t aOffset);

  std::string mStreamId;
  std::uint32_t mNextOffset;
  bool mHasFinished = false;
  bool mIsComplete = false;
};

} // namespace firefly

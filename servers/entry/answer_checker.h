#pragma once

// Holds an engine's stream against what must come next, so that a caller gets
// each token of its own answer once and in order.

#include <cstdint>
#include <string>

#include "servers/entry/stream_chunk.h"

namespace firefly {

enum class ChunkVerdict
{
  kAccept,
  kDropOtherStream, // of another stream
  kDropDuplicate,   // the caller has it already
  kBroken,          // tokens are missing: the stream can't be used further
};

// Checks one attempt's stream.
class AnswerChecker
{
public:
  // The stream's id and the first token that the caller doesn't have yet.
  AnswerChecker(std::string aStreamId, std::uint32_t aNextOffset);

  // What to do with the piece; taking it moves on to the next.
  ChunkVerdict Check(const StreamChunk& aChunk);

  // Whether the end mark came after all that the answer has.
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

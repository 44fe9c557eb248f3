#pragma once

// Holds an engine's stream against what must come next, so that a caller gets
// each token of its own answer once and in order.

#include <cstdint>
#include <string>

#include "servers/entry/token_piece.h"

namespace firefly {

enum class PieceVerdict
{
  kTake,
  kDropCrossed,   // of another stream
  kDropDuplicate, // the caller has it already
  kBroken,        // tokens are missing: the stream can't be used further
};

// Checks one attempt's stream.
class AnswerChecker
{
public:
  // The stream's id and the first token that the caller doesn't have yet.
  AnswerChecker(std::string aStreamId, std::uint32_t aNext);

  // What to do with the piece; taking it moves on to the next.
  PieceVerdict Check(const TokenPiece& aPiece);

  // Whether the end mark came after all that the answer has.
  [[nodiscard]] bool Whole() const { return mWhole; }

private:
  PieceVerdict CheckToken(std::uint32_t aOffset);
  PieceVerdict CheckFinish(std::uint32_t aOffset);

  std::string mStreamId;
  std::uint32_t mNext;
  bool mFinished = false;
  bool mWhole = false;
};

} // namespace firefly

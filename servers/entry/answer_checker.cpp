#include "servers/entry/answer_checker.h"

#include <utility>

namespace firefly {

AnswerChecker::AnswerChecker(std::string aStreamId, std::uint32_t aNext)
  : mStreamId(std::move(aStreamId))
  , mNext(aNext)
{
}

PieceVerdict
AnswerChecker::Check(const TokenPiece& aPiece)
{
  if (aPiece.kind == PieceKind::kDone) {
    mWhole = mFinished;
    return mFinished ? PieceVerdict::kTake : PieceVerdict::kBroken;
  }
  if (aPiece.streamId != mStreamId) {
    return PieceVerdict::kDropCrossed;
  }
  switch (aPiece.kind) {
    case PieceKind::kToken:
      return CheckToken(aPiece.offset);
    case PieceKind::kFinish:
      return CheckFinish(aPiece.offset);
    default:
      return PieceVerdict::kTake;
  }
}

PieceVerdict
AnswerChecker::CheckToken(std::uint32_t aOffset)
{
  if (aOffset < mNext) {
    return PieceVerdict::kDropDuplicate;
  }
  if (aOffset > mNext || mFinished) {
    return PieceVerdict::kBroken;
  }
  ++mNext;
  return PieceVerdict::kTake;
}

PieceVerdict
AnswerChecker::CheckFinish(std::uint32_t aOffset)
{
  if (aOffset != mNext) {
    return PieceVerdict::kBroken;
  }
  if (mFinished) {
    return PieceVerdict::kDropDuplicate;
  }
  mFinished = true;
  return PieceVerdict::kTake;
}

} // namespace firefly

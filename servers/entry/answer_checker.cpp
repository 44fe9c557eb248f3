#include "servers/entry/answer_checker.h"

#include <utility>

namespace firefly {

AnswerChecker::AnswerChecker(std::string aStreamId, std::uint32_t aNextOffset)
  : mStreamId(std::move(aStreamId))
  , mNextOffset(aNextOffset)
{
}

ChunkVerdict
AnswerChecker::Check(const StreamChunk& aChunk)
{
  if (aChunk.kind == ChunkKind::kDone) {
    mIsComplete = mHasFinished;
    return mHasFinished ? ChunkVerdict::kAccept : ChunkVerdict::kBroken;
  }
  if (aChunk.streamId != mStreamId) {
    return ChunkVerdict::kDropOtherStream;
  }
  switch (aChunk.kind) {
    case ChunkKind::kToken:
      return CheckToken(aChunk.offset);
    case ChunkKind::kFinish:
      return CheckFinish(aChunk.offset);
    default:
      return ChunkVerdict::kAccept;
  }
}

ChunkVerdict
AnswerChecker::CheckToken(std::uint32_t aOffset)
{
  if (aOffset < mNextOffset) {
    return ChunkVerdict::kDropDuplicate;
  }
  if (aOffset > mNextOffset || mHasFinished) {
    return ChunkVerdict::kBroken;
  }
  ++mNextOffset;
  return ChunkVerdict::kAccept;
}

ChunkVerdict
AnswerChecker::CheckFinish(std::uint32_t aOffset)
{
  if (aOffset != mNextOffset) {
    return ChunkVerdict::kBroken;
  }
  if (mHasFinished) {
    return ChunkVerdict::kDropDuplicate;
  }
  mHasFinished = true;
  return ChunkVerdict::kAccept;
}

} // namespace firefly

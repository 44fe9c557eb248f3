#pragma once

// One piece of an engine's stream, and its rewriting for the caller.

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "servers/entry/caller_request.h"

namespace firefly {

enum class ChunkKind
{
  kToken,  // carries the token at its offset
  kFinish, // tells how the answer ended and how many tokens it has
  kDone,   // the stream's end mark
  kOther,  // carries no token, such as a usage report
};

// What is wrong with a piece.
struct ChunkError
{
  std::string message;
};

// One event of an engine's stream.
struct StreamChunk
{
  ChunkKind kind = ChunkKind::kOther;
  std::string streamId;
  std::uint32_t offset = 0;
  std::string text;         // of a token
  std::string finishReason; // of a finish
  std::int64_t created = 0;
};

// Reads the data of one event.
tl::expected<StreamChunk, ChunkError>
ParseChunk(const std::string& aData, bool aChat);

// What the answer's head says; the same in all its pieces.
struct AnswerHead
{
  std::string id;
  std::string model;
  std::int64_t created = 0;
  bool chat = false;
};

// The event that tells the caller of a token or of the end of the answer.
std::string
ToCallerEvent(const AnswerHead& aHead, const StreamChunk& aChunk);

// The event that ends a caller's stream.
std::string
MakeDoneEvent();

// The event that tells a caller that its answer can't be completed.
std::string
MakeErrorEvent(const Problem& aProblem, const std::string& aRequestId);

// The counts of a whole answer.
struct AnswerUsage
{
  std::uint32_t promptTokens = 0;
  std::uint32_t outputTokens = 0;
};

// A whole answer's body.
std::string
MakeAnswerBody(const AnswerHead& aHead,
               const std::string& aText,
               const std::string& aFinishReason,
               const AnswerUsage& aUsage);

} // namespace firefly

#pragma once

// Parses the chunks of an engine's stream and builds the events and bodies for
// the caller.

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
  kFinish, // states how the answer ended and how many tokens it has
  kDone,   // the stream's end mark
  kOther,  // carries no token, such as a usage report
};

// Why a chunk is invalid.
struct ChunkError
{
  std::string message;
};

// One event of an engine's stream, parsed.
struct StreamChunk
{
  ChunkKind kind = ChunkKind::kOther;
  std::string streamId;
  // The token's position in the answer; in a finish chunk, the number of
  // tokens.
  std::uint32_t offset = 0;
  std::string text;         // of a token chunk
  std::string finishReason; // of a finish chunk
  std::int64_t created = 0;
};

// Parses the data of one event.
tl::expected<StreamChunk, ChunkError>
ParseChunk(const std::string& aData, bool aChat);

// The fields that all chunks of an answer share.
struct AnswerHead
{
  std::string id;
  std::string model;
  std::int64_t created = 0;
  bool chat = false;
};

// Builds the caller's event for a token or a finish chunk.
std::string
ToCallerEvent(const AnswerHead& aHead, const StreamChunk& aChunk);

// Builds the event that ends a caller's stream.
std::string
MakeDoneEvent();

// Builds the event which states that the answer cannot be completed.
std::string
MakeErrorEvent(const Problem& aProblem, const std::string& aRequestId);

// Token counts of a whole answer.
struct AnswerUsage
{
  std::uint32_t promptTokens = 0;
  std::uint32_t outputTokens = 0;
};

// Builds the body of an answer that is not streamed.
std::string
MakeAnswerBody(const AnswerHead& aHead,
               const std::string& aText,
               const std::string& aFinishReason,
               const AnswerUsage& aUsage);

} // namespace firefly

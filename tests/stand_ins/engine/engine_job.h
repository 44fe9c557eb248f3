#pragma once

// Parses requests to the stand-in engine and formats its answers.

#include <cstdint>
#include <optional>
#include <string>

#include "core/clock.h"
#include "servers/http/http_message.h"
#include "servers/http/http_server.h"

namespace firefly::testing {

// A parsed completion request.
struct EngineRequest
{
  std::string id;
  std::string model;
  std::string prompt;
  std::uint64_t seed = 0;
  std::uint32_t maxTokens = 16;
  std::uint32_t resumeFrom = 0;
  int priority = 1;
  bool chat = false;
  bool stream = false;
};

// Faults that POST /control sets; each call replaces all of them. Tokens are
// counted from the start of the answer, also if a request resumes it.
struct EngineFaults
{
  // Sends no more after this many tokens, but keeps the connection open.
  std::optional<std::uint32_t> stallAfter;
  // Ends the answer normally after this many tokens, without the end events.
  std::optional<std::uint32_t> truncateAfter;
  // Closes the connection after this many tokens.
  std::optional<std::uint32_t> cutAfter;
  // Sends this token twice.
  std::optional<std::uint32_t> duplicateAt;
  // Never sends this token.
  std::optional<std::uint32_t> skipAt;
  // Sends a token of another request before this one.
  std::optional<std::uint32_t> crossAt;
  // The factor by which answers take longer.
  double slowFactor = 1.0;
  // A prompt that contains this text ends the process after crashAfter tokens.
  std::string crashMarker;
  std::uint32_t crashAfter = 0;
};

// Parses the body of a completion request; empty if it is malformed.
std::optional<EngineRequest>
ParseEngineRequest(const HttpRequest& aRequest);

// Parses the body of POST /control; empty if it is malformed.
std::optional<EngineFaults>
ParseEngineFaults(const std::string& aBody);

// The SSE event of one token, the events that end a stream, and the complete
// answer of a request without a stream.
std::string
TokenEvent(const EngineRequest& aRequest,
           const std::string& aId,
           std::uint32_t aOffset,
           const std::string& aText);
std::string
FinishEvent(const EngineRequest& aRequest, std::uint32_t aOffset);
std::string
WholeAnswer(const EngineRequest& aRequest);

} // namespace firefly::testing

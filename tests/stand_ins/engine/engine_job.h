#pragma once

// One generation of the stand-in engine: what was asked and how it is told.

#include <cstdint>
#include <optional>
#include <string>

#include "core/clock.h"
#include "servers/http/http_message.h"
#include "servers/http/http_server.h"

namespace firefly::testing {

// A request as the engine understood it.
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

// Faults that POST /control sets; they hold until they are set anew.
struct EngineFaults
{
  std::optional<std::uint32_t> stallAfter;    // tokens, then nothing more
  std::optional<std::uint32_t> truncateAfter; // tokens, then a clean end
  std::optional<std::uint32_t> cutAfter;    // tokens, then a closed connection
  std::optional<std::uint32_t> duplicateAt; // this token comes twice
  std::optional<std::uint32_t> skipAt;      // this token never comes
  std::optional<std::uint32_t> crossAt;     // a foreign piece before this one
  double slowFactor = 1.0;
  std::string crashMarker; // a prompt with it ends the process
  std::uint32_t crashAfter = 0;
};

// Reads the body of a completion request; nothing if it is malformed.
std::optional<EngineRequest>
ParseEngineRequest(const HttpRequest& aRequest);

// Reads the body of POST /control; nothing if it is malformed.
std::optional<EngineFaults>
ParseEngineFaults(const std::string& aBody);

// One SSE event with a token, and the events that end a stream.
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

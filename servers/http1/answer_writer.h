#pragma once

// The bytes of HTTP/1.1 messages that we send.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "servers/http/http_message.h"

namespace firefly {

// How the end of an answer's body is marked.
struct AnswerFraming
{
  // The body's length; none sends it in chunks.
  std::optional<std::uint64_t> bodyBytes;
  // Says that the connection ends after the answer.
  bool close = false;
};

// The head of an answer. The headers hold none that concern the connection.
std::string
ComposeAnswerHead(int aStatus,
                  std::string_view aReason,
                  const HttpHeaders& aHeaders,
                  const AnswerFraming& aFraming);

// One chunk of a chunked body; empty for no bytes.
std::string
ComposeChunk(std::string_view aBytes);

// What ends a chunked body.
std::string_view
LastChunk();

// The head of a request with a body of that length.
std::string
ComposeRequestHead(std::string_view aMethod,
                   std::string_view aTarget,
                   const HttpHeaders& aHeaders,
                   std::optional<std::uint64_t> aBodyBytes);

// Whether the header concerns one connection only, or the framing of a body on
// it, and is not passed on. The names of a Connection header count as well.
bool
IsHopHeader(const HttpHeaders& aHeaders, std::string_view aName);

// Whether two header names are the same; case doesn't matter.
bool
SameHeaderName(std::string_view aLeft, std::string_view aRight);

} // namespace firefly

#pragma once

// Composes the bytes of HTTP/1.1 messages.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "servers/http/http_message.h"

namespace firefly {

// How the end of a response is marked.
struct ResponseFraming
{
  // The length of the body. Without one, the body is sent in chunks.
  std::optional<std::uint64_t> bodyBytes;
  // Announces that the connection is closed after the response.
  bool close = false;
};

// Composes the head of a response. The given headers must not contain
// hop-by-hop headers.
std::string
ComposeResponseHead(int aStatus,
                    std::string_view aReason,
                    const HttpHeaders& aHeaders,
                    const ResponseFraming& aFraming);

// Composes one chunk of a chunked body. Returns nothing for no bytes, because a
// chunk of size zero ends the body.
std::string
ComposeChunk(std::string_view aBytes);

// The chunk that ends a chunked body.
std::string_view
LastChunk();

// Composes the head of a request. The length of the body, if there is one, adds
// a Content-Length header.
std::string
ComposeRequestHead(std::string_view aMethod,
                   std::string_view aTarget,
                   const HttpHeaders& aHeaders,
                   std::optional<std::uint64_t> aBodyBytes);

// Whether the header is hop-by-hop, that is, concerns one connection only or
// the framing of a body on it, and must not be forwarded. Headers that are
// listed in a Connection header among the given ones are hop-by-hop as well.
bool
IsHopByHopHeader(const HttpHeaders& aHeaders, std::string_view aName);

// Whether two header names are equal, ignoring case.
bool
SameHeaderName(std::string_view aLeft, std::string_view aRight);

} // namespace firefly

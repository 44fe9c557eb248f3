#pragma once

// The messages that the processes of the system exchange over a link. A request
// has a path and a body, a reply has a status and a body. Bodies are encoded as
// msgpack.

#include <functional>
#include <string>

#include <tl/expected.hpp>

namespace firefly {

// The reply to one request. Status 200 means success; every other status means
// that the peer refused the request.
struct LinkReply
{
  int status = 200;
  std::string body;
};

enum class LinkErrorKind
{
  // The peer cannot have run the request: its headers were not passed to the
  // socket, or the peer's HTTP/2 layer refused the stream (REFUSED_STREAM).
  kNotSent,
  kUnknown, // sent without a reply: the peer may have run it
  kRefused, // the peer replied with a status other than 200
};

// Why a call over a link failed.
struct LinkError
{
  LinkErrorKind kind = LinkErrorKind::kUnknown;
  int status = 0; // the peer's status, for kRefused
  std::string message;
};

using LinkCallback = std::function<void(tl::expected<std::string, LinkError>)>;

} // namespace firefly

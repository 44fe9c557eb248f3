#pragma once

// What the system's own processes tell each other over a link: a request has a
// path and a body, a reply has a status and a body. Bodies are msgpack bytes.

#include <functional>
#include <string>

#include <tl/expected.hpp>

namespace firefly {

// The reply to one request; 200 is success, other statuses refuse.
struct LinkReply
{
  int status = 200;
  std::string body;
};

enum class LinkErrorKind
{
  kNotSent, // no byte of the request left: the peer can't have run it
  kUnknown, // sent, and no answer: the peer may have run it
  kRefused, // the peer answered with another status than 200
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

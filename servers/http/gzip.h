#pragma once

// Compression of response bodies.

#include <string>
#include <string_view>

#include "servers/http/http_message.h"

namespace firefly {

// The bytes as a gzip body (RFC 1952).
std::string
Gzip(std::string_view aBytes);

// Whether the headers of a request accept a gzip body (RFC 9110, section
// 12.5.3).
bool
AcceptsGzip(const HttpHeaders& aHeaders);

} // namespace firefly

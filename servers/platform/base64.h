#pragma once

// Base64 encoding for binary payloads in JSON.

#include <optional>
#include <string>
#include <string_view>

namespace firefly {

// Encodes bytes as base64 with padding.
std::string
EncodeBase64(std::string_view aBytes);

// Decodes a base64 text; nothing if it is malformed.
std::optional<std::string>
DecodeBase64(std::string_view aText);

} // namespace firefly

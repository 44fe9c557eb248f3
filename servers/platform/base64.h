#pragma once

// Base64 of binary payloads that travel in JSON.

#include <optional>
#include <string>
#include <string_view>

namespace firefly {

// The bytes in base64, with padding.
std::string
EncodeBase64(std::string_view aBytes);

// The bytes of a base64 text, or nothing if it is malformed.
std::optional<std::string>
DecodeBase64(std::string_view aText);

} // namespace firefly

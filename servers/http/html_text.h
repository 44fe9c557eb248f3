#pragma once

#include <string>

namespace firefly {

// Escapes text for use in HTML, including double-quoted attribute values.
std::string
EscapeHtml(const std::string& aText);

} // namespace firefly

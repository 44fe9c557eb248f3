#pragma once

#include <string>

namespace firefly {

// The text as HTML shows it, also within a quoted attribute.
std::string
EscapeHtml(const std::string& aText);

} // namespace firefly

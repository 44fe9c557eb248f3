#pragma once

// Formats a comparison as a self-contained HTML page.

#include <string>

#include "bench/compare.h"

namespace firefly::bench {

// Returns the page, with the plots as inline SVG.
std::string
ToHtml(const Comparison& aComparison);

} // namespace firefly::bench

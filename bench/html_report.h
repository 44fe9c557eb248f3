#pragma once

// The comparison as one HTML page that needs nothing else.

#include <string>

#include "bench/compare.h"

namespace firefly::bench {

// The page, with its plots as inline SVG.
std::string
ToHtml(const Comparison& aComparison);

} // namespace firefly::bench

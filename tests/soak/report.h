#pragma once

// What a soak found, as text, JSON and a page with a timeline.

#include <string>
#include <vector>

#include "tests/soak/soak.h"

namespace firefly::soak {

// One line, and one for each violation.
std::string
FormatText(const SoakResult& aResult);

std::string
FormatJson(const std::vector<SoakResult>& aResults);

// A page with each soak's faults over time and what callers got meanwhile.
std::string
FormatHtml(const std::vector<SoakResult>& aResults);

} // namespace firefly::soak

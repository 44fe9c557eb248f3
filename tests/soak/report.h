#pragma once

// Formats the results of soaks as text, JSON and an HTML page with a timeline.

#include <string>
#include <vector>

#include "tests/soak/soak.h"

namespace firefly::soak {

// Returns a summary line, followed by one line for each violation.
std::string
FormatText(const SoakResult& aResult);

std::string
FormatJson(const std::vector<SoakResult>& aResults);

// Returns a page that shows, for each soak, the faults over time and how many
// requests were served, refused and failed in each second.
std::string
FormatHtml(const std::vector<SoakResult>& aResults);

} // namespace firefly::soak

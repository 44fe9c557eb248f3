#pragma once

// Formats the burn report as text, as JSON and as a self-contained HTML page.

#include <string>

#include "servers/burn/burn_report.h"

namespace firefly {

std::string
FormatText(const BurnReport& aReport);
std::string
FormatJson(const BurnReport& aReport);
std::string
FormatHtml(const BurnReport& aReport);

// Formats a number with three significant digits.
std::string
FormatNumber(double aNumber);

// Formats a fraction from 0 to 1 as a percentage with four significant digits.
std::string
FormatShare(double aShare);

// Formats a duration in seconds, minutes, hours or days. A larger unit is used
// once the value is at least 2 in it.
std::string
FormatSpan(Duration aSpan);

// Formats a time in UTC, to the second.
std::string
FormatTime(WallTime aTime);

} // namespace firefly

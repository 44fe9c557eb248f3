#pragma once

// The report as text, as JSON and as a page of HTML that needs no other file.

#include <string>

#include "servers/burn/burn_report.h"

namespace firefly {

std::string
FormatText(const BurnReport& aReport);
std::string
FormatJson(const BurnReport& aReport);
std::string
FormatHtml(const BurnReport& aReport);

// A number for people: three significant digits.
std::string
FormatNumber(double aNumber);

// A share as a percentage.
std::string
FormatShare(double aShare);

// A time span in its largest fitting unit.
std::string
FormatSpan(Duration aSpan);

// A time in UTC.
std::string
FormatTime(WallTime aTime);

} // namespace firefly

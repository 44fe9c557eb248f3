#pragma once

// What an operator should look at, and what to do about it.

#include <vector>

#include "servers/burn/burn_report.h"

namespace firefly {

// The alerts of a report whose rows are complete, the most urgent first. Of a
// row's windows only the most urgent one is told.
std::vector<BurnAlert>
MakeAlerts(const BurnReport& aReport);

} // namespace firefly

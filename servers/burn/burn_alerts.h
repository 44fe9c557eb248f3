#pragma once

// Alerts of the burn report, each with a suggested action for the operator.

#include <vector>

#include "servers/burn/burn_report.h"

namespace firefly {

// Returns the alerts of a report whose rows are filled in, the most urgent
// first. A row gets at most one alert, that of its most urgent firing window.
std::vector<BurnAlert>
MakeAlerts(const BurnReport& aReport);

} // namespace firefly

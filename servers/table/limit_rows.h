#pragma once

// Converts the operators' table to the rows that the request limiter enforces.

#include <vector>

#include "policy/request_limiter.h"
#include "servers/table/operators_table.h"

namespace firefly {

// The limits for requests: one row for all customers of each request type in
// the settings, then the rows of named customers. An empty worth or
// late_after_ms is inherited from the request type's row for all customers,
// then from the settings; concurrency and rate limits are not inherited. Rows
// whose service or request type is missing from the settings are skipped.
std::vector<policy::LimitRow>
MakeLimitRows(const OperatorsTable& aTable, const Settings& aSettings);

} // namespace firefly

#pragma once

// An upper bound on the worth that any policy can earn.

#include <vector>

#include "bench/run_result.h"
#include "bench/workload.h"

namespace firefly::bench {

// Fills in the result with the bound. All arrivals and sizes are known in
// advance. The fleet is treated as a fluid: each request has its minimum cost,
// can be divided arbitrarily, and runs anywhere between its arrival and its
// deadline. Prefilling a shared prefix costs nothing, and poison requests are
// ignored.
void
FillClairvoyantBound(RunResult& aResult,
                     const Deployment& aDeployment,
                     const std::vector<Arrival>& aArrivals);

} // namespace firefly::bench

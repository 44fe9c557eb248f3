#pragma once

// An upper bound on the worth that any policy can bring.

#include <vector>

#include "bench/run_result.h"
#include "bench/workload.h"

namespace firefly::bench {

// Fills in the result's bound. Knowing all arrivals and sizes, the fleet is
// taken as a fluid that runs each request at its least cost, in parts if need
// be, anywhere between its arrival and the time its answer is due.
void
FillClairvoyant(RunResult& aResult,
                const Deployment& aDeployment,
                const std::vector<Arrival>& aArrivals);

} // namespace firefly::bench

#pragma once

// Reads state charts from TOML files.

#include <filesystem>

#include "core/state_chart.h"

namespace firefly {

// Loads and checks the chart of one file; see charts/ for the format. The
// error names the file.
tl::expected<StateChart, ChartError>
LoadStateChart(const std::filesystem::path& aFile);

} // namespace firefly

#pragma once

// Reads state charts from TOML files.

#include <filesystem>

#include "core/state_chart.h"

namespace firefly {

// Loads and validates the chart in a file; see charts/ for the format. The
// error message starts with the file name.
tl::expected<StateChart, ChartError>
LoadStateChart(const std::filesystem::path& aFile);

} // namespace firefly

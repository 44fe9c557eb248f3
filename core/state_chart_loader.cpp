#include "core/state_chart_loader.h"

#include <exception>
#include <set>
#include <utility>

#include <toml.hpp>

namespace firefly {

namespace {

StateChart::Transition
ParseTransition(const toml::value& aValue)
{
  return { .from = toml::find<std::string>(aValue, "from"),
           .event = toml::find<std::string>(aValue, "event"),
           .to = toml::find<std::string>(aValue, "to") };
}

StateChart::Options
ParseOptions(const toml::value& aValue)
{
  using Names = std::vector<std::string>;
  StateChart::Options options{
    .name = toml::find<std::string>(aValue, "name"),
    .initial = toml::find<std::string>(aValue, "initial"),
    .states = toml::find<Names>(aValue, "states"),
    .finals = toml::find_or<Names>(aValue, "finals", Names{}),
    .transitions = {},
  };
  for (const auto& it : toml::find(aValue, "transition").as_array()) {
    options.transitions.push_back(ParseTransition(it));
  }
  return options;
}

} // namespace

tl::expected<StateChart, ChartError>
LoadStateChart(const std::filesystem::path& aFile)
{
  try {
    return StateChart::Create(ParseOptions(toml::parse(aFile.string())))
      .map_error([&](const ChartError& aError) {
        return ChartError{ aFile.filename().string() + ": " + aError.message };
      });
  } catch (const std::exception& e) {
    return tl::unexpected(
      ChartError{ aFile.filename().string() + ": " + e.what() });
  }
}

} // namespace firefly

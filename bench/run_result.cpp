#include "bench/run_result.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace firefly::bench {

namespace {

using Json = nlohmann::ordered_json;

constexpr double kGapUnitSeconds = 1e-4;

// Rounds to five decimal places, to keep the output short.
double
Rounded(double aValue)
{
  constexpr double kDigits = 1e5;
  return std::round(aValue * kDigits) / kDigits;
}

Json
Optional(const std::optional<double>& aValue)
{
  return aValue ? Json(Rounded(*aValue)) : Json(nullptr);
}

Json
ToObject(const RunResult& aRun)
{
  Json json;
  json["scenario"] = aRun.scenario;
  json["policy"] = aRun.policy;
  json["seed"] = aRun.seed;
  json["deployment"] = aRun.deployment;
  json["entries"] = aRun.entries;
  json["load"] = aRun.load;
  json["calm"] = aRun.calm;
  json["without"] = aRun.without;
  json["offered"] = aRun.offered;
  json["answered"] = aRun.answered;
  json["answered_in_time"] = aRun.answeredInTime;
  json["goodput_worth"] = Rounded(aRun.goodputWorth);
  json["offered_worth"] = Rounded(aRun.offeredWorth);
  json["role_changes"] = aRun.roleChanges;
  json["role_changes_back_early"] = aRun.roleChangesBackEarly;
  json["first_token_p50_s"] = Optional(aRun.firstTokenP50);
  json["first_token_p95_s"] = Optional(aRun.firstTokenP95);
  json["first_token_p99_s"] = Optional(aRun.firstTokenP99);
  json["short_p99_s"] = Optional(aRun.shortP99);
  json["token_gap_p95_s"] = Optional(aRun.tokenGapP95);
  json["engines_crashed"] = aRun.enginesCrashed;
  json["refused"] = aRun.refused;
  json["failed"] = aRun.failed;
  json["innocents_failed"] = aRun.innocentsFailed;
  json["unanswered"] = aRun.unanswered;
  json["retries"] = aRun.retries;
  json["hedges"] = aRun.hedges;
  json["resumes"] = aRun.resumes;
  json["load_variation"] = Optional(aRun.loadVariation);
  json["prefix_hit_part"] = Optional(aRun.prefixHitShare);
  json["phase_goodput_parts"] = Json::array();
  for (const auto part : aRun.phaseGoodput) {
    json["phase_goodput_parts"].push_back(Rounded(part));
  }
  return json;
}

} // namespace

std::optional<double>
Samples::Quantile(double aQuantile) const
{
  if (mValues.empty()) {
    return std::nullopt;
  }
  auto sorted = mValues;
  std::sort(sorted.begin(), sorted.end());
  const auto rank =
    std::ceil(aQuantile * static_cast<double>(sorted.size())) - 1;
  return sorted[static_cast<std::size_t>(std::max(0.0, rank))];
}

void
TokenGapHistogram::Add(double aSeconds, std::uint32_t aCount)
{
  mCounts[static_cast<std::uint32_t>(
    std::lround(aSeconds / kGapUnitSeconds))] += aCount;
  mTotal += aCount;
}

std::optional<double>
TokenGapHistogram::Quantile(double aQuantile) const
{
  if (mTotal == 0) {
    return std::nullopt;
  }
  const double wanted = aQuantile * static_cast<double>(mTotal);
  double seen = 0;
  for (const auto& [unit, count] : mCounts) {
    seen += static_cast<double>(count);
    if (seen >= wanted) {
      return unit * kGapUnitSeconds;
    }
  }
  return mCounts.rbegin()->first * kGapUnitSeconds;
}

std::string
RunResult::ToJson() const
{
  return ToObject(*this).dump(2) + "\n";
}

std::string
RunResult::ToText() const
{
  std::string text;
  const auto object = ToObject(*this);
  for (const auto& [name, value] : object.items()) {
    const auto shown =
      value.is_string() ? value.get<std::string>() : value.dump();
    text += fmt::format("{:<24} {}\n", name, shown);
  }
  return text;
}

} // namespace firefly::bench

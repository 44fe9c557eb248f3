#include "servers/burn/burn_format.h"

#include <nlohmann/json.hpp>

namespace firefly {

namespace {

using Json = nlohmann::json;

Json
ToJson(const OutcomeAmounts& aAmounts)
{
  return { { "in_time", aAmounts.inTime },
           { "late", aAmounts.late },
           { "refused", aAmounts.refused },
           { "failed", aAmounts.failed } };
}

Json
ToJson(const std::optional<double>& aNumber)
{
  return aNumber ? Json(*aNumber) : Json(nullptr);
}

Json
ToJson(const std::optional<Duration>& aSpan)
{
  return aSpan ? Json(ToSeconds(*aSpan)) : Json(nullptr);
}

Json
ToJson(const WindowBurn& aBurn)
{
  return { { "name", std::string(aBurn.window->name) },
           { "long_s", ToSeconds(aBurn.window->longSpan) },
           { "short_s", ToSeconds(aBurn.window->shortSpan) },
           { "threshold", aBurn.window->threshold },
           { "long_burn", aBurn.longBurn },
           { "short_burn", aBurn.shortBurn },
           { "covered_s", ToSeconds(aBurn.covered) },
           { "state", std::string(NameOf(aBurn.state)) } };
}

Json
ToJson(const BurnRow& aRow)
{
  Json windows = Json::array();
  for (const auto& it : aRow.windows) {
    windows.push_back(ToJson(it));
  }
  Json points = Json::array();
  for (const auto& it : aRow.points) {
    points.push_back({ it.time.time_since_epoch().count(), it.burn });
  }
  return { { "service", aRow.key.service.Value() },
           { "request_type", aRow.key.type.Value() },
           { "objective", aRow.objective.share },
           { "requests", ToJson(aRow.counters.requests) },
           { "worth", ToJson(aRow.counters.worth) },
           { "refunds", aRow.counters.refunds },
           { "error_ratio", aRow.errorRatio },
           { "budget_used", aRow.budgetUsed },
           { "exhausted_in_s", ToJson(aRow.exhaustedIn) },
           { "trend", std::string(NameOf(aRow.trend)) },
           { "first_token_95_s", ToJson(aRow.firstToken95) },
           { "token_gap_95_s", ToJson(aRow.tokenGap95) },
           { "windows", windows },
           { "points", points } };
}

Json
ToJson(const BurnEntry& aEntry)
{
  const auto& seen = aEntry.state.lastSeen;
  return { { "url", aEntry.url },
           { "error", aEntry.state.error },
           { "last_seen_ms",
             seen ? Json(seen->time_since_epoch().count()) : Json(nullptr) } };
}

Json
ToJson(const BurnAlert& aAlert)
{
  return { { "severity", aAlert.severity },
           { "service", aAlert.key.service.Value() },
           { "request_type", aAlert.key.type.Value() },
           { "text", aAlert.text },
           { "action", aAlert.action } };
}

template<typename T>
Json
ListOf(const std::vector<T>& aItems)
{
  Json list = Json::array();
  for (const auto& it : aItems) {
    list.push_back(ToJson(it));
  }
  return list;
}

} // namespace

std::string
FormatJson(const BurnReport& aReport)
{
  const Json json{ { "from_ms", aReport.from.time_since_epoch().count() },
                   { "to_ms", aReport.to.time_since_epoch().count() },
                   { "entries", ListOf(aReport.entries) },
                   { "rows", ListOf(aReport.rows) },
                   { "alerts", ListOf(aReport.alerts) } };
  return json.dump(2, ' ', false, Json::error_handler_t::replace) + '\n';
}

} // namespace firefly

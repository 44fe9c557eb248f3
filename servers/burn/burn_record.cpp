#include "servers/burn/burn_sample.h"

#include <limits>

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

OutcomeAmounts
ToAmounts(const Json& aJson)
{
  return { .inTime = aJson.at("in_time"),
           .late = aJson.at("late"),
           .refused = aJson.at("refused"),
           .failed = aJson.at("failed") };
}

// JSON cannot represent infinity, so the +Inf bound is written as null.
Json
ToJson(const BucketCounts& aCounts)
{
  Json list = Json::array();
  for (const auto& [bound, count] : aCounts) {
    const bool isInfinite = bound == std::numeric_limits<double>::infinity();
    list.push_back({ isInfinite ? Json(nullptr) : Json(bound), count });
  }
  return list;
}

BucketCounts
ToBuckets(const Json& aJson)
{
  BucketCounts counts;
  for (const auto& it : aJson) {
    const double bound = it.at(0).is_null()
                           ? std::numeric_limits<double>::infinity()
                           : it.at(0).get<double>();
    counts[bound] = it.at(1);
  }
  return counts;
}

Json
ToJson(const BurnKey& aKey, const BurnCounters& aCounters)
{
  return { { "service", aKey.service.Value() },
           { "request_type", aKey.type.Value() },
           { "requests", ToJson(aCounters.requests) },
           { "worth", ToJson(aCounters.worth) },
           { "refunds", aCounters.refunds },
           { "first_token", ToJson(aCounters.firstToken) },
           { "token_gap", ToJson(aCounters.tokenGap) } };
}

BurnCounters
ToCounters(const Json& aJson)
{
  return { .requests = ToAmounts(aJson.at("requests")),
           .worth = ToAmounts(aJson.at("worth")),
           .refunds = aJson.at("refunds"),
           .firstToken = ToBuckets(aJson.at("first_token")),
           .tokenGap = ToBuckets(aJson.at("token_gap")) };
}

Json
ToJson(const EntrySample& aEntry)
{
  Json types = Json::array();
  for (const auto& [key, counters] : aEntry.counters) {
    types.push_back(ToJson(key, counters));
  }
  return { { "url", aEntry.url },
           { "error", aEntry.error },
           { "start_time", aEntry.startTime },
           { "types", types } };
}

EntrySample
ToEntry(const Json& aJson)
{
  EntrySample entry{ .url = aJson.at("url"),
                     .error = aJson.at("error"),
                     .startTime = aJson.at("start_time"),
                     .counters = {} };
  for (const auto& it : aJson.at("types")) {
    const BurnKey key{ ServiceId(it.at("service")),
                       RequestType(it.at("request_type")) };
    entry.counters[key] = ToCounters(it);
  }
  return entry;
}

} // namespace

std::string
FormatSnapshot(const BurnSnapshot& aSnapshot)
{
  Json entries = Json::array();
  for (const auto& it : aSnapshot.entries) {
    entries.push_back(ToJson(it));
  }
  const Json line{ { "time_ms", aSnapshot.time.time_since_epoch().count() },
                   { "entries", entries } };
  return line.dump(-1, ' ', false, Json::error_handler_t::replace);
}

tl::expected<BurnSnapshot, std::string>
ParseSnapshot(const std::string& aLine)
{
  try {
    const Json json = Json::parse(aLine);
    const std::chrono::milliseconds time(
      json.at("time_ms").get<std::int64_t>());
    BurnSnapshot snapshot{ .time = WallTime(time), .entries = {} };
    for (const auto& it : json.at("entries")) {
      snapshot.entries.push_back(ToEntry(it));
    }
    return snapshot;
  } catch (const Json::exception& e) {
    return tl::unexpected<std::string>(e.what());
  }
}

} // namespace firefly

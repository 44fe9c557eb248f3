#include "servers/entry/status_report.h"

#include <nlohmann/json.hpp>

namespace firefly {

namespace {

using Json = nlohmann::json;

const char*
StateName(policy::BackendState aState)
{
  switch (aState) {
    case policy::BackendState::kOpen:
      return "serving";
    case policy::BackendState::kDraining:
      return "draining";
    case policy::BackendState::kClosed:
      return "gone";
  }
  return "gone";
}

std::uint64_t
OutstandingAt(const StatusSources& aSources, const BackendId& aBackend)
{
  const auto& running = aSources.outstanding->Running();
  const auto it = running.find(aBackend);
  return it == running.end() ? 0 : it->second;
}

// Returns the observed speed of a backend server relative to its usual speed.
// It is 1 while this entry runs nothing there, since the digest then lacks it.
double
SpeedOf(const StatusSources& aSources, const policy::Backend& aBackend)
{
  constexpr double kPermille = 1000;
  policy::Digest digest;
  const auto& fleet = *aSources.fleet;
  const auto hash = fleet.HashAt(fleet.SlotOf(aBackend.id));
  aSources.router->Policies().selector->FillDigest(digest, fleet, aSources.now);
  for (const auto& it : digest.work) {
    if (it.backend == hash) {
      return it.speedPermille / kPermille;
    }
  }
  return 1;
}

Json
MembersToJson(const StatusSources& aSources)
{
  Json members = Json::array();
  for (const auto& it : aSources.members) {
    Json member{ { "host", it.host.Value() },
                 { "domain", it.domain.Value() },
                 { "state", ToString(it.status) },
                 { "incarnation", it.incarnation.Value() } };
    for (const auto& table : aSources.tables) {
      if (table.host == it.host) {
        member["table_version"] = table.version.Value();
      }
    }
    members.push_back(std::move(member));
  }
  return members;
}

Json
BackendsToJson(const StatusSources& aSources)
{
  Json backends = Json::array();
  for (const auto& it : aSources.fleet->All()) {
    Json backend{ { "id", it.id.Value() },
                  { "domain", it.domain.Value() },
                  { "state", StateName(it.state) },
                  { "outstanding", OutstandingAt(aSources, it.id) },
                  { "weight", SpeedOf(aSources, it) } };
    const bool isEngine = it.kind == policy::BackendKind::kEngine;
    backend["kind"] = isEngine ? "engine" : "plain";
    if (isEngine) {
      backend["role"] = policy::ToString(it.role);
      backend["model"] = it.models.empty() ? "" : it.models.front().Value();
    }
    backends.push_back(std::move(backend));
  }
  return backends;
}

Json
BookingsToJson(const BookingTracker& aBookings)
{
  Json bookings = Json::array();
  for (const auto& it : aBookings.UnknownBookings()) {
    bookings.push_back({ { "key", it.key.Value() },
                         { "service", it.service.Value() },
                         { "request_type", it.requestType.Value() },
                         { "since_ms", it.since.time_since_epoch().count() } });
  }
  return bookings;
}

// Lists the waiting and running requests of each request type that had any.
Json
QueuesToJson(const EntryMetrics& aMetrics)
{
  Json queues = Json::array();
  for (const auto& [labels, gauge] : aMetrics.running.Series()) {
    const auto waiting = aMetrics.queueLength.Series().find(labels);
    const bool isNoneWaiting = waiting == aMetrics.queueLength.Series().end();
    queues.push_back(
      { { "service", labels.at(0) },
        { "request_type", labels.at(1) },
        { "waiting", isNoneWaiting ? 0 : waiting->second->Value() },
        { "running", gauge->Value() } });
  }
  return queues;
}

// Adds the limits that the operators' table sets for each request type and the
// customer "*". Request types without such a row are left out.
void
AddLimits(const StatusSources& aSources, Json& aReport)
{
  aReport["limits"] = Json::array();
  const CustomerId anyCustomer("*");
  for (const auto& service : aSources.settings->services) {
    for (const auto& type : service.requestTypes) {
      const auto* row = aSources.router->Policies().limits->RowFor(
        service.id, type.name, anyCustomer);
      if (row == nullptr) {
        continue;
      }
      Json limit{ { "service", service.id.Value() },
                  { "request_type", type.name.Value() },
                  { "customer", anyCustomer.Value() },
                  { "max_concurrent", nullptr },
                  { "rate_per_second", nullptr } };
      if (row->maxConcurrent > 0) {
        limit["max_concurrent"] = row->maxConcurrent;
      }
      if (row->ratePerSecond > 0) {
        limit["rate_per_second"] = row->ratePerSecond;
      }
      aReport["limits"].push_back(std::move(limit));
    }
  }
}

} // namespace

std::string
MakeStatusReport(const StatusSources& aSources, const EntryMetrics& aMetrics)
{
  const auto& host = aSources.settings->host;
  Json report{ { "host", host.id.Value() },
               { "domain", host.domain.Value() },
               { "incarnation", aSources.incarnation.Value() },
               { "ready", aSources.ready },
               { "draining", aSources.draining },
               { "table_version", aSources.table.Value() },
               { "plan_version", aSources.plan.Value() },
               { "members", MembersToJson(aSources) },
               { "backends", BackendsToJson(aSources) },
               { "queues", QueuesToJson(aMetrics) },
               { "unknown_bookings", BookingsToJson(*aSources.bookings) } };
  AddLimits(aSources, report);
  return report.dump();
}

void
SetStatusGauges(const StatusSources& aSources, EntryMetrics& aMetrics)
{
  std::map<std::string, double> states{
    { "alive", 0 }, { "suspect", 0 }, { "dead", 0 }, { "left", 0 }
  };
  for (const auto& it : aSources.members) {
    ++states[std::string(ToString(it.status))];
  }
  for (const auto& [state, count] : states) {
    aMetrics.members.With({ state }).Set(count);
  }
  aMetrics.tableVersion.With({}).Set(
    static_cast<double>(aSources.table.Value()));
  aMetrics.planVersion.With({}).Set(static_cast<double>(aSources.plan.Value()));
  aMetrics.ready.With({}).Set(aSources.ready ? 1 : 0);
  const auto& router = *aSources.router;
  aMetrics.quarantined.With({}).Set(static_cast<double>(
    router.Policies().poisonQuarantine->Quarantined(aSources.now).size()));
  for (const auto& it : aSources.fleet->All()) {
    const auto outstanding =
      static_cast<double>(OutstandingAt(aSources, it.id));
    aMetrics.backendOutstanding.With({ it.id.Value() }).Set(outstanding);
    aMetrics.backendWeight.With({ it.id.Value() }).Set(SpeedOf(aSources, it));
  }
}

} // namespace firefly

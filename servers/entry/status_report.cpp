#include "servers/entry/status_report.h"

#include <nlohmann/json.hpp>

namespace firefly {

namespace {

using Json = nlohmann::json;

const char*
NameOf(policy::BackendState aState)
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
OutstandingAt(const StatusParts& aParts, const BackendId& aBackend)
{
  const auto& running = aParts.outstanding->Running();
  const auto it = running.find(aBackend);
  return it == running.end() ? 0 : it->second;
}

// The speed that a backend server has shown, 1 being its usual one; 1 while
// nothing of this entry runs there.
double
WeightOf(const StatusParts& aParts, const policy::Backend& aBackend)
{
  constexpr double kPermille = 1000;
  policy::Digest digest;
  const auto& fleet = *aParts.fleet;
  const auto hash = fleet.HashAt(fleet.SlotOf(aBackend.id));
  aParts.router->Policies().selector->FillDigest(digest, fleet, aParts.now);
  for (const auto& it : digest.work) {
    if (it.backend == hash) {
      return it.speedPermille / kPermille;
    }
  }
  return 1;
}

Json
MembersOf(const StatusParts& aParts)
{
  Json members = Json::array();
  for (const auto& it : aParts.members) {
    Json member{ { "host", it.host.Value() },
                 { "domain", it.domain.Value() },
                 { "state", ToString(it.status) },
                 { "incarnation", it.incarnation.Value() } };
    for (const auto& table : aParts.tables) {
      if (table.host == it.host) {
        member["table_version"] = table.version.Value();
      }
    }
    members.push_back(std::move(member));
  }
  return members;
}

Json
BackendsOf(const StatusParts& aParts)
{
  Json backends = Json::array();
  for (const auto& it : aParts.fleet->All()) {
    Json backend{ { "id", it.id.Value() },
                  { "domain", it.domain.Value() },
                  { "state", NameOf(it.state) },
                  { "outstanding", OutstandingAt(aParts, it.id) },
                  { "weight", WeightOf(aParts, it) } };
    const bool engine = it.kind == policy::BackendKind::kEngine;
    backend["kind"] = engine ? "engine" : "plain";
    if (engine) {
      backend["role"] = policy::ToString(it.role);
      backend["model"] = it.models.empty() ? "" : it.models.front().Value();
    }
    backends.push_back(std::move(backend));
  }
  return backends;
}

Json
BookingsOf(const BookingBook& aBook)
{
  Json bookings = Json::array();
  for (const auto& it : aBook.Unknown()) {
    bookings.push_back({ { "key", it.key.Value() },
                         { "service", it.service.Value() },
                         { "request_type", it.requestType.Value() },
                         { "since_ms", it.since.time_since_epoch().count() } });
  }
  return bookings;
}

// Waiting and running requests, of the types that had any.
Json
QueuesOf(const EntryMetrics& aMetrics)
{
  Json queues = Json::array();
  for (const auto& [labels, gauge] : aMetrics.running.Series()) {
    const auto waiting = aMetrics.queueLength.Series().find(labels);
    const bool none = waiting == aMetrics.queueLength.Series().end();
    queues.push_back({ { "service", labels.at(0) },
                       { "request_type", labels.at(1) },
                       { "waiting", none ? 0 : waiting->second->Value() },
                       { "running", gauge->Value() } });
  }
  return queues;
}

// Each request type's running requests, and its limits under the table.
void
AddRequestTypes(const StatusParts& aParts, Json& aReport)
{
  aReport["limits"] = Json::array();
  const CustomerId any("*");
  for (const auto& service : aParts.settings->services) {
    for (const auto& type : service.requestTypes) {
      const auto* row =
        aParts.router->Policies().limits->RowFor(service.id, type.name, any);
      if (row == nullptr) {
        continue;
      }
      Json limit{ { "service", service.id.Value() },
                  { "request_type", type.name.Value() },
                  { "customer", any.Value() },
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
MakeStatusReport(const StatusParts& aParts, const EntryMetrics& aMetrics)
{
  const auto& host = aParts.settings->host;
  Json report{ { "host", host.id.Value() },
               { "domain", host.domain.Value() },
               { "incarnation", aParts.incarnation.Value() },
               { "ready", aParts.ready },
               { "draining", aParts.draining },
               { "table_version", aParts.table.Value() },
               { "plan_version", aParts.plan.Value() },
               { "members", MembersOf(aParts) },
               { "backends", BackendsOf(aParts) },
               { "queues", QueuesOf(aMetrics) },
               { "unknown_bookings", BookingsOf(*aParts.bookings) } };
  AddRequestTypes(aParts, report);
  return report.dump();
}

void
SetStatusGauges(const StatusParts& aParts, EntryMetrics& aMetrics)
{
  std::map<std::string, double> states{
    { "alive", 0 }, { "suspect", 0 }, { "dead", 0 }, { "left", 0 }
  };
  for (const auto& it : aParts.members) {
    ++states[std::string(ToString(it.status))];
  }
  for (const auto& [state, count] : states) {
    aMetrics.members.With({ state }).Set(count);
  }
  aMetrics.tableVersion.With({}).Set(static_cast<double>(aParts.table.Value()));
  aMetrics.planVersion.With({}).Set(static_cast<double>(aParts.plan.Value()));
  aMetrics.ready.With({}).Set(aParts.ready ? 1 : 0);
  const auto& router = *aParts.router;
  aMetrics.quarantined.With({}).Set(static_cast<double>(
    router.Policies().poison->Quarantined(aParts.now).size()));
  for (const auto& it : aParts.fleet->All()) {
    const auto own = static_cast<double>(OutstandingAt(aParts, it.id));
    aMetrics.backendOutstanding.With({ it.id.Value() }).Set(own);
    aMetrics.backendWeight.With({ it.id.Value() }).Set(WeightOf(aParts, it));
  }
}

} // namespace firefly

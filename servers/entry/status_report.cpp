#include "servers/entry/status_report.h"

#include <nlohmann/json.hpp>

namespace firefly {

namespace {

using Json = nlohmann::json;
using coord::MemberStatus;

const char*
NameOf(MemberStatus aStatus)
{
  switch (aStatus) {
    case MemberStatus::kAlive:
      return "alive";
    case MemberStatus::kSuspect:
      return "suspect";
    case MemberStatus::kDead:
      return "dead";
    case MemberStatus::kLeft:
      return "left";
  }
  return "dead";
}

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

policy::Digest
OwnWork(const policy::RequestRouter& aRouter,
        const policy::FleetView& aFleet,
        Instant aNow)
{
  policy::Digest digest;
  aRouter.Policies().selector->FillDigest(digest, aFleet, aNow);
  return digest;
}

Json
MembersOf(const StatusParts& aParts)
{
  Json members = Json::array();
  for (const auto& it : aParts.members) {
    Json member{ { "host", it.host.Value() },
                 { "domain", it.domain.Value() },
                 { "state", NameOf(it.status) },
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
  const auto work = OwnWork(*aParts.router, *aParts.fleet, aParts.now);
  Json backends = Json::array();
  for (const auto& it : aParts.fleet->All()) {
    Json backend{ { "id", it.id.Value() },
                  { "domain", it.domain.Value() },
                  { "state", NameOf(it.state) },
                  { "outstanding", 0 },
                  { "weight", 1.0 } };
    const bool engine = it.kind == policy::BackendKind::kEngine;
    backend["kind"] = engine ? "engine" : "plain";
    if (engine) {
      backend["role"] = policy::ToString(it.role);
      backend["model"] = it.models.empty() ? "" : it.models.front().Value();
    }
    const auto hash = aParts.fleet->HashAt(aParts.fleet->SlotOf(it.id));
    for (const auto& own : work.work) {
      if (own.backend == hash) {
        constexpr double kPermille = 1000;
        backend["outstanding"] = own.requests;
        backend["weight"] = own.speedPermille / kPermille;
      }
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

std::map<std::uint64_t, std::uint32_t>
OwnOutstanding(const policy::RequestRouter& aRouter,
               const policy::FleetView& aFleet,
               Instant aNow)
{
  std::map<std::uint64_t, std::uint32_t> outstanding;
  for (const auto& it : OwnWork(aRouter, aFleet, aNow).work) {
    outstanding[it.backend] = it.requests;
  }
  return outstanding;
}

std::string
MakeStatusReport(const StatusParts& aParts)
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
               { "queues", Json::array() },
               { "unknown_bookings", BookingsOf(*aParts.bookings) } };
  report["waiting"] = aParts.router->Queued();
  report["running"] = aParts.router->Live() - aParts.router->Queued();
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
    ++states[NameOf(it.status)];
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
  const auto outstanding = OwnOutstanding(router, *aParts.fleet, aParts.now);
  for (const auto& it : aParts.fleet->All()) {
    const auto hash = aParts.fleet->HashAt(aParts.fleet->SlotOf(it.id));
    const auto own = outstanding.find(hash);
    aMetrics.backendOutstanding.With({ it.id.Value() })
      .Set(own == outstanding.end() ? 0 : own->second);
  }
}

} // namespace firefly

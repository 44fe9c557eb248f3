#pragma once

// Reports the entry's state to operators in the format of docs/OPERATIONS.md.

#include <string>
#include <vector>

#include "coord/authority_state.h"
#include "coord/membership.h"
#include "policy/request_router.h"
#include "servers/entry/booking_tracker.h"
#include "servers/entry/entry_metrics.h"
#include "servers/entry/outstanding_attempts.h"
#include "servers/settings/settings.h"
#include "servers/table/table_admin.h"

namespace firefly {

// The sources of the report.
struct StatusSources
{
  const Settings* settings = nullptr;
  Incarnation incarnation;
  bool ready = false;
  bool draining = false;
  TableVersion table;
  coord::LogOffset plan;
  std::vector<coord::Member> members;
  std::vector<TableMember> tables;
  const policy::FleetView* fleet = nullptr;
  const policy::RequestRouter* router = nullptr;
  const BookingTracker* bookings = nullptr;
  const OutstandingAttempts* outstanding = nullptr;
  Instant now{};
};

// Returns the body of GET /admin/status.
std::string
MakeStatusReport(const StatusSources& aSources, const EntryMetrics& aMetrics);

// Sets the gauges that follow from the same sources.
void
SetStatusGauges(const StatusSources& aSources, EntryMetrics& aMetrics);

} // namespace firefly

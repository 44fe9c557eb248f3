#pragma once

// What the entries report to the steward: the plan that they act on and their
// running work. An entry that says nothing has agreed to nothing.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "coord/log_client.h"
#include "core/clock.h"
#include "core/ids.h"

namespace firefly {

// The path of a report on the steward's link.
inline constexpr const char* kAcknowledgePath = "/acknowledge";

// An entry's report. Once it has acknowledged a version of the plan, it sends
// no new work to backend servers that the version closes. Sent every second
// and at each new version.
struct EntryReport
{
  HostId host;
  Incarnation incarnation;
  coord::LogOffset planVersion;
  // Requests that run on each backend server; those without any may be left
  // out.
  std::map<BackendId, std::uint64_t> inFlight;
  // The entry's part of the demand.
  std::uint64_t promptTokensPerSecond = 0;
  std::uint64_t outputTokensPerSecond = 0;
};

std::string
Encode(const EntryReport& aReport);

// The report of a body; the error says what is wrong with it.
tl::expected<EntryReport, std::string>
DecodeEntryReport(std::string_view aBody);

// The newest report of each entry.
class EntryReports
{
public:
  // Takes a report; false if a newer one of that host is known.
  bool Take(const EntryReport& aReport, Instant aNow);

  // Takes the list of hosts: entries on hosts that it listed before and no
  // longer does are settled.
  void SetListed(const std::set<HostId>& aHosts);

  // Hosts that count until the list is known.
  void SetConfigured(std::set<HostId> aHosts);

  // The hosts whose entries have not acknowledged that version of the plan.
  [[nodiscard]] std::vector<HostId> Missing(coord::LogOffset aVersion) const;

  // The requests that run on a backend server, by all reports.
  [[nodiscard]] std::uint64_t InFlight(const BackendId& aBackend) const;

  // The sums of the demand reported since that time.
  [[nodiscard]] std::uint64_t PromptTokensPerSecond(Instant aSince) const;
  [[nodiscard]] std::uint64_t OutputTokensPerSecond(Instant aSince) const;

private:
  struct Known
  {
    EntryReport report;
    Instant at{};
  };

  [[nodiscard]] std::set<HostId> Expected() const;

  std::map<HostId, Known> mKnown;
  std::set<HostId> mConfigured;
  std::optional<std::set<HostId>> mListed;
};

} // namespace firefly

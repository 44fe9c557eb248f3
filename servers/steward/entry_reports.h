#pragma once

// The reports that entries send to the steward: the version of the plan that
// they apply, their requests in flight and their share of the demand. An entry
// that has not reported counts as not having acknowledged the plan.

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

// The path on the steward's link to which reports are sent.
inline constexpr const char* kEntryReportPath = "/acknowledge";

// The report of one entry. An entry that reports a version of the plan sends no
// new requests to the backend servers that this version closes. Entries report
// every second and after each new version.
struct EntryReport
{
  HostId host;
  Incarnation incarnation;
  coord::LogOffset planVersion;
  // This entry's requests in flight per backend server. Backend servers without
  // requests may be omitted.
  std::map<BackendId, std::uint64_t> inFlight;
  // This entry's share of the demand.
  std::uint64_t promptTokensPerSecond = 0;
  std::uint64_t outputTokensPerSecond = 0;
};

std::string
Encode(const EntryReport& aReport);

// Decodes a report from a message body; the error describes the fault.
tl::expected<EntryReport, std::string>
DecodeEntryReport(std::string_view aBody);

// Keeps the newest report of each entry by host.
class EntryReportRegistry
{
public:
  // Stores a report. Returns false if a newer report of that host is stored; a
  // report is newer by its incarnation, then by its plan version.
  bool Record(const EntryReport& aReport, Instant aNow);

  // Sets the hosts of the platform's host list. Hosts that the previous list
  // had and this one lacks are forgotten: their entries no longer need to
  // acknowledge a plan.
  void SetListedHosts(const std::set<HostId>& aHosts);

  // Sets the hosts that are expected to report until a non-empty host list is
  // known.
  void SetConfiguredHosts(std::set<HostId> aHosts);

  // The hosts whose entries have not acknowledged this version of the plan.
  [[nodiscard]] std::vector<HostId> UnacknowledgedHosts(
    coord::LogOffset aVersion) const;

  // The requests in flight on a backend server, summed over all reports.
  [[nodiscard]] std::uint64_t InFlight(const BackendId& aBackend) const;

  // The demand in tokens per second, summed over the reports received since
  // that time.
  [[nodiscard]] std::uint64_t PromptTokensPerSecond(Instant aSince) const;
  [[nodiscard]] std::uint64_t OutputTokensPerSecond(Instant aSince) const;

private:
  struct StoredReport
  {
    EntryReport report;
    Instant receivedAt{};
  };

  [[nodiscard]] std::set<HostId> ExpectedHosts() const;

  std::map<HostId, StoredReport> mReports;
  std::set<HostId> mConfiguredHosts;
  std::optional<std::set<HostId>> mListedHosts;
};

} // namespace firefly

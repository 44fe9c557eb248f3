#include "servers/steward/entry_reports.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "coord/codec.h"

namespace firefly {

namespace {

constexpr std::uint64_t kMaxBackends = 100000;

} // namespace

std::string
Encode(const EntryReport& aReport)
{
  coord::FieldWriter writer;
  writer.Text(aReport.host.Value())
    .Number(aReport.incarnation.Value())
    .Number(aReport.planVersion.Value())
    .Number(aReport.promptTokensPerSecond)
    .Number(aReport.outputTokensPerSecond)
    .Number(aReport.inFlight.size());
  for (const auto& [backend, count] : aReport.inFlight) {
    writer.Text(backend.Value()).Number(count);
  }
  return writer.Take();
}

tl::expected<EntryReport, std::string>
DecodeEntryReport(std::string_view aBody)
{
  coord::FieldReader reader(aBody);
  EntryReport report;
  report.host = HostId(reader.Text());
  report.incarnation = Incarnation(reader.Number());
  report.planVersion = coord::LogOffset(reader.Number());
  report.promptTokensPerSecond = reader.Number();
  report.outputTokensPerSecond = reader.Number();
  const std::uint64_t backends = std::min(reader.Number(), kMaxBackends);
  for (std::uint64_t n = 0; n < backends && reader.Ok(); ++n) {
    const BackendId backend(reader.Text());
    report.inFlight[backend] = reader.Number();
  }
  if (!reader.Ok() || !reader.AtEnd()) {
    return tl::make_unexpected(std::string("malformed report"));
  }
  return report;
}

bool
EntryReportRegistry::Record(const EntryReport& aReport, Instant aNow)
{
  const auto it = mReports.find(aReport.host);
  if (it != mReports.end()) {
    const EntryReport& known = it->second.report;
    const bool older = std::tie(aReport.incarnation, aReport.planVersion) <
                       std::tie(known.incarnation, known.planVersion);
    if (older) {
      return false;
    }
  }
  mReports[aReport.host] = { .report = aReport, .receivedAt = aNow };
  return true;
}

void
EntryReportRegistry::SetListedHosts(const std::set<HostId>& aHosts)
{
  if (mListedHosts) {
    for (const HostId& host : *mListedHosts) {
      if (!aHosts.contains(host)) {
        mReports.erase(host);
        mConfiguredHosts.erase(host);
      }
    }
  }
  mListedHosts = aHosts;
}

void
EntryReportRegistry::SetConfiguredHosts(std::set<HostId> aHosts)
{
  mConfiguredHosts = std::move(aHosts);
}

// The hosts of the host list, or the configured hosts while that list is empty
// or unknown, and in both cases every host that has reported.
std::set<HostId>
EntryReportRegistry::ExpectedHosts() const
{
  const bool hasList = mListedHosts && !mListedHosts->empty();
  std::set<HostId> hosts = hasList ? *mListedHosts : mConfiguredHosts;
  for (const auto& [host, report] : mReports) {
    hosts.insert(host);
  }
  return hosts;
}

std::vector<HostId>
EntryReportRegistry::UnacknowledgedHosts(coord::LogOffset aVersion) const
{
  std::vector<HostId> missing;
  for (const HostId& host : ExpectedHosts()) {
    const auto it = mReports.find(host);
    if (it == mReports.end() || it->second.report.planVersion < aVersion) {
      missing.push_back(host);
    }
  }
  return missing;
}

std::uint64_t
EntryReportRegistry::InFlight(const BackendId& aBackend) const
{
  std::uint64_t sum = 0;
  for (const auto& [host, known] : mReports) {
    const auto it = known.report.inFlight.find(aBackend);
    sum += it == known.report.inFlight.end() ? 0 : it->second;
  }
  return sum;
}

std::uint64_t
EntryReportRegistry::PromptTokensPerSecond(Instant aSince) const
{
  std::uint64_t sum = 0;
  for (const auto& [host, known] : mReports) {
    sum += known.receivedAt < aSince ? 0 : known.report.promptTokensPerSecond;
  }
  return sum;
}

std::uint64_t
EntryReportRegistry::OutputTokensPerSecond(Instant aSince) const
{
  std::uint64_t sum = 0;
  for (const auto& [host, known] : mReports) {
    sum += known.receivedAt < aSince ? 0 : known.report.outputTokensPerSecond;
  }
  return sum;
}

} // namespace firefly

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
EntryReports::Take(const EntryReport& aReport, Instant aNow)
{
  const auto it = mKnown.find(aReport.host);
  if (it != mKnown.end()) {
    const EntryReport& known = it->second.report;
    const bool older = std::tie(aReport.incarnation, aReport.planVersion) <
                       std::tie(known.incarnation, known.planVersion);
    if (older) {
      return false;
    }
  }
  mKnown[aReport.host] = { .report = aReport, .at = aNow };
  return true;
}

void
EntryReports::SetListed(const std::set<HostId>& aHosts)
{
  if (mListed) {
    for (const HostId& host : *mListed) {
      if (!aHosts.contains(host)) {
        mKnown.erase(host);
        mConfigured.erase(host);
      }
    }
  }
  mListed = aHosts;
}

void
EntryReports::SetConfigured(std::set<HostId> aHosts)
{
  mConfigured = std::move(aHosts);
}

// All that the list names, or before that all of the settings, and all that
// have reported.
std::set<HostId>
EntryReports::Expected() const
{
  const bool known = mListed && !mListed->empty();
  std::set<HostId> hosts = known ? *mListed : mConfigured;
  for (const auto& [host, report] : mKnown) {
    hosts.insert(host);
  }
  return hosts;
}

std::vector<HostId>
EntryReports::Missing(coord::LogOffset aVersion) const
{
  std::vector<HostId> missing;
  for (const HostId& host : Expected()) {
    const auto it = mKnown.find(host);
    if (it == mKnown.end() || it->second.report.planVersion < aVersion) {
      missing.push_back(host);
    }
  }
  return missing;
}

std::uint64_t
EntryReports::InFlight(const BackendId& aBackend) const
{
  std::uint64_t sum = 0;
  for (const auto& [host, known] : mKnown) {
    const auto it = known.report.inFlight.find(aBackend);
    sum += it == known.report.inFlight.end() ? 0 : it->second;
  }
  return sum;
}

std::uint64_t
EntryReports::PromptTokensPerSecond(Instant aSince) const
{
  std::uint64_t sum = 0;
  for (const auto& [host, known] : mKnown) {
    sum += known.at < aSince ? 0 : known.report.promptTokensPerSecond;
  }
  return sum;
}

std::uint64_t
EntryReports::OutputTokensPerSecond(Instant aSince) const
{
  std::uint64_t sum = 0;
  for (const auto& [host, known] : mKnown) {
    sum += known.at < aSince ? 0 : known.report.outputTokensPerSecond;
  }
  return sum;
}

} // namespace firefly

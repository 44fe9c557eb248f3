#include "servers/relay/relay_settings.h"

#include <algorithm>

#include "policy/access/access_control.h"
#include "servers/http/host_limits.h"
#include "servers/settings/section_reader.h"

namespace firefly {

namespace {

using Whole = SettingRange<std::int64_t>;
using Fraction = SettingRange<double>;

constexpr Whole kShortMillis{ 1, 60'000 };
// With the smallest value, the bound is 2.7 s. Between two relays that share
// their reads, confirmations were up to 2.0 s old, and a forwarder adds 0.5 s.
constexpr Whole kRevocationMillis{ 3'000, 600'000 };
constexpr Whole kCounts{ 1, 1'000'000 };
constexpr Whole kPorts{ 1, 65535 };
constexpr Fraction kTokenRates{ 1, 10'000'000 };
constexpr Fraction kGapMillis{ 0.1, 10'000 };
constexpr Fraction kShares{ 0, 1 };
constexpr Fraction kWindowSeconds{ 1, 3'600 };
constexpr Fraction kRetryRatios{ 0, 10 };
constexpr Fraction kRetryBursts{ 0, 1'000'000 };
constexpr Fraction kCallRates{ 0.1, 10'000 };
// The holder stops 500 ms before the end of the lease and renews it after a
// third.
constexpr Duration kMinDutyLease = std::chrono::milliseconds(1500);

// Defaults of optional keys; times are in milliseconds.
constexpr std::int64_t kPeerInterval = 300;
constexpr std::int64_t kBackendPoll = 500;
constexpr std::int64_t kSharedPoll = 1'100;
constexpr std::int64_t kRoutingWait = 20'000;
constexpr std::int64_t kLogTimeout = 1'500;
constexpr std::int64_t kStopGrace = 8'000;
constexpr std::int64_t kChangeBound = 2'000;
constexpr std::int64_t kUnreadyGrace = 3'000;
constexpr std::int64_t kLease = 3'000;
constexpr double kUsageWindowSeconds = 5;
constexpr double kMaxCallsPerSecond = 50;
constexpr std::int64_t kCrossDomainPenalty = 10;
constexpr std::int64_t kMaxConnections = 3'000;
constexpr std::int64_t kQueueBound = 256;

constexpr Whole kMegabytes{ 16, 1'000'000 };
constexpr Whole kDescriptors{ 64, 10'000'000 };
constexpr Fraction kMemoryShares{ 0.01, 0.9 };
// The rest of a host's memory is for the relay's own state, for bytes that the
// kernel has received, and for what the allocator can't return.
constexpr double kCallerMemoryShare = 0.3;
constexpr std::size_t kBytesPerMegabyte = 1U << 20U;

SocketAddress
ReadAddress(SectionReader& aReader, const std::string& aKey)
{
  return ParseSocketAddress(aReader.Endpoint(aKey)).value_or(SocketAddress{});
}

policy::BackendCapacity
ReadCapacity(SectionReader aReader, const policy::BackendCapacity& aDefault)
{
  constexpr double kMillisPerSecond = 1000;
  policy::BackendCapacity capacity = aDefault;
  capacity.prefillTokensPerSecond = aReader.Real(
    "prompt_tokens_per_s", kTokenRates, aDefault.prefillTokensPerSecond);
  capacity.decodeTokensPerSecond = aReader.Real(
    "output_tokens_per_s", kTokenRates, aDefault.decodeTokensPerSecond);
  capacity.tokenGapSeconds =
    aReader.Real(
      "token_gap_ms", kGapMillis, aDefault.tokenGapSeconds * kMillisPerSecond) /
    kMillisPerSecond;
  capacity.copyTokensPerSecond = aReader.Real(
    "copy_tokens_per_s", kTokenRates, aDefault.copyTokensPerSecond);
  aReader.ReportUnknownKeys();
  return capacity;
}

void
ReadEngines(SectionReader aReader, RelaySettings& aSettings)
{
  auto& capacities = aSettings.capacities;
  capacities.mixed = ReadCapacity(aReader.Section("mixed"), capacities.mixed);
  capacities.prefill =
    ReadCapacity(aReader.Section("prefill"), capacities.prefill);
  capacities.decode =
    ReadCapacity(aReader.Section("decode"), capacities.decode);
  if (aReader.Has("prompt_share")) {
    aSettings.prefillShare = aReader.Real("prompt_share", kShares, 0);
  }
  aSettings.lease = aReader.Millis("lease_ms", kShortMillis, kLease);
  aReader.ReportUnknownKeys();
}

void
ReadHost(SectionReader aReader, RelaySettings& aSettings)
{
  aSettings.host = HostId(aReader.Text("id"));
  aSettings.domain = DomainId(aReader.Text("domain"));
  aSettings.callers = ReadAddress(aReader, "callers");
  aSettings.status = ReadAddress(aReader, "status");
  aReader.ReportUnknownKeys();
}

void
ReadPeers(SectionReader aReader, RelaySettings& aSettings)
{
  aSettings.peerPort =
    static_cast<std::uint16_t>(aReader.Integer("port", kPorts));
  aSettings.updatePort =
    static_cast<std::uint16_t>(aReader.Integer("fact_port", kPorts));
  aSettings.peerInterval =
    aReader.Millis("interval_ms", kShortMillis, kPeerInterval);
  for (const auto& it : aReader.Texts("seeds")) {
    // A port in a seed belongs to another protocol and is ignored.
    aSettings.peerSeeds.push_back(it.substr(0, it.find(':')));
  }
  aReader.ReportUnknownKeys();
}

void
ReadFeeds(SectionReader aReader, RelaySettings& aSettings)
{
  aSettings.logUrl = aReader.Url("url");
  aSettings.backendPoll =
    aReader.Millis("backend_poll_ms", kShortMillis, kBackendPoll);
  aSettings.sharedPoll =
    aReader.Millis("shared_poll_ms", kShortMillis, kSharedPoll);
  aSettings.routingWait =
    aReader.Millis("routing_wait_ms", kShortMillis, kRoutingWait);
  aSettings.logTimeout =
    aReader.Millis("timeout_ms", kShortMillis, kLogTimeout);
  aReader.ReportUnknownKeys();
}

void
ReadAccess(SectionReader aReader, RelaySettings& aSettings)
{
  const std::string key = "revocation_ms";
  if (aReader.Has(key) && aReader.Integer(key, { 0, 600'000 }) > 0) {
    const auto revocation = aReader.Millis(key, kRevocationMillis);
    aSettings.stalenessBound = policy::StalenessBound(revocation);
  }
  aReader.ReportUnknownKeys();
}

void
ReadRetries(SectionReader aReader, RelaySettings& aSettings)
{
  auto& allowance = aSettings.retryAllowance;
  allowance.ratio = aReader.Real("ratio", kRetryRatios, allowance.ratio);
  allowance.burst = aReader.Real("burst", kRetryBursts, allowance.burst);
  aReader.ReportUnknownKeys();
}

void
ReadRelay(SectionReader aReader, RelaySettings& aSettings)
{
  aSettings.maxConnections = static_cast<std::size_t>(
    aReader.Integer("max_connections", kCounts, kMaxConnections));
  aSettings.memoryBytes = HostMemoryBytes();
  if (aReader.Has("memory_mb")) {
    const auto megabytes =
      static_cast<std::size_t>(aReader.Integer("memory_mb", kMegabytes));
    aSettings.memoryBytes =
      std::min(aSettings.memoryBytes, megabytes * kBytesPerMegabyte);
  }
  aSettings.maxDescriptors = DescriptorLimit();
  if (aReader.Has("max_descriptors")) {
    aSettings.maxDescriptors =
      std::min(aSettings.maxDescriptors,
               static_cast<std::size_t>(
                 aReader.Integer("max_descriptors", kDescriptors)));
  }
  aSettings.callerMemoryShare =
    aReader.Real("caller_memory_share", kMemoryShares, kCallerMemoryShare);
  aSettings.changeBound =
    aReader.Millis("change_bound_ms", kShortMillis, kChangeBound);
  aSettings.queueBound = static_cast<std::size_t>(
    aReader.Integer("queue_bound", kCounts, kQueueBound));
  aSettings.stopGrace =
    aReader.Millis("stop_grace_ms", kShortMillis, kStopGrace);
  aSettings.crossDomainPenalty =
    aReader.Millis("far_cost_ms", kShortMillis, kCrossDomainPenalty);
  aSettings.unreadyGrace =
    aReader.Millis("unready_grace_ms", kShortMillis, kUnreadyGrace);
  aReader.ReportUnknownKeys();
}

// Returns nothing without the URL of the API.
std::optional<DutySettings>
ReadDuties(SectionReader aReader, SettingProblems& aProblems)
{
  DutySettings duties;
  const bool hasUrl = aReader.Has("api_url");
  duties.apiUrl = hasUrl ? aReader.Url("api_url") : "";
  duties.names = aReader.Texts("names");
  duties.usage = aReader.Flag("usage", false);
  duties.usageWindow = FromSeconds(
    aReader.Real("usage_window_s", kWindowSeconds, kUsageWindowSeconds));
  duties.maxCallsPerSecond =
    aReader.Real("max_calls_per_s", kCallRates, kMaxCallsPerSecond);
  duties.lease = aReader.Millis("lease_ms", kShortMillis, kLease);
  aReader.ReportUnknownKeys();
  if (duties.usage && !hasUrl) {
    aProblems.Add(0, "duties.usage needs duties.api_url");
  }
  if (hasUrl && duties.lease < kMinDutyLease) {
    aProblems.Add(0, "duties.lease_ms must be at least 1500");
  }
  return hasUrl ? std::optional(duties) : std::nullopt;
}

} // namespace

tl::expected<RelaySettings, SettingsError>
LoadRelaySettings(const std::filesystem::path& aFile)
{
  const auto tree = ReadSettingFile(aFile.string());
  if (!tree) {
    return tl::make_unexpected(SettingsError{ { tree.error().message } });
  }
  SettingProblems problems(aFile.string());
  SectionReader root(&*tree, "", problems);
  RelaySettings settings;
  ReadHost(root.Section("host"), settings);
  ReadPeers(root.Section("peers"), settings);
  ReadFeeds(root.Section("log_service"), settings);
  ReadRelay(root.Section("relay"), settings);
  ReadAccess(root.Section("access"), settings);
  ReadRetries(root.Section("retries"), settings);
  ReadEngines(root.Section("engines"), settings);
  settings.duties = ReadDuties(root.Section("duties"), problems);
  auto charts = root.Section("charts");
  // A relative path is resolved against the working directory.
  settings.chartsDirectory = charts.Text("directory", "charts");
  charts.ReportUnknownKeys();
  settings.log = ReadLogSettings(root.Section("log"));
  root.ReportUnknownKeys();
  if (problems.Lines().empty() && settings.unreadyGrace >= settings.stopGrace) {
    problems.Add(
      0,
      "relay.unready_grace_ms must be shorter than "
      "relay.stop_grace_ms: otherwise no time is left to end live requests");
  }
  if (!problems.Lines().empty()) {
    return tl::make_unexpected(SettingsError{ problems.Lines() });
  }
  return settings;
}

} // namespace firefly

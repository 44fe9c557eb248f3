#include "servers/settings/settings.h"

#include <algorithm>

#include "servers/settings/section_reader.h"
#include "servers/settings/settings_checks.h"

namespace firefly {

namespace {

using IntegerRange = SettingRange<std::int64_t>;
using RealRange = SettingRange<double>;

constexpr IntegerRange kPortRange{ 1, 65535 };
constexpr IntegerRange kShortMillisRange{ 1, 60'000 };
constexpr IntegerRange kLongMillisRange{ 1, 3'600'000 };
constexpr IntegerRange kHoursRange{ 1, 8'760 };
constexpr RealRange kMoneyRange{ 0, 1e9 };
constexpr IntegerRange kLogLinesRange{ 1, 1'000'000 };
constexpr std::int64_t kDefaultLogLines = 500;
constexpr std::int64_t kMebibyte = 1 << 20;
constexpr std::int64_t kMaxRequestMemory = 1'048'576 * kMebibyte;

constexpr std::array<SettingChoice<BackendKind>, 2> kBackendKinds{ {
  { "engine", BackendKind::kEngine },
  { "plain", BackendKind::kPlain },
} };

constexpr SettingRange<double> kTokenRateRange{ 1, 10'000'000 };

constexpr std::array<SettingChoice<BackendRole>, 3> kBackendRoles{ {
  { "mixed", BackendRole::kMixed },
  { "prefill", BackendRole::kPrefill },
  { "decode", BackendRole::kDecode },
} };

constexpr std::array<SettingChoice<ServiceKind>, 2> kServiceKinds{ {
  { "model", ServiceKind::kModel },
  { "plain", ServiceKind::kPlain },
} };

constexpr std::array<SettingChoice<LogLevel>, 4> kLogLevels{ {
  { "info", LogLevel::kInfo },
  { "debug", LogLevel::kDebug },
  { "warning", LogLevel::kWarning },
  { "error", LogLevel::kError },
} };

constexpr std::array<SettingChoice<LogLayout>, 2> kLogLayouts{ {
  { "text", LogLayout::kText },
  { "json", LogLayout::kJson },
} };

enum class Method
{
  kPost,
  kGet,
};

constexpr std::array<SettingChoice<Method>, 2> kMethods{ {
  { "POST", Method::kPost },
  { "GET", Method::kGet },
} };

enum class PolicyName
{
  kFirefly,
  kRoundRobin,
  kLeastReportedLoad,
};

constexpr std::array<SettingChoice<PolicyName>, 3> kPolicies{ {
  { "firefly", PolicyName::kFirefly },
  { "round-robin", PolicyName::kRoundRobin },
  { "least-reported-load", PolicyName::kLeastReportedLoad },
} };

template<typename E, std::size_t N>
std::string_view
NameOfValue(const std::array<SettingChoice<E>, N>& aChoices, E aValue)
{
  const auto found =
    std::ranges::find(aChoices, aValue, &SettingChoice<E>::value);
  return found == aChoices.end() ? "" : found->name;
}

std::uint16_t
ReadPort(SectionReader& aReader, const std::string& aKey, std::int64_t aDefault)
{
  return static_cast<std::uint16_t>(
    aReader.Integer(aKey, kPortRange, aDefault));
}

std::size_t
ReadCount(SectionReader& aReader,
          const std::string& aKey,
          IntegerRange aRange,
          std::int64_t aDefault)
{
  return static_cast<std::size_t>(aReader.Integer(aKey, aRange, aDefault));
}

Duration
ReadHours(SectionReader& aReader,
          const std::string& aKey,
          std::int64_t aDefault)
{
  return std::chrono::hours(aReader.Integer(aKey, kHoursRange, aDefault));
}

HostSettings
ReadHost(SectionReader& aReader)
{
  HostSettings host{
    .id = HostId(aReader.Text("id")),
    .domain = DomainId(aReader.Text("domain")),
    .address = aReader.Address("address"),
    .entryPort = ReadPort(aReader, "entry_port", 8080),
    .entryAdminPort = ReadPort(aReader, "entry_admin_port", 8081),
    .entryLinkPort = ReadPort(aReader, "entry_link_port", 8082),
    .gossipPort = ReadPort(aReader, "gossip_port", 8083),
    .stewardLinkPort = ReadPort(aReader, "steward_link_port", 8084),
    .stewardAdminPort = ReadPort(aReader, "steward_admin_port", 8085),
    .ledgerLinkPort = ReadPort(aReader, "ledger_link_port", 8086),
    .ledgerAdminPort = ReadPort(aReader, "ledger_admin_port", 8087),
  };
  aReader.ReportUnknownKeys();
  return host;
}

EntrySettings
ReadEntry(SectionReader aReader)
{
  EntrySettings entry{
    .maxBodyBytes =
      ReadCount(aReader, "max_body_bytes", { 1, 64 * kMebibyte }, kMebibyte),
    .maxConnections =
      ReadCount(aReader, "max_connections", { 1, 100'000 }, 12'000),
    .requestMemoryBytes =
      ReadCount(aReader, "request_memory_bytes", { 0, kMaxRequestMemory }, 0),
    .maxConcurrentStreams =
      ReadCount(aReader, "max_concurrent_streams", { 1, 100'000 }, 10'000),
    .queueBound = ReadCount(aReader, "queue_bound", { 1, 100'000 }, 1'000),
    .streamBufferBytes = ReadCount(
      aReader, "stream_buffer_bytes", { 1'024, 64 * kMebibyte }, 262'144),
    .readTimeout = aReader.Millis("read_timeout_ms", kShortMillisRange, 10'000),
    .requestTimeout =
      aReader.Millis("request_timeout_ms", kLongMillisRange, 120'000),
    .connectTimeout =
      aReader.Millis("connect_timeout_ms", kShortMillisRange, 500),
    .stallTimeout =
      aReader.Millis("stall_timeout_ms", kShortMillisRange, 3'000),
    .drainTimeout =
      aReader.Millis("drain_timeout_ms", kLongMillisRange, 150'000),
    .tableTimeout =
      aReader.Millis("table_timeout_ms", kLongMillisRange, 10'000),
    .unreadyGrace = aReader.Millis("unready_grace_ms", kLongMillisRange, 5'000),
  };
  aReader.ReportUnknownKeys();
  return entry;
}

MembershipSettings
ReadMembership(SectionReader aReader)
{
  MembershipSettings membership{
    .heartbeat = aReader.Millis("heartbeat_ms", kShortMillisRange, 200),
    .suspectAfter =
      aReader.Millis("suspect_after_ms", kShortMillisRange, 1'000),
    .deadAfter = aReader.Millis("dead_after_ms", kShortMillisRange, 3'000),
    .fanOut = ReadCount(aReader, "fan_out", { 1, 64 }, 3),
  };
  aReader.ReportUnknownKeys();
  return membership;
}

LedgerSettings
ReadLedger(SectionReader aReader)
{
  LedgerSettings ledger{
    .partitions = static_cast<std::uint32_t>(
      aReader.Integer("partitions", { 1, 4'096 }, 16)),
    .batchInterval = aReader.Millis("batch_interval_ms", kShortMillisRange, 5),
    .permitTimeout =
      aReader.Millis("permit_timeout_ms", kShortMillisRange, 3'000),
    .window = ReadHours(aReader, "window_hours", 24),
  };
  aReader.ReportUnknownKeys();
  return ledger;
}

StewardSettings
ReadSteward(SectionReader aReader)
{
  StewardSettings steward{
    .lease = aReader.Millis("lease_ms", kLongMillisRange, 6'000),
    .renew = aReader.Millis("renew_ms", kLongMillisRange, 2'000),
    .grace = aReader.Millis("grace_ms", kLongMillisRange, 3'000),
    .orderTimeout = aReader.Millis("order_timeout_ms", kLongMillisRange, 2'000),
    .payback = aReader.Millis("payback_ms", kLongMillisRange, 60'000),
    .planInterval =
      aReader.Millis("plan_interval_ms", kShortMillisRange, 1'000),
    .drainTimeout =
      aReader.Millis("drain_timeout_ms", kLongMillisRange, 150'000),
  };
  aReader.ReportUnknownKeys();
  return steward;
}

EngineRoleSettings
ReadEngineRole(SectionReader aReader, BackendRole aRole)
{
  EngineRoleSettings role{
    .role = aRole,
    .promptTokensPerSecond =
      aReader.Real("prompt_tokens_per_second", kTokenRateRange),
    .outputTokensPerSecond =
      aReader.Real("output_tokens_per_second", kTokenRateRange),
    .slots = ReadCount(aReader, "slots", { 1, 100'000 }, 32),
  };
  aReader.ReportUnknownKeys();
  return role;
}

std::vector<EngineRoleSettings>
ReadEngineRoles(SectionReader aReader)
{
  std::vector<EngineRoleSettings> roles;
  roles.reserve(kBackendRoles.size());
  for (const auto& it : kBackendRoles) {
    roles.push_back(
      ReadEngineRole(aReader.Section(std::string(it.name)), it.value));
  }
  aReader.ReportUnknownKeys();
  return roles;
}

PlatformSettings
ReadPlatform(SectionReader aReader)
{
  PlatformSettings platform{
    .logUrl = aReader.Url("log_url"),
    .hostsUrl = aReader.Url("hosts_url"),
    .storeUrl = aReader.Url("store_url"),
    .logPrefix = aReader.Text("log_prefix", "firefly"),
    .pollInterval = aReader.Millis("poll_ms", kShortMillisRange, 500),
    .requestTimeout =
      aReader.Millis("request_timeout_ms", kShortMillisRange, 2'000),
    .retention = ReadHours(aReader, "retention_hours", 72),
  };
  aReader.ReportUnknownKeys();
  return platform;
}

void
ReadPlainBackend(SectionReader& aReader, BackendSettings& aBackend)
{
  aBackend.service = ServiceId(aReader.Text("service"));
}

void
ReadEngineBackend(SectionReader& aReader, BackendSettings& aBackend)
{
  aBackend.checksFencing = aReader.Flag("checks_fencing");
  aBackend.role =
    aReader.Choice("role", kBackendRoles, { BackendRole::kMixed });
  for (auto& it : aReader.Texts("models")) {
    aBackend.models.emplace_back(std::move(it));
  }
  aBackend.kvPieces = ReadCount(aReader, "kv_pieces", { 1, 10'000'000 }, 2'000);
}

BackendSettings
ReadBackend(SectionReader& aReader)
{
  BackendSettings backend{
    .id = BackendId(aReader.Text("id")),
    .domain = DomainId(aReader.Text("domain")),
    .kind = aReader.Choice("kind", kBackendKinds),
    .service = {},
    .url = aReader.Url("url"),
    .models = {},
    .slots = ReadCount(aReader, "slots", { 1, 100'000 }, 32),
  };
  if (backend.kind == BackendKind::kPlain) {
    ReadPlainBackend(aReader, backend);
  } else {
    ReadEngineBackend(aReader, backend);
  }
  aReader.ReportUnknownKeys();
  return backend;
}

std::string
ReadPath(SectionReader& aReader)
{
  return aReader.Text("path", "/");
}

RequestTypeSettings
ReadRequestType(SectionReader& aReader, ServiceKind aKind)
{
  const bool plain = aKind == ServiceKind::kPlain;
  RequestTypeSettings type{
    .name = RequestType(aReader.Text("name")),
    .worth = aReader.Real("worth", kMoneyRange),
    .refund = 0,
    .lateAfter = aReader.Millis("late_after_ms", kLongMillisRange),
    .objective = aReader.Real("objective", { 0.5, 0.99999 }, 0.99),
    .idempotent =
      aReader.Flag("idempotent", plain ? std::optional<bool>{} : true),
    .method = {},
    .path = {},
  };
  type.refund = aReader.Real("refund", kMoneyRange, type.worth);
  if (plain) {
    const auto method = aReader.Choice("method", kMethods, { Method::kPost });
    type.method = NameOfValue(kMethods, method);
    type.path = ReadPath(aReader);
  } else {
    constexpr IntegerRange kTokenCountRange{ 1, 10'000'000 };
    type.expectedPromptTokens =
      ReadCount(aReader, "expected_prompt_tokens", kTokenCountRange, 1'000);
    type.expectedOutputTokens =
      ReadCount(aReader, "expected_output_tokens", kTokenCountRange, 200);
  }
  aReader.ReportUnknownKeys();
  return type;
}

ServiceSettings
ReadService(SectionReader& aReader)
{
  ServiceSettings service{
    .id = ServiceId(aReader.Text("id")),
    .kind = aReader.Choice("kind", kServiceKinds),
    .model = {},
    .requestTypes = {},
  };
  if (service.kind == ServiceKind::kModel) {
    service.model = ModelId(aReader.Text("model"));
    service.firstTokenTarget =
      aReader.Millis("first_token_target_ms", kLongMillisRange, 730);
    service.tokenGapTarget =
      aReader.Millis("token_gap_target_ms", kShortMillisRange, 28);
  }
  for (auto& it : aReader.Sections("request_types")) {
    service.requestTypes.push_back(ReadRequestType(it, service.kind));
  }
  aReader.ReportUnknownKeys();
  return service;
}

// Sets the host of this process: the requested [[peers]] entry, else [host].
void
ChooseHost(SectionReader& aRoot,
           const SettingsOptions& aOptions,
           Settings& aSettings,
           SettingProblems& aProblems)
{
  if (aRoot.Has("host") || (aOptions.needsHost && !aOptions.host)) {
    auto reader = aRoot.Section("host");
    aSettings.host = ReadHost(reader);
  }
  if (!aOptions.host) {
    return;
  }
  const auto found =
    std::ranges::find(aSettings.peers, *aOptions.host, &HostSettings::id);
  if (found == aSettings.peers.end()) {
    aProblems.Add(0,
                  "[[peers]] id: no entry has the requested host id \"" +
                    aOptions.host->Value() +
                    "\"; must be the id of one of them");
    return;
  }
  aSettings.host = *found;
}

std::filesystem::path
ReadCharts(SectionReader aReader, const std::filesystem::path& aFile)
{
  const std::filesystem::path directory =
    aReader.Text("directory", "../charts");
  aReader.ReportUnknownKeys();
  return (aFile.parent_path() / directory).lexically_normal();
}

std::string
ReadPolicy(SectionReader aReader)
{
  const auto policy =
    aReader.Choice("name", kPolicies, { PolicyName::kFirefly });
  aReader.ReportUnknownKeys();
  return std::string(NameOfValue(kPolicies, policy));
}

Settings
ReadSettings(const SettingValue& aRoot,
             const SettingsOptions& aOptions,
             SettingProblems& aProblems)
{
  SectionReader root(&aRoot, "", aProblems);
  Settings settings;
  settings.entry = ReadEntry(root.Section("entry"));
  settings.membership = ReadMembership(root.Section("membership"));
  settings.ledger = ReadLedger(root.Section("ledger"));
  settings.steward = ReadSteward(root.Section("steward"));
  settings.platform = ReadPlatform(root.Section("platform"));
  settings.log = ReadLogSettings(root.Section("log"));
  settings.chartsDirectory = ReadCharts(root.Section("charts"), aOptions.file);
  settings.policyName = ReadPolicy(root.Section("policy"));
  if (root.Has("engine_roles")) {
    settings.engineRoles = ReadEngineRoles(root.Section("engine_roles"));
  }
  for (auto& it : root.Sections("peers")) {
    settings.peers.push_back(ReadHost(it));
  }
  for (auto& it : root.Sections("backends")) {
    settings.backends.push_back(ReadBackend(it));
  }
  for (auto& it : root.Sections("services")) {
    settings.services.push_back(ReadService(it));
  }
  ChooseHost(root, aOptions, settings, aProblems);
  root.ReportUnknownKeys();
  return settings;
}

} // namespace

const ServiceSettings*
Settings::FindService(const ServiceId& aId) const
{
  const auto found = std::ranges::find(services, aId, &ServiceSettings::id);
  return found == services.end() ? nullptr : &*found;
}

const RequestTypeSettings*
Settings::FindRequestType(const ServiceId& aService,
                          const RequestType& aType) const
{
  const auto* service = FindService(aService);
  if (service == nullptr) {
    return nullptr;
  }
  const auto& types = service->requestTypes;
  const auto found =
    std::ranges::find(types, aType, &RequestTypeSettings::name);
  return found == types.end() ? nullptr : &*found;
}

const BackendSettings*
Settings::FindBackend(const BackendId& aId) const
{
  const auto found = std::ranges::find(backends, aId, &BackendSettings::id);
  return found == backends.end() ? nullptr : &*found;
}

tl::expected<Settings, SettingsError>
LoadSettings(const SettingsOptions& aOptions)
{
  const auto root = ReadSettingFile(aOptions.file.string());
  if (!root) {
    return tl::unexpected(SettingsError{ { root.error().message } });
  }
  SettingProblems problems(aOptions.file.string());
  Settings settings = ReadSettings(*root, aOptions, problems);
  // If a value was rejected, its constraints with other values would only
  // report the same error again.
  if (problems.Lines().empty()) {
    CheckConsistency(settings, problems);
  }
  if (!problems.Lines().empty()) {
    return tl::unexpected(SettingsError{ problems.Lines() });
  }
  return settings;
}

LogSettings
ReadLogSettings(SectionReader aReader)
{
  LogSettings log{
    .level = aReader.Choice("level", kLogLevels, { LogLevel::kInfo }),
    .layout = aReader.Choice("layout", kLogLayouts, { LogLayout::kText }),
    .linesPerSecond = static_cast<std::uint32_t>(
      aReader.Integer("lines_per_s", kLogLinesRange, kDefaultLogLines)),
  };
  aReader.ReportUnknownKeys();
  return log;
}

std::string_view
NameOf(BackendKind aKind)
{
  return NameOfValue(kBackendKinds, aKind);
}

std::string_view
NameOf(BackendRole aRole)
{
  return NameOfValue(kBackendRoles, aRole);
}

std::string_view
NameOf(ServiceKind aKind)
{
  return NameOfValue(kServiceKinds, aKind);
}

} // namespace firefly

#pragma once

// The settings of one deployment. All daemons on all hosts can share one file.
// docs/OPERATIONS.md is the reference for operators.

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "core/clock.h"
#include "core/ids.h"

namespace firefly {

// The address and the ports of the daemons on one entry host.
struct HostSettings
{
  HostId id;
  DomainId domain;
  std::string address; // an IP address
  std::uint16_t entryPort = 0;
  std::uint16_t entryAdminPort = 0;
  std::uint16_t entryLinkPort = 0;
  std::uint16_t gossipPort = 0; // UDP
  std::uint16_t stewardLinkPort = 0;
  std::uint16_t stewardAdminPort = 0;
  std::uint16_t ledgerLinkPort = 0;
  std::uint16_t ledgerAdminPort = 0;
};

// Limits and timeouts of callers' requests at an entry.
struct EntrySettings
{
  std::size_t maxBodyBytes = 0;
  std::size_t maxConnections = 0;
  // For requests being received or answered; 0 selects a quarter of the host's
  // memory.
  std::size_t requestMemoryBytes = 0;
  std::size_t maxConcurrentStreams = 0;
  std::size_t queueBound = 0;        // max waiting requests per service
  std::size_t streamBufferBytes = 0; // max unsent bytes per request
  Duration readTimeout{};    // for a caller to send its complete request
  Duration requestTimeout{}; // for the complete answer
  Duration connectTimeout{}; // to connect to a backend server
  Duration stallTimeout{};   // max pause between two parts of an answer
  Duration drainTimeout{};   // max wait for running requests at shutdown
  // The entry becomes unready if for this long neither the log nor a peer has
  // confirmed that its operators' table is current. This does not apply if the
  // settings have at most one peer.
  Duration tableTimeout{};
  // At shutdown, the entry is unready but still accepts requests for this long.
  Duration unreadyGrace{};
};

// Failure detection between entries.
struct MembershipSettings
{
  Duration heartbeat{};
  Duration suspectAfter{};
  Duration deadAfter{};
  std::size_t fanOut = 0; // peers contacted per round
};

// Permits for requests that must not be repeated.
struct LedgerSettings
{
  std::uint32_t partitions = 0;
  Duration batchInterval{};
  Duration permitTimeout{};
  Duration window{}; // how long a booking key is remembered
};

// The lease of the fleet's single authority, and its changes to the fleet.
struct StewardSettings
{
  Duration lease{};
  Duration renew{};
  Duration grace{}; // a challenger claims only after lease plus grace
  Duration orderTimeout{};
  Duration payback{}; // min time between two role changes of an engine
  Duration planInterval{};
  Duration drainTimeout{}; // max wait for an engine's running requests
};

enum class BackendRole
{
  kMixed,
  kPrefill,
  kDecode,
};

// The capacity of an engine in one role.
struct EngineRoleSettings
{
  BackendRole role = BackendRole::kMixed;
  double promptTokensPerSecond = 0;
  double outputTokensPerSecond = 0;
  std::size_t slots = 0; // max concurrent requests
};

// Access to the platform's log, host list and weight store.
struct PlatformSettings
{
  std::string logUrl;
  std::string hostsUrl;
  std::string storeUrl;
  std::string logPrefix; // prefix of this deployment's stream names
  Duration pollInterval{};
  Duration requestTimeout{};
  Duration retention{}; // how long the log keeps records
};

enum class BackendKind
{
  kEngine,
  kPlain,
};

// One backend server.
struct BackendSettings
{
  BackendId id;
  DomainId domain;
  BackendKind kind = BackendKind::kEngine;
  ServiceId service; // set for a plain service, empty for an engine
  std::string url;
  bool checksFencing = false;
  BackendRole role = BackendRole::kMixed; // initial role of an engine
  std::vector<ModelId> models;            // models that an engine may load
  std::size_t slots = 0;                  // max concurrent requests
  std::size_t kvPieces = 0; // KV cache size of an engine, in pieces
};

// One request type and its service-level agreement.
struct RequestTypeSettings
{
  RequestType name;
  double worth = 0;     // of one complete answer, in currency units
  double refund = 0;    // owed for a late answer, in currency units
  Duration lateAfter{}; // an answer after this is late
  double objective = 0; // target share of answers in time
  bool idempotent = false;
  std::string method;                   // HTTP method, for a plain service
  std::string path;                     // URL path, for a plain service
  std::size_t expectedPromptTokens = 0; // initial estimate
  std::size_t expectedOutputTokens = 0; // initial estimate
};

enum class ServiceKind
{
  kModel,
  kPlain,
};

// One service with its request types.
struct ServiceSettings
{
  ServiceId id;
  ServiceKind kind = ServiceKind::kModel;
  ModelId model;               // for a model service
  Duration firstTokenTarget{}; // for a model service
  Duration tokenGapTarget{};   // for a model service
  std::vector<RequestTypeSettings> requestTypes;
};

enum class LogLevel
{
  kDebug,
  kInfo,
  kWarning,
  kError,
};

enum class LogLayout
{
  kText,
  kJson,
};

struct LogSettings
{
  LogLevel level = LogLevel::kInfo;
  LogLayout layout = LogLayout::kText;
  // The rate limit; lines above it are dropped and counted.
  std::uint32_t linesPerSecond = 500;
};

// The content of a settings file, after validation.
struct Settings
{
  HostSettings host; // the host of this process
  EntrySettings entry;
  MembershipSettings membership;
  LedgerSettings ledger;
  StewardSettings steward;
  PlatformSettings platform;
  LogSettings log;
  std::filesystem::path chartsDirectory;
  std::string policyName;
  // One entry for each role, or empty: then only operators change roles.
  std::vector<EngineRoleSettings> engineRoles;
  std::vector<HostSettings> peers; // seeds of the membership protocol
  std::vector<BackendSettings> backends;
  std::vector<ServiceSettings> services;

  // The service of that id, or null.
  [[nodiscard]] const ServiceSettings* FindService(const ServiceId& aId) const;

  // The request type of a service, or null if either is unknown.
  [[nodiscard]] const RequestTypeSettings* FindRequestType(
    const ServiceId& aService,
    const RequestType& aType) const;

  // The backend server of that id, or null.
  [[nodiscard]] const BackendSettings* FindBackend(const BackendId& aId) const;
};

// All errors of a settings file. Each line names the file, the key and the
// allowed values.
struct SettingsError
{
  std::vector<std::string> lines;
};

class SectionReader;

// Reads the [log] section, which several settings formats share.
LogSettings
ReadLogSettings(SectionReader aReader);

struct SettingsOptions
{
  std::filesystem::path file;
  // Uses the [[peers]] entry of that id instead of [host], so that all hosts
  // can share one file.
  std::optional<HostId> host = {};
  // True if a host must be given; operators' programs need none.
  bool needsHost = true;
};

// Reads a settings file and reports all invalid values at once. Constraints
// that involve several values are checked only if every value is valid.
tl::expected<Settings, SettingsError>
LoadSettings(const SettingsOptions& aOptions);

// The name of the value in settings and reports.
std::string_view
NameOf(BackendKind aKind);
std::string_view
NameOf(BackendRole aRole);
std::string_view
NameOf(ServiceKind aKind);

} // namespace firefly

#pragma once

// The settings of one deployment: one file serves all daemons of all its
// hosts. docs/OPERATIONS.md is the reference for operators.

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

// Where the daemons of one entry host are reached.
struct HostSettings
{
  HostId id;
  DomainId domain;
  std::string address; // an IP number
  std::uint16_t entryPort = 0;
  std::uint16_t entryAdminPort = 0;
  std::uint16_t entryLinkPort = 0;
  std::uint16_t gossipPort = 0; // UDP
  std::uint16_t stewardLinkPort = 0;
  std::uint16_t stewardAdminPort = 0;
  std::uint16_t ledgerLinkPort = 0;
  std::uint16_t ledgerAdminPort = 0;
};

// Limits and timeouts of callers' requests.
struct EntrySettings
{
  std::size_t maxBodyBytes = 0;
  std::size_t maxConnections = 0;
  std::size_t maxConcurrentStreams = 0;
  std::size_t queueBound = 0;        // requests waiting, by service
  std::size_t streamBufferBytes = 0; // unsent bytes, by request
  Duration readTimeout{};            // for a caller to send its request whole
  Duration requestTimeout{};         // for an answer to be whole
  Duration connectTimeout{};         // to a backend server
  Duration stallTimeout{};           // between two pieces of an answer
  Duration drainTimeout{};           // for running requests at shutdown
  Duration tableTimeout{};           // without news of the table until unready
  Duration unreadyGrace{};           // unready, and still taking requests
};

// Heartbeats between entries.
struct MembershipSettings
{
  Duration heartbeat{};
  Duration suspectAfter{};
  Duration deadAfter{};
  std::size_t fanOut = 0; // peers a round
};

// Permits for requests that must not be repeated.
struct LedgerSettings
{
  std::uint32_t partitions = 0;
  Duration batchInterval{};
  Duration permitTimeout{};
  Duration window{}; // for which a key is remembered
};

// The fleet's one authority.
struct StewardSettings
{
  Duration lease{};
  Duration renew{};
  Duration grace{}; // added to the lease before a challenger claims
  Duration orderTimeout{};
  Duration payback{}; // least time between two role changes of an engine
  Duration planInterval{};
  Duration drainTimeout{}; // for running work to leave an engine
};

enum class BackendRole
{
  kMixed,
  kPrefill,
  kDecode,
};

// What each engine can carry in one role.
struct EngineRoleSettings
{
  BackendRole role = BackendRole::kMixed;
  double promptTokensPerSecond = 0;
  double outputTokensPerSecond = 0;
  std::size_t slots = 0; // requests at once
};

// The platform's services.
struct PlatformSettings
{
  std::string logUrl;
  std::string hostsUrl;
  std::string storeUrl;
  std::string logPrefix; // of this deployment's streams
  Duration pollInterval{};
  Duration requestTimeout{};
  Duration retention{}; // of the log's records
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
  ServiceId service; // of a plain service; empty for an engine
  std::string url;
  bool checksFencing = false;
  BackendRole role = BackendRole::kMixed; // at the start, of an engine
  std::vector<ModelId> models;            // that an engine may load
  std::size_t slots = 0;                  // requests at once
  std::size_t kvPieces = 0;               // of an engine's cache memory
};

// One request type with what its customers agreed to.
struct RequestTypeSettings
{
  RequestType name;
  double worth = 0;     // of one whole answer, in units of currency
  double refund = 0;    // owed for a late one, in units of currency
  Duration lateAfter{}; // lateness that triggers the refund
  double objective = 0; // share of answers that should be in time
  bool idempotent = false;
  std::string method;                   // of a plain service's call
  std::string path;                     // of a plain service's call
  std::size_t expectedPromptTokens = 0; // until estimates are learnt
  std::size_t expectedOutputTokens = 0; // until estimates are learnt
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
  ModelId model;               // of a model service
  Duration firstTokenTarget{}; // of a model service
  Duration tokenGapTarget{};   // of a model service
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
  // Lines a second at most; further ones are dropped and counted.
  std::uint32_t linesPerSecond = 500;
};

// All that a settings file holds.
struct Settings
{
  HostSettings host; // this process's own
  EntrySettings entry;
  MembershipSettings membership;
  LedgerSettings ledger;
  StewardSettings steward;
  PlatformSettings platform;
  LogSettings log;
  std::filesystem::path chartsDirectory;
  std::string policyName;
  // One for each role, or none: then roles change by operators only.
  std::vector<EngineRoleSettings> engineRoles;
  std::vector<HostSettings> peers; // seeds of the membership
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

// All faults of a settings file, each a line that names the file, the key and
// what is allowed.
struct SettingsError
{
  std::vector<std::string> lines;
};

class SectionReader;

// Reads the [log] section, which all programs share.
LogSettings
ReadLogSettings(SectionReader aReader);

struct SettingsOptions
{
  std::filesystem::path file;
  // Takes [host] from the [[peers]] entry of that id, so that one file serves
  // all hosts.
  std::optional<HostId> host = {};
  // Whether a [host] is needed; operators' programs do without.
  bool needsHost = true;
};

// Reads a settings file and checks it whole.
tl::expected<Settings, SettingsError>
LoadSettings(const SettingsOptions& aOptions);

// The word that settings, reports and the table use for the value.
std::string_view
NameOf(BackendKind aKind);
std::string_view
NameOf(BackendRole aRole);
std::string_view
NameOf(ServiceKind aKind);

} // namespace firefly

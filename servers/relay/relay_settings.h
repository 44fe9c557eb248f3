#pragma once

// The settings of a relay, read from TOML; docs/OPERATIONS.md is the reference.

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "core/clock.h"
#include "core/ids.h"
#include "policy/fleet_view.h"
#include "policy/retry/retry_budget.h"
#include "servers/http/socket_address.h"
#include "servers/settings/settings.h"

namespace firefly {

// The calls to the platform's API that one host makes at a time. Without the
// section, there are none.
struct DutySettings
{
  // URL of the API.
  std::string apiUrl;
  // The duties by the names that the platform gives them.
  std::vector<std::string> names;
  // Whether usage is reported.
  bool usage = false;
  Duration usageWindow{};
  // Limit for the calls of all hosts together.
  double maxCallsPerSecond = 0;
  // Duration of the lease that makes one relay the holder of the duties.
  Duration lease{};
};

struct RelaySettings
{
  HostId host;
  DomainId domain;
  SocketAddress callers;
  SocketAddress status;
  // UDP port of the membership protocol between relays; the same on all hosts.
  std::uint16_t peerPort = 0;
  // UDP port for updates between relays; the same on all hosts.
  std::uint16_t updatePort = 0;
  // IP addresses of some other relays.
  std::vector<std::string> peerSeeds;
  Duration peerInterval{};
  // URL of the platform's log.
  std::string logUrl;
  // Time between two reads of the backend servers' records.
  Duration backendPoll{};
  // Maximum time between two of these reads while other relays share theirs.
  Duration sharedPoll{};
  // How long the log may hold a read while the routing table does not change.
  Duration routingWait{};
  // Timeout of a call to the log, in addition to the time that the log may hold
  // a read.
  Duration logTimeout{};
  std::size_t maxConnections = 0;
  // What the process may use of its host.
  std::size_t memoryBytes = 1U << 30U;
  std::size_t maxDescriptors = 100'000;
  // Fraction of the memory that may be held for callers.
  double callerMemoryShare = 0.3;
  std::size_t queueBound = 0; // maximum number of waiting requests
  // Time between the stop signal and the kill signal.
  Duration stopGrace{};
  // Time after the stop signal for the load balancer to notice that the relay
  // is not ready.
  Duration unreadyGrace{};
  policy::RetryAllowance retryAllowance{};
  policy::RoleCapacities capacities;
  // Fraction of the engines in a group that only prefill prompts; 0 disables
  // changes of roles. Without a value, it follows the load.
  std::optional<double> prefillShare{};
  // Extra predicted wait that is accepted to keep a request's work within the
  // failure domain.
  Duration crossDomainPenalty{};
  // Duration of the lease that makes one relay the only one to give orders to
  // engines.
  Duration lease{};
  std::optional<DutySettings> duties{};
  // The maximum age of the routing table's confirmation. Without a value,
  // revocation is not strict and the age is not bounded.
  std::optional<Duration> stalenessBound{};
  // Within which a change of the routing table must be in force.
  Duration changeBound = std::chrono::seconds(2);
  // Directory of the state charts.
  std::filesystem::path chartsDirectory;
  LogSettings log;
};

// Reads and validates the file; an error has one line for each fault.
tl::expected<RelaySettings, SettingsError>
LoadRelaySettings(const std::filesystem::path& aFile);

} // namespace firefly

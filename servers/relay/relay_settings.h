#pragma once

// The settings of a relay, in TOML; docs/OPERATIONS.md is the reference.

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "core/clock.h"
#include "core/ids.h"
#include "policy/fleet_view.h"
#include "servers/http/socket_address.h"
#include "servers/settings/settings.h"

namespace firefly {

struct RelaySettings
{
  HostId host;
  DomainId domain;
  SocketAddress callers;
  SocketAddress status;
  // UDP, for the other relays; the same port on all hosts.
  std::uint16_t peerPort = 0;
  // UDP, for what relays read from the log; the same port on all hosts.
  std::uint16_t factPort = 0;
  // IP numbers of some other relays.
  std::vector<std::string> peerSeeds;
  Duration peerInterval{};
  // Where the platform's log is reached.
  std::string logUrl;
  // Between two reads of the backend servers' records.
  Duration backendPoll{};
  // The longest time between them while other relays tell of their reads.
  Duration sharedPoll{};
  // How long the log may hold a read until the routing table changes.
  Duration routingWait{};
  // For a call to the log, beside the time that it may hold a read.
  Duration logTimeout{};
  std::size_t maxConnections = 0;
  std::size_t queueBound = 0; // requests waiting
  // Between the stop signal and the kill.
  Duration stopGrace{};
  // After the stop signal, for the balancer to notice.
  Duration unreadyGrace{};
  policy::RoleCapacities capacities;
  // The part of engines of one kind that only read prompts; 0 leaves them.
  double promptShare = 0;
  // What it is worth to keep a request's work within the failure domain, as a
  // longer wait.
  Duration farCost{};
  // For which one relay's orders to engines exclude those of others.
  Duration lease{};
  // Of the state charts.
  std::filesystem::path chartsDirectory;
  LogSettings log;
};

// Reads and checks the file whole; the error has one line for each fault.
tl::expected<RelaySettings, SettingsError>
LoadRelaySettings(const std::filesystem::path& aFile);

} // namespace firefly

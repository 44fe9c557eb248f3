#pragma once

// The control processes of a deployment on loopback: the platform's stand-in,
// hosts with a steward and a ledger each, and the settings of one engine that
// the test provides.

#include <memory>
#include <string>
#include <vector>

#include "servers/ledger/ledger_client.h"
#include "tests/process/process_harness.h"

namespace firefly::testing {

class ControlDeployment
{
public:
  // Starts the platform's stand-in and waits until it answers.
  explicit ControlDeployment(std::size_t aHosts, bool aChecksFencing = false);

  // Writes the settings, starts a daemon on the host with that index and waits
  // until it is live. An earlier daemon of the same kind on that host must have
  // ended.
  ChildProcess& StartSteward(std::size_t aHost);
  ChildProcess& StartLedger(std::size_t aHost);

  // Sets fault switches of the platform's stand-in; see platform_faults.h.
  void SetFaults(const std::string& aSwitches);

  // Returns the id of the host, such as "host-0".
  static HostId HostIdOf(std::size_t aHost);

  [[nodiscard]] std::string StewardUrl(std::size_t aHost) const;
  [[nodiscard]] std::uint16_t StewardLinkPort(std::size_t aHost) const;
  [[nodiscard]] std::vector<LedgerAddress> Ledgers() const;
  [[nodiscard]] std::uint16_t EnginePort() const { return mEnginePort; }

  // Whether the host's steward holds the authority.
  bool IsLeader(std::size_t aHost);

  // Returns the body of the steward's /fleet.
  std::string GetFleet(std::size_t aHost);

  BlockingHttp http;

private:
  struct HostPorts
  {
    std::uint16_t stewardLink = FindFreePort();
    std::uint16_t stewardAdmin = FindFreePort();
    std::uint16_t ledgerLink = FindFreePort();
    std::uint16_t ledgerAdmin = FindFreePort();
    std::unique_ptr<ChildProcess> steward;
    std::unique_ptr<ChildProcess> ledger;
  };

  [[nodiscard]] std::string Settings() const;
  [[nodiscard]] std::string HostSettings(std::size_t aHost) const;
  std::unique_ptr<ChildProcess> Start(const std::string& aProgram,
                                      std::size_t aHost);

  bool mChecksFencing;
  TemporaryDirectory mDirectory;
  std::uint16_t mPlatformPort = FindFreePort();
  std::uint16_t mEnginePort = FindFreePort();
  std::vector<HostPorts> mHosts;
  std::unique_ptr<ChildProcess> mPlatform;
};

} // namespace firefly::testing

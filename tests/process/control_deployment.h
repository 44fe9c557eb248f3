#pragma once

// The control side of a deployment on loopback: the platform's stand-in,
// hosts with a steward and a ledger each, and one engine of the test's own.

#include <memory>
#include <string>
#include <vector>

#include "servers/ledger/ledger_client.h"
#include "tests/process/process_harness.h"

namespace firefly::testing {

class ControlDeployment
{
public:
  // Writes the settings and starts the platform's stand-in.
  explicit ControlDeployment(std::size_t aHosts, bool aChecksFencing = false);

  // Starts a daemon of the host with that index; the host's earlier one of
  // that kind must have ended.
  ChildProcess& StartSteward(std::size_t aHost);
  ChildProcess& StartLedger(std::size_t aHost);

  // Sets switches of the platform's stand-in; see platform_faults.h.
  void Control(const std::string& aSwitches);

  // The host's id, such as "host-0".
  static HostId Host(std::size_t aHost);

  [[nodiscard]] std::string StewardUrl(std::size_t aHost) const;
  [[nodiscard]] std::uint16_t StewardLinkPort(std::size_t aHost) const;
  [[nodiscard]] std::vector<LedgerAddress> Ledgers() const;
  [[nodiscard]] std::uint16_t EnginePort() const { return mEnginePort; }

  // Whether the host's steward holds the authority.
  bool Leads(std::size_t aHost);

  // What a steward's /fleet says.
  std::string Fleet(std::size_t aHost);

  BlockingHttp http;

private:
  struct HostPorts
  {
    std::uint16_t stewardLink = FreePort();
    std::uint16_t stewardAdmin = FreePort();
    std::uint16_t ledgerLink = FreePort();
    std::uint16_t ledgerAdmin = FreePort();
    std::unique_ptr<ChildProcess> steward;
    std::unique_ptr<ChildProcess> ledger;
  };

  [[nodiscard]] std::string Settings() const;
  [[nodiscard]] std::string HostSettings(std::size_t aHost) const;
  std::unique_ptr<ChildProcess> Start(const std::string& aProgram,
                                      std::size_t aHost);

  bool mChecksFencing;
  TemporaryDirectory mDirectory;
  std::uint16_t mPlatformPort = FreePort();
  std::uint16_t mEnginePort = FreePort();
  std::vector<HostPorts> mHosts;
  std::unique_ptr<ChildProcess> mPlatform;
};

} // namespace firefly::testing

#pragma once

// Keeps watch over whether this host reaches the backend servers: probes them
// while that is in doubt, sends new connections through peers while it does not
// reach any, and connects directly again soon after it does.

#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/random.h"
#include "policy/reach/server_reach.h"
#include "policy/request_router.h"
#include "servers/http/asio_executor.h"
#include "servers/http1/backend_path.h"
#include "servers/http1/backend_pool.h"
#include "servers/log/log.h"
#include "servers/metrics/metrics.h"
#include "servers/tunnel/tunnel_server.h"

namespace firefly {

// A backend server and where it is.
struct BackendEndpoint
{
  BackendId id;
  BackendAddress address;
};

// The hosts that the monitor knows.
class ReachDirectory
{
public:
  virtual ~ReachDirectory() = default;

  // IP addresses of the live peers.
  [[nodiscard]] virtual const std::vector<std::string>& Peers() const = 0;
  [[nodiscard]] virtual std::vector<BackendEndpoint> Backends() const = 0;
};

class ServerReachMonitor
  : public BackendPath
  , public TunnelPolicy
{
public:
  struct Options
  {
    policy::ServerReach::Options reach{};
    // The port of the peers' tunnels.
    std::uint16_t tunnelPort = 0;
    Duration probeInterval = std::chrono::milliseconds(500);
    Duration probeTimeout = std::chrono::milliseconds(400);
  };

  // All must outlive the monitor.
  ServerReachMonitor(AsioExecutor& aExecutor,
                     Options aOptions,
                     const ReachDirectory& aDirectory,
                     MetricRegistry& aMetrics);
  ~ServerReachMonitor() override;

  // Whether what this host believes of backend servers may come from its own
  // lost links, so that peers must not learn it.
  [[nodiscard]] bool IsInDoubt() const;
  [[nodiscard]] policy::LinkState Link() const;

  // BackendPath:
  [[nodiscard]] bool UsesTunnels() const override;
  std::string PickTunnel() override;
  void OnDirect(const BackendId& aBackend, bool aIsConnected) override;
  void OnBroken() override;
  void OnTunnel(const std::string& aTunnel,
                policy::TunnelOutcome aOutcome) override;

  // TunnelPolicy:
  [[nodiscard]] bool IsPeer(const std::string& aIp) const override;
  [[nodiscard]] bool IsBackend(const std::string& aAddress) const override;
  [[nodiscard]] bool IsCutOff() const override { return UsesTunnels(); }
  void OnDialled(const std::string& aAddress, bool aIsConnected) override;

private:
  class Probe;

  // Starts probes if the reach is in doubt and none are running.
  void ProbeIfInDoubt();
  void LogChange(bool aWasCutOff);

  AsioExecutor& mExecutor;
  Options mOptions;
  const ReachDirectory& mDirectory;
  Log mLog{ "reach" };
  policy::ServerReach mReach;
  Random mRandom;
  Instant mCutOffAt{};
  std::list<std::unique_ptr<Probe>> mProbes;
  Timer mProbeTimer;
  MetricFamily<Gauge>& mCutOff;
  MetricFamily<Counter>& mTunnels;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace firefly

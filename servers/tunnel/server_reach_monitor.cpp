#include "servers/tunnel/server_reach_monitor.h"

#include <algorithm>
#include <utility>

#include <asio/ip/tcp.hpp>

#include "servers/http/socket_address.h"

namespace firefly {

namespace {

using asio::ip::tcp;

// Backend servers that are probed at the same time while the reach is in
// doubt: with those that failed already, enough to tell.
constexpr std::size_t kProbesInDoubt = 3;

const char*
ToString(policy::TunnelOutcome aOutcome)
{
  switch (aOutcome) {
    case policy::TunnelOutcome::kConnected:
      return "connected";
    case policy::TunnelOutcome::kServerUnreachable:
      return "server_unreachable";
    case policy::TunnelOutcome::kRefused:
      return "refused";
    case policy::TunnelOutcome::kPeerUnreachable:
      return "peer_unreachable";
  }
  return "";
}

} // namespace

// A connection that is made only to see whether it can be.
class ServerReachMonitor::Probe
{
public:
  Probe(ServerReachMonitor& aMonitor, BackendEndpoint aBackend)
    : mMonitor(aMonitor)
    , mBackend(std::move(aBackend))
    , mSocket(std::make_shared<tcp::socket>(aMonitor.mExecutor.Context()))
  {
    const auto address = ParseSocketAddress(mBackend.address.Value());
    mTimer = mMonitor.mExecutor.RunAfter(mMonitor.mOptions.probeTimeout,
                                         [this] { End(false); });
    if (!address) {
      return;
    }
    mSocket->async_connect(
      tcp::endpoint(address->Ip(), address->port),
      [this, socket = mSocket, alive = std::weak_ptr<bool>(mAlive)](
        const asio::error_code& aCode) {
        if (!alive.expired()) {
          End(!aCode);
        }
      });
  }
  Probe(const Probe&) = delete;
  Probe& operator=(const Probe&) = delete;
  ~Probe()
  {
    asio::error_code ec;
    mSocket->close(ec);
  }

  [[nodiscard]] bool IsOver() const { return mIsOver; }

private:
  void End(bool aIsConnected)
  {
    if (std::exchange(mIsOver, true)) {
      return;
    }
    mTimer.Cancel();
    // The monitor may destroy this probe.
    mMonitor.mExecutor.Post([monitor = &mMonitor,
                             id = mBackend.id,
                             aIsConnected,
                             alive = std::weak_ptr<bool>(mMonitor.mAlive)] {
      if (!alive.expired()) {
        monitor->OnDirect(id, aIsConnected);
      }
    });
  }

  ServerReachMonitor& mMonitor;
  BackendEndpoint mBackend;
  std::shared_ptr<tcp::socket> mSocket;
  bool mIsOver = false;
  Timer mTimer;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

ServerReachMonitor::ServerReachMonitor(AsioExecutor& aExecutor,
                                       Options aOptions,
                                       const ReachDirectory& aDirectory,
                                       MetricRegistry& aMetrics)
  : mExecutor(aExecutor)
  , mOptions(aOptions)
  , mDirectory(aDirectory)
  , mReach(aOptions.reach)
  , mRandom(aOptions.reach.seed + 1)
  , mCutOff(aMetrics.Gauges(
      { .name = "firefly_relay_cut_off",
        .help = "1 while this host reaches no backend server itself" }))
  , mTunnels(aMetrics.Counters(
      { .name = "firefly_relay_tunnels_total",
        .help = "Connections to backend servers that peers were asked for",
        .labelNames = { "outcome" } }))
{
}

ServerReachMonitor::~ServerReachMonitor() = default;

bool
ServerReachMonitor::IsInDoubt() const
{
  return mReach.IsInDoubt(mExecutor.Now());
}

policy::LinkState
ServerReachMonitor::Link() const
{
  if (mReach.IsCutOff()) {
    return policy::LinkState::kCutOff;
  }
  return IsInDoubt() ? policy::LinkState::kInDoubt : policy::LinkState::kSound;
}

bool
ServerReachMonitor::UsesTunnels() const
{
  return mReach.IsCutOff();
}

std::string
ServerReachMonitor::PickTunnel()
{
  if (!mReach.IsCutOff()) {
    return {};
  }
  const auto peer = mReach.PickPeer(mDirectory.Peers(), mExecutor.Now());
  return peer.Value().empty()
           ? std::string()
           : peer.Value() + ":" + std::to_string(mOptions.tunnelPort);
}

void
ServerReachMonitor::OnDirect(const BackendId& aBackend, bool aIsConnected)
{
  const bool wasCutOff = mReach.IsCutOff();
  const auto now = mExecutor.Now();
  if (aIsConnected) {
    mReach.OnConnected(now);
  } else {
    mReach.OnFailed(aBackend, mDirectory.Backends().size(), now);
  }
  LogChange(wasCutOff);
  ProbeIfInDoubt();
}

void
ServerReachMonitor::OnBroken()
{
  mReach.OnBroken(mExecutor.Now());
  ProbeIfInDoubt();
}

void
ServerReachMonitor::OnTunnel(const std::string& aTunnel,
                             policy::TunnelOutcome aOutcome)
{
  mTunnels.With({ ToString(aOutcome) }).Add();
  const policy::TunnelPeer peer(aTunnel.substr(0, aTunnel.rfind(':')));
  mReach.OnTunnel(peer, aOutcome, mExecutor.Now());
}

bool
ServerReachMonitor::IsPeer(const std::string& aIp) const
{
  return std::ranges::find(mDirectory.Peers(), aIp) != mDirectory.Peers().end();
}

bool
ServerReachMonitor::IsBackend(const std::string& aAddress) const
{
  return std::ranges::any_of(mDirectory.Backends(), [&](const auto& aIt) {
    return aIt.address.Value() == aAddress;
  });
}

void
ServerReachMonitor::OnDialled(const std::string& aAddress, bool aIsConnected)
{
  const auto backends = mDirectory.Backends();
  const auto it = std::ranges::find_if(backends, [&](const auto& aBackend) {
    return aBackend.address.Value() == aAddress;
  });
  if (it != backends.end()) {
    OnDirect(it->id, aIsConnected);
  }
}

void
ServerReachMonitor::ProbeIfInDoubt()
{
  if (mProbeTimer.IsPending() || !IsInDoubt()) {
    return;
  }
  std::erase_if(mProbes, [](const auto& aIt) { return aIt->IsOver(); });
  const auto backends = mDirectory.Backends();
  const auto n = mReach.IsCutOff() ? std::size_t{ 1 } : kProbesInDoubt;
  for (std::size_t i = 0; i < n && !backends.empty(); ++i) {
    mProbes.push_back(
      std::make_unique<Probe>(*this, backends[mRandom.Below(backends.size())]));
  }
  mProbeTimer =
    mExecutor.RunAfter(mOptions.probeInterval, [this] { ProbeIfInDoubt(); });
}

void
ServerReachMonitor::LogChange(bool aWasCutOff)
{
  if (mReach.IsCutOff() == aWasCutOff) {
    return;
  }
  mCutOff.With({}).Set(aWasCutOff ? 0 : 1);
  if (aWasCutOff) {
    mLog.Info("backend servers are reached again",
              { { "after_s",
                  std::to_string(ToSeconds(mExecutor.Now() - mCutOffAt)) } });
    return;
  }
  mCutOffAt = mExecutor.Now();
  mLog.Warning(
    "no backend server is reached from this host; connections go "
    "through other hosts",
    { { "peers", std::to_string(mDirectory.Peers().size()) },
      { "backends", std::to_string(mDirectory.Backends().size()) } });
}

} // namespace firefly

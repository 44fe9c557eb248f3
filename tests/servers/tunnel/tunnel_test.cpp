// Tests connections to backend servers through other hosts, on loopback.

#include "servers/tunnel/tunnel_server.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "servers/http1/backend_path.h"
#include "servers/http1/backend_pool.h"
#include "servers/tunnel/server_reach_monitor.h"
#include "tests/helpers/raw_tcp_client.h"
#include "tests/helpers/run_until.h"
#include "tests/helpers/scripted_backend.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::AsioExecutor;
using firefly::BackendAddress;
using firefly::BackendCall;
using firefly::BackendCallFault;
using firefly::BackendCallObserver;
using firefly::BackendEndpoint;
using firefly::BackendId;
using firefly::BackendPath;
using firefly::BackendPool;
using firefly::MessageHead;
using firefly::MetricRegistry;
using firefly::ReachDirectory;
using firefly::RequestId;
using firefly::ResponseMatch;
using firefly::ServerReachMonitor;
using firefly::TunnelPolicy;
using firefly::TunnelServer;
using firefly::policy::TunnelOutcome;
using firefly::testing::AfterReply;
using firefly::testing::RawTcpClient;
using firefly::testing::RunUntil;
using firefly::testing::ScriptedBackend;
using firefly::testing::ScriptedReply;
using firefly::testing::ScriptedRequest;

namespace {

class RecordingObserver : public BackendCallObserver
{
public:
  ResponseMatch MatchResponse(const MessageHead& /*aHead*/) override
  {
    return ResponseMatch::kThisCall;
  }
  void OnHead(const MessageHead& /*aHead*/) override {}
  void OnBody(std::string aBytes) override { body += aBytes; }
  void OnEnd() override { ended = true; }
  void OnFault(BackendCallFault aFault) override { fault = aFault; }

  std::string body;
  bool ended = false;
  std::optional<BackendCallFault> fault;
};

class FakePolicy : public TunnelPolicy
{
public:
  [[nodiscard]] bool IsPeer(const std::string& /*aIp*/) const override
  {
    return isPeer;
  }
  [[nodiscard]] bool IsBackend(const std::string& /*aAddress*/) const override
  {
    return isBackend;
  }
  [[nodiscard]] bool IsCutOff() const override { return isCutOff; }
  void OnDialled(const std::string& /*aAddress*/, bool aIsConnected) override
  {
    dialled += aIsConnected ? 1 : 0;
  }

  bool isPeer = true;
  bool isBackend = true;
  bool isCutOff = false;
  int dialled = 0;
};

// Offers these tunnels, one after the other.
class FakePath : public BackendPath
{
public:
  [[nodiscard]] bool UsesTunnels() const override { return usesTunnels; }
  std::string PickTunnel() override
  {
    return usesTunnels && next < tunnels.size() ? tunnels[next++] : "";
  }
  void OnDirect(const BackendId& /*aBackend*/, bool /*aIsConnected*/) override
  {
    direct++;
  }
  void OnBroken() override { broken++; }
  void OnTunnel(const std::string& /*aTunnel*/, TunnelOutcome aOutcome) override
  {
    outcomes.push_back(aOutcome);
  }

  bool usesTunnels = true;
  std::vector<std::string> tunnels;
  std::size_t next = 0;
  int direct = 0;
  int broken = 0;
  std::vector<TunnelOutcome> outcomes;
};

class FakeDirectory : public ReachDirectory
{
public:
  [[nodiscard]] const std::vector<std::string>& Peers() const override
  {
    return peers;
  }
  [[nodiscard]] std::vector<BackendEndpoint> Backends() const override
  {
    return backends;
  }

  std::vector<std::string> peers;
  std::vector<BackendEndpoint> backends;
};

ScriptedReply
Answer(const ScriptedRequest& aRequest)
{
  const auto& target = aRequest.head.target;
  if (target == "/hang") {
    return {};
  }
  if (target == "/until-close") {
    return { .bytes = "HTTP/1.1 200 OK\r\n\r\nall of it",
             .after = AfterReply::kClose };
  }
  if (target == "/reset") {
    return { .bytes = "HTTP/1.1 200 OK\r\n\r\nnot all",
             .after = AfterReply::kReset };
  }
  return { .bytes = "HTTP/1.1 200 OK\r\nContent-Length: " +
                    std::to_string(target.size()) + "\r\n\r\n" + target };
}

} // namespace

TEST_GROUP(TunnelTest)
{
  AsioExecutor executor;
  ScriptedBackend backend{ executor, Answer };
  FakePolicy policy;
  TunnelServer tunnels{ executor, {}, policy };
  FakePath path;
  BackendPool pool{ executor, { .path = &path } };
  RecordingObserver observer;
  std::unique_ptr<BackendCall> call;

  void setup() override
  {
    CHECK_TRUE(tunnels.Start().has_value());
    path.tunnels = { Tunnel(), Tunnel() };
  }

  std::string Tunnel() const
  {
    return "127.0.0.1:" + std::to_string(tunnels.Port());
  }

  void Start(const std::string& aTarget, bool aMayUseTunnel = true)
  {
    call =
      pool.Start({ .backend = BackendId("b1"),
                   .address = BackendAddress(backend.Address()),
                   .request = RequestId(aTarget),
                   .bytes = "GET " + aTarget + " HTTP/1.1\r\nHost: h\r\n\r\n",
                   .mayUseTunnel = aMayUseTunnel },
                 observer);
  }

  void Await(const std::function<bool()>& aCondition)
  {
    CHECK_TRUE(RunUntil(executor, aCondition, std::chrono::seconds(3)));
  }

  std::string StatusFor(const std::string& aRequest)
  {
    RawTcpClient client(executor, tunnels.Port());
    client.Send(aRequest);
    Await([&] { return client.Received().size() >= 12 || client.IsClosed(); });
    return client.Received().substr(0, 12);
  }
};

TEST(TunnelTest, ARequestRunsOnceThroughAPeer)
{
  Start("/1");
  Await([&] { return observer.ended; });
  STRCMP_EQUAL("/1", observer.body.c_str());
  LONGS_EQUAL(1, backend.Requests().size());
  LONGS_EQUAL(0, path.direct);
  LONGS_EQUAL(1, policy.dialled);
}

// Guards against answers that look complete though the server broke them off,
// and against ones that look broken off though they are complete.
TEST(TunnelTest, TheEndOfAConnectionReachesTheOtherSideAsItWas)
{
  Start("/until-close");
  Await([&] { return observer.ended || observer.fault; });
  CHECK_TRUE(observer.ended);
  STRCMP_EQUAL("all of it", observer.body.c_str());
  observer = {};
  Start("/reset");
  Await([&] { return observer.ended || observer.fault; });
  CHECK_TRUE(observer.fault == BackendCallFault::kConnectionLost);
  LONGS_EQUAL(0, path.broken);
}

// Guards against servers that go on working for callers who have left.
TEST(TunnelTest, ACancelledCallEndsItsTunnel)
{
  Start("/hang");
  Await([&] { return backend.Requests().size() == 1; });
  LONGS_EQUAL(1, tunnels.TunnelCount());
  call.reset();
  Await([&] { return tunnels.TunnelCount() == 0; });
}

// Guards against clients that use the hosts as a proxy.
TEST(TunnelTest, OnlyPeersGetTunnelsAndOnlyToBackendServers)
{
  const auto connect = "CONNECT " + backend.Address() + " HTTP/1.1\r\n\r\n";
  policy.isPeer = false;
  STRCMP_EQUAL("HTTP/1.1 403", StatusFor(connect).c_str());
  // Before they have sent anything.
  STRCMP_EQUAL("HTTP/1.1 403", StatusFor("").c_str());
  policy.isPeer = true;
  policy.isBackend = false;
  STRCMP_EQUAL("HTTP/1.1 403", StatusFor(connect).c_str());
  policy.isBackend = true;
  STRCMP_EQUAL("HTTP/1.1 403", StatusFor("GET / HTTP/1.1\r\n\r\n").c_str());
  STRCMP_EQUAL("HTTP/1.1 200", StatusFor(connect).c_str());
}

// Guards against loops and against requests that a second way runs again.
TEST(TunnelTest, APeerThatIsCutOffIsSkippedAndTheRequestRunsOnce)
{
  FakePolicy cutOff;
  cutOff.isCutOff = true;
  TunnelServer other(executor, {}, cutOff);
  CHECK_TRUE(other.Start().has_value());
  path.tunnels = { "127.0.0.1:" + std::to_string(other.Port()), Tunnel() };
  Start("/1");
  Await([&] { return observer.ended; });
  LONGS_EQUAL(1, backend.Requests().size());
  LONGS_EQUAL(2, path.outcomes.size());
  CHECK_TRUE(path.outcomes[0] == TunnelOutcome::kRefused);
  CHECK_TRUE(path.outcomes[1] == TunnelOutcome::kConnected);
  LONGS_EQUAL(0, cutOff.dialled);
}

TEST(TunnelTest, ACallThatNoPeerCanConnectHasNotBeenSent)
{
  const auto address = backend.Address();
  policy.isCutOff = true;
  Start("/1");
  Await([&] { return observer.fault.has_value(); });
  CHECK_TRUE(observer.fault == BackendCallFault::kNotSent);
  LONGS_EQUAL(0, backend.Requests().size());
}

// Guards against orders that reach a server from the address of another host.
TEST(TunnelTest, OrdersUseNoTunnel)
{
  Start("/1", false);
  Await([&] { return observer.ended; });
  LONGS_EQUAL(0, path.next);
  LONGS_EQUAL(0, policy.dialled);
  // Nor one that is left open by a request.
  observer = {};
  Start("/2");
  Await([&] { return observer.ended; });
  observer = {};
  Start("/3", false);
  Await([&] { return observer.ended; });
  LONGS_EQUAL(1, policy.dialled);
}

// Guards against a host that takes the way through peers on after the heal.
TEST(TunnelTest, TunnelsAreNotReusedOnceTheHostConnectsDirectly)
{
  Start("/1");
  Await([&] { return observer.ended; });
  path.usesTunnels = false;
  observer = {};
  Start("/2");
  Await([&] { return observer.ended; });
  LONGS_EQUAL(1, path.direct);
  Await([&] { return tunnels.TunnelCount() == 0; });
}

// Guards against requests that are cut when the host they go through stops.
TEST(TunnelTest, AHostThatStopsOpensNoTunnelsAndKeepsThoseItHas)
{
  Start("/1");
  Await([&] { return observer.ended; });
  tunnels.Close();
  observer = {};
  Start("/2");
  Await([&] { return observer.ended; });
  const auto connect = "CONNECT " + backend.Address() + " HTTP/1.1\r\n\r\n";
  STRCMP_EQUAL("HTTP/1.1 503", StatusFor(connect).c_str());
}

// Guards against a tunnel count that grows without bound.
TEST(TunnelTest, RefusesTunnelsBeyondTheMaximum)
{
  TunnelServer small(executor, { .maxTunnels = 1 }, policy);
  CHECK_TRUE(small.Start().has_value());
  const auto connect = "CONNECT " + backend.Address() + " HTTP/1.1\r\n\r\n";
  RawTcpClient first(executor, small.Port());
  first.Send(connect);
  Await([&] { return first.HasReceived("200"); });
  RawTcpClient second(executor, small.Port());
  second.Send(connect);
  Await([&] { return second.HasReceived("503"); });
}

// Guards against a host that notices neither the cut nor its end.
TEST(TunnelTest, AHostNoticesThatItIsCutOffAndComesBackSoonAfter)
{
  MetricRegistry registry;
  FakeDirectory directory;
  // Nothing listens there.
  for (const auto* it : { "127.0.2.1:9", "127.0.2.2:9", "127.0.2.3:9" }) {
    directory.backends.push_back({ BackendId(it), BackendAddress(it) });
  }
  directory.peers = { "127.0.0.1" };
  ServerReachMonitor monitor(
    executor, { .tunnelPort = tunnels.Port() }, directory, registry);
  BackendPool cutOff(executor, { .path = &monitor });
  call = cutOff.Start({ .backend = BackendId("127.0.2.1:9"),
                        .address = BackendAddress("127.0.2.1:9"),
                        .request = RequestId("r"),
                        .bytes = "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
                        .mayUseTunnel = true },
                      observer);
  Await([&] { return monitor.UsesTunnels(); });
  CHECK_TRUE(monitor.IsInDoubt());
  STRCMP_EQUAL(Tunnel().c_str(), monitor.PickTunnel().c_str());
  CHECK_TRUE(monitor.IsPeer("127.0.0.1"));
  CHECK_FALSE(monitor.IsPeer("127.0.0.2"));
  for (auto& it : directory.backends) {
    it.address = BackendAddress(backend.Address());
  }
  CHECK_TRUE(monitor.IsBackend(backend.Address()));
  CHECK_FALSE(monitor.IsBackend("127.0.2.1:9"));
  Await([&] { return !monitor.UsesTunnels(); });
  CHECK_TRUE(monitor.PickTunnel().empty());
}

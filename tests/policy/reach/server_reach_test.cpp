// Tests when a host takes itself for cut off from the backend servers, and
// which peers it asks then.

#include "policy/reach/server_reach.h"

#include <map>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::BackendId;
using firefly::Instant;
using firefly::policy::ServerReach;
using firefly::policy::TunnelOutcome;
using firefly::policy::TunnelPeer;

TEST_GROUP(ServerReachTest)
{
  static constexpr std::size_t kServers = 12;
  ServerReach reach{ {} };
  Instant now = Instant{} + 10s;
  std::vector<std::string> peers{ "p1", "p2", "p3", "p4", "p5", "p6" };

  void Fail(const std::string& aBackend, std::size_t aServers = kServers)
  {
    reach.OnFailed(BackendId(aBackend), aServers, now);
  }

  void CutOff()
  {
    Fail("a");
    Fail("b");
    Fail("c");
    CHECK_TRUE(reach.IsCutOff());
  }
};

TEST(ServerReachTest, IsCutOffOnceSeveralServersFailAndNoneAnswers)
{
  CHECK_FALSE(reach.IsInDoubt(now));
  Fail("a");
  Fail("b");
  CHECK_FALSE(reach.IsCutOff());
  CHECK_TRUE(reach.IsInDoubt(now));
  Fail("c");
  CHECK_TRUE(reach.IsCutOff());
}

// Guards against hosts that leave their own link because some servers are down.
TEST(ServerReachTest, IsNotCutOffWhileOneServerFailsOrAnotherAnswers)
{
  for (int i = 0; i < 20; ++i) {
    Fail("a");
  }
  CHECK_FALSE(reach.IsCutOff());
  for (int i = 0; i < 20; ++i) {
    Fail("a");
    Fail("b");
    reach.OnConnected(now);
  }
  CHECK_FALSE(reach.IsCutOff());
}

// Guards against failures hours apart that add up to a cut.
TEST(ServerReachTest, ForgetsOldFailures)
{
  Fail("a");
  now += 3s;
  CHECK_FALSE(reach.IsInDoubt(now));
  Fail("b");
  now += 3s;
  Fail("c");
  CHECK_FALSE(reach.IsCutOff());
}

TEST(ServerReachTest, IsCutOffWhenAllOfFewServersFail)
{
  Fail("a", 2);
  CHECK_FALSE(reach.IsCutOff());
  Fail("b", 2);
  CHECK_TRUE(reach.IsCutOff());
}

// Guards against a host that returns to a link on which one packet got through.
TEST(ServerReachTest, ReturnsAfterTwoConnectionsInARow)
{
  CutOff();
  reach.OnConnected(now);
  Fail("d");
  reach.OnConnected(now);
  CHECK_TRUE(reach.IsCutOff());
  reach.OnConnected(now);
  CHECK_FALSE(reach.IsCutOff());
  CHECK_FALSE(reach.IsInDoubt(now));
}

// Guards against hosts that ask peers which are cut off too, again and again.
TEST(ServerReachTest, AsksOtherPeersAfterOneThatCannotHelp)
{
  CutOff();
  std::set<std::string> asked;
  for (std::size_t i = 0; i < peers.size(); ++i) {
    const auto peer = reach.PickPeer(peers, now);
    CHECK_TRUE(asked.insert(peer.Value()).second);
    reach.OnTunnel(peer, TunnelOutcome::kRefused, now);
  }
  CHECK_TRUE(reach.PickPeer(peers, now).Value().empty());
  now += 1s;
  CHECK_FALSE(reach.PickPeer(peers, now).Value().empty());
}

// Guards against a backend server that is down being held against the peer.
TEST(ServerReachTest, GoesOnWithAPeerThatDoesNotReachOneServer)
{
  CutOff();
  const TunnelPeer peer("p1");
  reach.OnTunnel(peer, TunnelOutcome::kServerUnreachable, now);
  LONGS_EQUAL(
    1,
    std::set<std::string>{ reach.PickPeer({ "p1" }, now).Value() }.count("p1"));
}

// Guards against dozens of hosts that all send through the same peers.
TEST(ServerReachTest, HostsThatAreCutOffTogetherPickDifferentPeers)
{
  constexpr int kHosts = 60;
  constexpr int kPicks = 20;
  std::map<std::string, int> picked;
  std::vector<std::string> all;
  all.reserve(30);
  for (int i = 0; i < 30; ++i) {
    all.push_back("p" + std::to_string(i));
  }
  for (std::uint64_t seed = 1; seed <= kHosts; ++seed) {
    ServerReach host({ .seed = seed });
    for (int i = 0; i < kPicks; ++i) {
      const auto peer = host.PickPeer(all, now);
      host.OnTunnel(peer, TunnelOutcome::kConnected, now);
      picked[peer.Value()]++;
    }
  }
  for (const auto& [peer, n] : picked) {
    CHECK_TRUE(n <= 4 * kHosts * kPicks / 30);
  }
}

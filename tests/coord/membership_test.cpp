// Membership on a virtual network, small and at the target's size.

#include <cstdio>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "coord/membership.h"
#include "coord/testing/fake_process.h"
#include "core/random.h"
#include "tests/coord/fault_injector.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;

namespace firefly::coord {

namespace {

constexpr std::uint64_t kFirstLife = 5;

PeerAddress
AddressOf(int aIndex)
{
  return PeerAddress("10.0." + std::to_string(aIndex / 250) + "." +
                     std::to_string(aIndex % 250) + ":7400");
}

class Network;

struct Node : public GossipTransport
{
  Node(Network& aNetwork,
       int aIndex,
       std::uint64_t aIncarnation,
       bool aOutbids = false);
  void Send(const PeerAddress& aPeer, std::string aBytes) override;

  Network& network;
  PeerAddress address;
  FakeProcess process;
  Membership membership;
};

// Delivers datagrams after a few milliseconds, unless they are lost or cut.
class Network
{
public:
  explicit Network(int aSize, std::uint64_t aSeed = 1)
    : mRandom(aSeed)
  {
    for (int n = 0; n < aSize; ++n) {
      nodes.push_back(std::make_unique<Node>(*this, n, kFirstLife));
    }
    for (const auto& it : nodes) {
      it->membership.SetSeeds({ AddressOf(0), AddressOf(1) });
      it->membership.Start();
    }
  }

  void Deliver(const PeerAddress& aFrom,
               const PeerAddress& aTo,
               std::string aBytes)
  {
    if (mRandom.Chance(loss) || cut.contains(aFrom) != cut.contains(aTo)) {
      return;
    }
    auto timer = std::make_shared<Timer>();
    *timer = executor.RunAfter(FromSeconds(0.003 * mRandom.Uniform()),
                               [this, timer, aTo, bytes = std::move(aBytes)] {
                                 for (const auto& it : nodes) {
                                   if (it->address == aTo) {
                                     it->process.Post([node = it.get(), bytes] {
                                       node->membership.OnMessage(bytes);
                                     });
                                   }
                                 }
                               });
  }

  // Kills a node and starts another one at its address.
  void Restart(int aIndex, std::uint64_t aIncarnation, bool aOutbids)
  {
    const auto n = static_cast<std::size_t>(aIndex);
    nodes[n]->process.Kill();
    dead.push_back(std::move(nodes[n]));
    nodes[n] = std::make_unique<Node>(*this, aIndex, aIncarnation, aOutbids);
    nodes[n]->membership.SetSeeds({ AddressOf(0) });
    nodes[n]->membership.Start();
  }

  // How many nodes hold the subject for that.
  int Seen(int aSubject, MemberStatus aStatus) const
  {
    int seen = 0;
    for (const auto& it : nodes) {
      const auto* member = it->membership.Find(AddressOf(aSubject));
      seen += member != nullptr && member->status == aStatus ? 1 : 0;
    }
    return seen;
  }

  // Whether all nodes count that many live members.
  bool AllCount(std::size_t aLive) const
  {
    for (const auto& it : nodes) {
      if (it->membership.LiveCount() != aLive) {
        return false;
      }
    }
    return true;
  }

  VirtualExecutor executor;
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<std::unique_ptr<Node>> dead;
  std::set<PeerAddress> cut; // the minority's side
  double loss = 0;

private:
  Random mRandom;
};

Node::Node(Network& aNetwork,
           int aIndex,
           std::uint64_t aIncarnation,
           bool aOutbids)
  : network(aNetwork)
  , address(AddressOf(aIndex))
  , process(aNetwork.executor)
  , membership({ .address = address,
                 .host = HostId("host-" + std::to_string(aIndex)),
                 .domain = DomainId("yard-" + std::to_string(aIndex % 3)),
                 .role = "entry",
                 .incarnation = Incarnation(aIncarnation),
                 .seed = 1000 * aIncarnation + aIndex,
                 .outbidsFormerLife = aOutbids },
               process,
               *this,
               nullptr)
{
}

void
Node::Send(const PeerAddress& aPeer, std::string aBytes)
{
  network.Deliver(address, aPeer, std::move(aBytes));
}

} // namespace

TEST_GROUP(MembershipTest){};

TEST(MembershipTest, NineFindEachOtherAndADeadOne)
{
  Network network(9);
  network.executor.RunFor(10s);
  CHECK_TRUE(network.AllCount(9));
  network.nodes[4]->process.Pause();
  network.executor.RunFor(10s);
  LONGS_EQUAL(8, network.Seen(4, MemberStatus::kDead));
  // Silence settles nothing.
  CHECK_FALSE(network.nodes[0]->membership.Settled(AddressOf(4),
                                                   Incarnation(kFirstLife)));
  network.nodes[4]->process.Resume();
  network.executor.RunFor(10s);
  CHECK_TRUE(network.AllCount(9));
}

TEST(MembershipTest, PauseWithinTheSuspicionIsNoDeath)
{
  Network network(9);
  network.executor.RunFor(10s);
  network.nodes[4]->process.Pause();
  int dead = 0;
  int suspected = 0;
  for (int n = 0; n < 60; ++n) {
    if (n == 30) {
      network.nodes[4]->process.Resume();
    }
    network.executor.RunFor(100ms);
    dead += network.Seen(4, MemberStatus::kDead);
    suspected += network.Seen(4, MemberStatus::kSuspect);
  }
  LONGS_EQUAL(0, dead);
  CHECK_TRUE(suspected > 0);
  network.executor.RunFor(5s);
  CHECK_TRUE(network.AllCount(9));
}

TEST(MembershipTest, HalvesThatTookEachOtherForDeadMeetAgain)
{
  Network network(6);
  network.executor.RunFor(10s);
  network.cut = { AddressOf(0), AddressOf(2), AddressOf(4) };
  network.executor.RunFor(30s);
  CHECK_TRUE(network.AllCount(3));
  network.cut.clear();
  network.executor.RunFor(10s);
  CHECK_TRUE(network.AllCount(6));
}

TEST(MembershipTest, SuccessorAtTheAddressSettlesTheDeadOne)
{
  Network network(5);
  network.executor.RunFor(10s);
  network.Restart(2, kFirstLife + 1, false);
  network.executor.RunFor(5s);
  for (const auto& it : network.nodes) {
    CHECK_TRUE(it->membership.Settled(AddressOf(2), Incarnation(kFirstLife)));
    CHECK_FALSE(
      it->membership.Settled(AddressOf(2), Incarnation(kFirstLife + 1)));
  }
}

TEST(MembershipTest, ASuccessorWhoseClockWentBackIsHeard)
{
  Network network(5);
  network.executor.RunFor(10s);
  network.Restart(2, kFirstLife - 1, true);
  network.nodes[2]->membership.SetDigest("of the second life");
  network.executor.RunFor(5s);
  for (const auto& it : network.nodes) {
    const auto* member = it->membership.Find(AddressOf(2));
    CHECK_TRUE(member != nullptr);
    STRCMP_EQUAL("of the second life", member->digest.c_str());
    CHECK_TRUE(member->incarnation > Incarnation(kFirstLife));
  }
  CHECK_TRUE(network.AllCount(5));
}

TEST(MembershipTest, ASuccessorOfADeadOneWhoseClockWentBackIsHeard)
{
  Network network(5);
  network.executor.RunFor(10s);
  network.nodes[2]->process.Kill();
  network.executor.RunFor(20s);
  LONGS_EQUAL(4, network.Seen(2, MemberStatus::kDead));
  network.Restart(2, kFirstLife - 1, true);
  network.executor.RunFor(5s);
  CHECK_TRUE(network.AllCount(5));
}

TEST(MembershipTest, LeavingIsFinalForThatLife)
{
  Network network(5);
  network.executor.RunFor(10s);
  network.nodes[3]->membership.Leave();
  network.executor.RunFor(3s);
  LONGS_EQUAL(5, network.Seen(3, MemberStatus::kLeft));
  CHECK_TRUE(network.nodes[0]->membership.Settled(AddressOf(3),
                                                  Incarnation(kFirstLife)));
}

TEST(MembershipTest, DigestSpreadsAndTooLongAOneIsRefused)
{
  Network network(9);
  network.executor.RunFor(10s);
  CHECK_TRUE(network.nodes[0]->membership.SetDigest("load 7"));
  CHECK_FALSE(network.nodes[0]->membership.SetDigest(std::string(10000, 'x')));
  network.executor.RunFor(3s);
  for (const auto& it : network.nodes) {
    STRCMP_EQUAL("load 7", it->membership.Find(AddressOf(0))->digest.c_str());
  }
}

// Losses and pauses shorter than the suspicion never make a death final.
TEST(MembershipTest, SchedulesOfLossAndPartitionHeal)
{
  constexpr int kSchedules = 1000;
  constexpr int kNodes = 5;
  const int failed =
    CountSchedules("membership", kSchedules, [&](std::uint64_t aSeed) {
      Network network(kNodes, aSeed);
      Random random(aSeed);
      network.executor.RunFor(5s);
      network.loss = 0.3 * random.Uniform();
      network.cut.insert(AddressOf(static_cast<int>(random.Below(kNodes))));
      auto& paused = *network.nodes[random.Below(kNodes)];
      paused.process.Pause();
      network.executor.RunFor(FromSeconds(15 * random.Uniform()));
      network.loss = 0;
      network.cut.clear();
      paused.process.Resume();
      network.executor.RunFor(15s);
      return !network.AllCount(kNodes);
    });
  LONGS_EQUAL(0, failed);
}

TEST(MembershipTest, CostAt370)
{
  constexpr int kNodes = 370;
  constexpr double kMostBytesPerSecond = 24.0 * 1024;
  constexpr int kSeconds = 15;
  // A death is known to all before an edit of the table has to be in force.
  constexpr int kMostDetectionSeconds = 12;
  constexpr std::size_t kDigestBytes = 60;
  const WithoutLeakCheck fast;
  Network network(kNodes);
  int start = 0;
  while (!network.AllCount(kNodes) && start < 60) {
    network.executor.RunFor(1s);
    ++start;
  }
  std::printf("370 members started at once: all known to all after %d s\n",
              start);
  CHECK_TRUE(network.AllCount(kNodes));
  std::uint64_t before = 0;
  for (const auto& it : network.nodes) {
    before += it->membership.BytesSent() + it->membership.BytesReceived();
  }
  for (int second = 0; second < kSeconds; ++second) {
    for (const auto& it : network.nodes) {
      it->membership.SetDigest(
        std::string(kDigestBytes, static_cast<char>('a' + second % 26)));
    }
    network.executor.RunFor(1s);
  }
  std::uint64_t after = 0;
  Duration age{};
  for (const auto& it : network.nodes) {
    after += it->membership.BytesSent() + it->membership.BytesReceived();
    for (const auto& member : it->membership.Members()) {
      age += network.executor.Now() - member.updated;
    }
  }
  network.nodes[7]->process.Kill();
  int detection = 0;
  while (network.Seen(7, MemberStatus::kDead) < kNodes - 1 && detection < 60) {
    network.executor.RunFor(1s);
    ++detection;
  }
  const double bytes = static_cast<double>(after - before) / kNodes / kSeconds;
  std::printf("370 members, each with a new %zu-byte digest a second: "
              "%.0f bytes/s sent and received by each, digests %.1f s old on "
              "average, death known to all after %d s\n",
              kDigestBytes,
              bytes,
              ToSeconds(age) / kNodes / kNodes,
              detection);
  CHECK_TRUE(bytes <= kMostBytesPerSecond);
  CHECK_TRUE(detection <= kMostDetectionSeconds);
}

} // namespace firefly::coord

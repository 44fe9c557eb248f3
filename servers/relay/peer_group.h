#pragma once

// The other relays: who lives, and what each tells of its outstanding work, so
// that all of them place requests as one.

#include <functional>
#include <string>
#include <vector>

#include "coord/membership.h"
#include "policy/request_router.h"
#include "servers/gossip/gossip_socket.h"
#include "servers/log/log.h"

namespace firefly {

class PeerGroup : private coord::MembershipObserver
{
public:
  struct Options
  {
    HostId host;
    DomainId domain;
    std::string address;    // an IP number
    std::uint16_t port = 0; // UDP, the same on all hosts
    // IP numbers of some other relays; they may be down.
    std::vector<std::string> seeds;
    Incarnation incarnation;
    Duration interval = std::chrono::milliseconds(100);
    std::uint64_t seed = 1;
  };

  // Hears which version of the routing table another relay has, and its IP
  // number.
  using RoutingHandler =
    std::function<void(std::uint64_t aVersion, const std::string& aHost)>;
  // Hears how many other relays live.
  using LiveHandler = std::function<void(std::size_t aOthers)>;

  // The router must outlive the group.
  PeerGroup(Options aOptions,
            AsioExecutor& aExecutor,
            policy::RequestRouter& aRouter,
            RoutingHandler aOnRouting,
            LiveHandler aOnLive);

  // Opens the UDP port and begins to tell.
  tl::expected<void, GossipError> Start();

  // What the others are told of this relay.
  void SetRouting(std::uint64_t aVersion) { mRouting = aVersion; }

  // Tells a few others that this relay leaves.
  void Leave() { mMembership.Leave(); }

  // How many live relays have a smaller id than this one.
  [[nodiscard]] std::size_t Rank() const;

  // The IP numbers of the other live relays.
  [[nodiscard]] const std::vector<std::string>& Others() const
  {
    return mOthers;
  }

  // The IP numbers of the live relays that are told of each prompt: a bounded
  // number of them, those of the own failure domain first.
  [[nodiscard]] const std::vector<std::string>& Confidants() const
  {
    return mConfidants;
  }

private:
  void OnMember(const coord::Member& aMember) override;
  void OnDigest(const coord::Member& aMember) override;
  void Tell();
  void ListOthers();

  Options mOptions;
  AsioExecutor& mExecutor;
  policy::RequestRouter& mRouter;
  GossipSocket mSocket;
  coord::Membership mMembership;
  RoutingHandler mOnRouting;
  LiveHandler mOnLive;
  Log mLog{ "peers" };
  std::vector<std::string> mOthers;
  std::vector<std::string> mConfidants;
  std::uint64_t mRouting = 0;
  Timer mTimer;
};

} // namespace firefly

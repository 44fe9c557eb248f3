#pragma once

// Tracks which other relays are alive and exchanges digests of outstanding work
// with them, so that each relay places requests with regard to the others'
// load.

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "coord/membership.h"
#include "core/random.h"
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
    std::string address;    // an IP address
    std::uint16_t port = 0; // UDP, the same on all hosts
    // IP addresses of some other relays; they may be down.
    std::vector<std::string> seeds;
    Incarnation incarnation;
    Duration interval = std::chrono::milliseconds(100);
    std::uint64_t seed = 1;
  };

  // Receives the version of another relay's routing table and the IP address
  // of that relay.
  using RoutingHandler =
    std::function<void(std::uint64_t aVersion, const std::string& aHost)>;
  // Receives the number of other live relays.
  using PeerCountHandler = std::function<void(std::size_t aOthers)>;

  // The router must outlive the group.
  PeerGroup(Options aOptions,
            AsioExecutor& aExecutor,
            policy::RequestRouter& aRouter,
            RoutingHandler aOnRouting,
            PeerCountHandler aOnPeerCount);

  // Opens the UDP port and starts publishing digests.
  tl::expected<void, GossipError> Start();

  // Sets the routing table version that is announced to the other relays.
  void SetRouting(std::uint64_t aVersion) { mRouting = aVersion; }

  // Announces to a few other relays that this one is leaving.
  void Leave() { mMembership.Leave(); }

  // Returns the number of live relays with a smaller host id than this one.
  [[nodiscard]] std::size_t Rank() const;

  // The live relays including this one, by increasing host id.
  [[nodiscard]] std::vector<HostId> LiveHosts() const;

  // IP addresses of those of the hosts that are live relays.
  [[nodiscard]] std::vector<std::string> AddressesOf(
    const std::vector<HostId>& aHosts) const;

  // IP addresses of the other live relays.
  [[nodiscard]] const std::vector<std::string>& PeerAddresses() const
  {
    return mPeerAddresses;
  }

  // IP addresses of the other live relays in the same failure domain.
  [[nodiscard]] const std::vector<std::string>& DomainPeerAddresses() const
  {
    return mDomainPeerAddresses;
  }

  // The number of other failure domains that have live relays.
  [[nodiscard]] std::size_t FarDomainCount() const
  {
    return mFarPeerAddresses.size();
  }

  // Picks up to aCount other live relays; returns their IP addresses.
  [[nodiscard]] std::vector<std::string> PickPeers(std::size_t aCount);

  // The same, in the same failure domain.
  [[nodiscard]] std::vector<std::string> PickDomainPeers(std::size_t aCount);

  // Picks one live relay in each other failure domain, which forwards a message
  // to the others there, so that one copy crosses to each domain.
  [[nodiscard]] std::vector<std::string> PickForwarders();

private:
  void OnMember(const coord::Member& aMember) override;
  void OnDigest(const coord::Member& aMember) override;
  void PublishDigest();
  std::vector<std::string> Pick(std::vector<std::string> aFrom,
                                std::size_t aCount);
  void UpdatePeerLists();

  Options mOptions;
  AsioExecutor& mExecutor;
  policy::RequestRouter& mRouter;
  GossipSocket mSocket;
  coord::Membership mMembership;
  RoutingHandler mOnRouting;
  PeerCountHandler mOnPeerCount;
  Log mLog{ "peers" };
  std::vector<std::string> mPeerAddresses;
  std::vector<std::string> mDomainPeerAddresses;
  // By failure domain, without this relay's own.
  std::map<DomainId, std::vector<std::string>> mFarPeerAddresses;
  Random mRandom;
  std::uint64_t mRouting = 0;
  Timer mTimer;
};

} // namespace firefly

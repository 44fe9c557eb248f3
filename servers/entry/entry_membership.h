#pragma once

// Takes part in the membership of entries: exchanges UDP heartbeats with the
// peers, and digests of their work and their table versions.

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "coord/membership.h"
#include "servers/entry/dispatcher.h"
#include "servers/gossip/gossip_socket.h"
#include "servers/gossip/member_digest.h"
#include "servers/table/table_admin.h"

namespace firefly {

class EntryMembership
  : public TableMembersView
  , private coord::MembershipObserver
{
public:
  struct Options
  {
    const Settings* settings = nullptr;
    Incarnation incarnation;
    Duration digestInterval = std::chrono::milliseconds(250);
    std::uint64_t seed = 1;
  };

  // Callbacks for news from the peers.
  struct Handlers
  {
    // A live peer's digest named the version of its table.
    std::function<void(const HostId&, TableVersion)> onPeerTableVersion;
    // A member changed; receives the live entries, including this one.
    std::function<void(const std::vector<HostId>&)> onLiveEntries;
  };

  EntryMembership(const Options& aOptions,
                  AsioExecutor& aExecutor,
                  policy::RequestRouter& aRouter,
                  Handlers aHandlers);

  // Opens the UDP port and starts sending.
  tl::expected<void, GossipError> Start();

  // Sets additional seed addresses, from the platform's host list.
  void SetSeeds(const std::vector<coord::PeerAddress>& aSeeds);

  // Set the values in the digest that is sent to the peers.
  void SetTableVersion(TableVersion aVersion) { mTableVersion = aVersion; }
  void SetReady(bool aIsReady) { mIsReady = aIsReady; }

  // Tells the peers that this entry leaves. Call it several times, since
  // datagrams get lost.
  void Leave() { mMembership.Leave(); }

  [[nodiscard]] std::vector<TableMember> TableMembers() const override;
  [[nodiscard]] std::vector<coord::Member> Members() const
  {
    return mMembership.Members();
  }
  [[nodiscard]] std::vector<HostId> LiveEntries() const;

private:
  void OnMember(const coord::Member& aMember) override;
  void OnDigest(const coord::Member& aMember) override;
  void PublishDigest();

  Options mOptions;
  AsioExecutor& mExecutor;
  policy::RequestRouter& mRouter;
  Handlers mHandlers;
  GossipSocket mSocket;
  coord::Membership mMembership;
  std::vector<coord::PeerAddress> mPeers; // from the settings
  std::map<HostId, TableVersion> mPeerTableVersions;
  TableVersion mTableVersion;
  bool mIsReady = false;
  Timer mTimer;
};

} // namespace firefly

#pragma once

// The entry's place among its peers: heartbeats over UDP, and what the peers
// tell of their work and their tables.

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "coord/membership.h"
#include "servers/entry/dispatcher.h"
#include "servers/gossip/entry_digest.h"
#include "servers/gossip/gossip_socket.h"
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

  // What the entry hears of its peers.
  struct Handlers
  {
    // A live peer told of its table's version.
    std::function<void(const HostId&, TableVersion)> onPeerTableVersion;
    // The live entries changed.
    std::function<void(const std::vector<HostId>&)> onLiveEntries;
  };

  EntryMembership(const Options& aOptions,
                  AsioExecutor& aExecutor,
                  policy::RequestRouter& aRouter,
                  Handlers aHandlers);

  // Opens the UDP port and begins to send.
  tl::expected<void, GossipError> Start();

  // More addresses to ask, of the platform's host list.
  void SetSeeds(const std::vector<coord::PeerAddress>& aSeeds);

  // What the peers are told of this entry.
  void SetTableVersion(TableVersion aVersion) { mTableVersion = aVersion; }
  void SetReady(bool aIsReady) { mIsReady = aIsReady; }

  // Tells the peers that this entry leaves; call it a few times.
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
  std::vector<coord::PeerAddress> mPeers;            // of the settings
  std::map<HostId, TableVersion> mPeerTableVersions; // of the peers
  TableVersion mTableVersion;
  bool mIsReady = false;
  Timer mTimer;
};

} // namespace firefly

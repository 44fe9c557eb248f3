#include "servers/entry/entry_membership.h"

#include <utility>

namespace firefly {

namespace {

using coord::MemberStatus;

constexpr const char* kRole = "entry";
// Makes a datagram fit into one Ethernet frame.
constexpr std::size_t kMaxMessageBytes = 1400;
constexpr std::size_t kMaxDigestBytes = 640;

coord::Membership::Options
MembershipOptions(const EntryMembership::Options& aOptions)
{
  const auto& host = aOptions.settings->host;
  const auto& membership = aOptions.settings->membership;
  return { .address = MakePeerAddress(host.address, host.gossipPort),
           .host = host.id,
           .domain = host.domain,
           .role = kRole,
           .incarnation = aOptions.incarnation,
           .roundInterval = membership.heartbeat,
           .fanOut = membership.fanOut,
           .probeTimeout = membership.heartbeat,
           .suspicion = membership.deadAfter - membership.suspectAfter,
           .maxMessageBytes = kMaxMessageBytes,
           .maxDigestBytes = kMaxDigestBytes,
           .seed = aOptions.seed };
}

bool
IsLive(const coord::Member& aMember)
{
  return aMember.status == MemberStatus::kAlive ||
         aMember.status == MemberStatus::kSuspect;
}

} // namespace

EntryMembership::EntryMembership(const Options& aOptions,
                                 AsioExecutor& aExecutor,
                                 policy::RequestRouter& aRouter,
                                 Handlers aHandlers)
  : mOptions(aOptions)
  , mExecutor(aExecutor)
  , mRouter(aRouter)
  , mHandlers(std::move(aHandlers))
  , mSocket(aExecutor)
  , mMembership(MembershipOptions(aOptions), aExecutor, mSocket, this)
{
  for (const auto& it : mOptions.settings->peers) {
    mPeers.push_back(MakePeerAddress(it.address, it.gossipPort));
  }
}

tl::expected<void, GossipError>
EntryMembership::Start()
{
  const auto& host = mOptions.settings->host;
  auto opened = mSocket.Open(
    host.address, host.gossipPort, [this](std::string_view aBytes) {
      mMembership.OnMessage(aBytes);
    });
  if (!opened) {
    return opened;
  }
  mMembership.SetSeeds(mPeers);
  mMembership.Start();
  PublishDigest();
  return {};
}

void
EntryMembership::SetSeeds(const std::vector<coord::PeerAddress>& aSeeds)
{
  auto seeds = mPeers;
  seeds.insert(seeds.end(), aSeeds.begin(), aSeeds.end());
  mMembership.SetSeeds(std::move(seeds));
}

void
EntryMembership::PublishDigest()
{
  MemberDigest digest{ .table = mTableVersion,
                       .ready = mIsReady,
                       .work = mRouter.MakeDigest(mExecutor.Now()) };
  mMembership.SetDigest(EncodeMemberDigest(std::move(digest), kMaxDigestBytes));
  mTimer =
    mExecutor.RunAfter(mOptions.digestInterval, [this] { PublishDigest(); });
}

void
EntryMembership::OnMember(const coord::Member&)
{
  mHandlers.onLiveEntries(LiveEntries());
}

void
EntryMembership::OnDigest(const coord::Member& aMember)
{
  const auto digest = DecodeMemberDigest(aMember.digest);
  if (!digest || aMember.host == mOptions.settings->host.id) {
    return;
  }
  mPeerTableVersions[aMember.host] = digest->table;
  mRouter.OnPeerDigest(digest->work, mExecutor.Now());
  if (IsLive(aMember)) {
    mHandlers.onPeerTableVersion(aMember.host, digest->table);
  }
}

std::vector<HostId>
EntryMembership::LiveEntries() const
{
  std::vector<HostId> hosts;
  for (const auto& it : mMembership.Members()) {
    if (IsLive(it)) {
      hosts.push_back(it.host);
    }
  }
  return hosts;
}

std::vector<TableMember>
EntryMembership::TableMembers() const
{
  std::vector<TableMember> members;
  for (const auto& it : mMembership.Members()) {
    const bool self = it.host == mOptions.settings->host.id;
    const auto known = mPeerTableVersions.find(it.host);
    const auto version =
      known == mPeerTableVersions.end() ? TableVersion() : known->second;
    members.push_back({ .host = it.host,
                        .live = IsLive(it),
                        .version = self ? mTableVersion : version });
  }
  return members;
}

} // namespace firefly

#include "servers/relay/peer_group.h"

#include <algorithm>
#include <utility>

#include "servers/gossip/member_digest.h"

namespace firefly {

namespace {

using coord::MemberStatus;

constexpr const char* kRole = "relay";
// Maximum size of a datagram that fits into one Ethernet frame.
constexpr std::size_t kMaxMessageBytes = 1400;
constexpr std::size_t kMaxDigestBytes = 640;
constexpr std::size_t kFanOut = 3;
// Bytes between failure domains cost more than those within.
constexpr std::size_t kDomainFanOut = 2;
// Relays of a failure domain that ping other domains in each round.
constexpr std::size_t kCrossDomainPingers = 6;
// A relay that answers no probe is first suspected and, after
// kSuspicionTimeout, declared dead. Its work counts until then.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(300);
constexpr Duration kSuspicionTimeout = std::chrono::seconds(3);

bool
IsLive(const coord::Member& aMember)
{
  return aMember.status == MemberStatus::kAlive ||
         aMember.status == MemberStatus::kSuspect;
}

std::string
IpOf(const coord::Member& aMember)
{
  const auto& address = aMember.address.Value();
  return address.substr(0, address.rfind(':'));
}

coord::Membership::Options
MembershipOptions(const PeerGroup::Options& aOptions)
{
  return { .address = MakePeerAddress(aOptions.address, aOptions.port),
           .host = aOptions.host,
           .domain = aOptions.domain,
           .role = kRole,
           .incarnation = aOptions.incarnation,
           .roundInterval = aOptions.interval,
           .fanOut = kFanOut,
           .domainFanOut = kDomainFanOut,
           .crossDomainPingers = kCrossDomainPingers,
           .probeTimeout = kProbeTimeout,
           .suspicion = kSuspicionTimeout,
           .maxMessageBytes = kMaxMessageBytes,
           .maxDigestBytes = kMaxDigestBytes,
           .seed = aOptions.seed,
           .takesLargerIncarnation = true };
}

} // namespace

PeerGroup::PeerGroup(Options aOptions,
                     AsioExecutor& aExecutor,
                     policy::RequestRouter& aRouter,
                     RoutingHandler aOnRouting,
                     PeerCountHandler aOnPeerCount)
  : mOptions(std::move(aOptions))
  , mExecutor(aExecutor)
  , mRouter(aRouter)
  , mSocket(aExecutor)
  , mMembership(MembershipOptions(mOptions), aExecutor, mSocket, this)
  , mOnRouting(std::move(aOnRouting))
  , mOnPeerCount(std::move(aOnPeerCount))
  , mRandom(mOptions.seed)
{
}

tl::expected<void, GossipError>
PeerGroup::Start()
{
  auto opened = mSocket.Open(
    mOptions.address, mOptions.port, [this](std::string_view aBytes) {
      mMembership.OnMessage(aBytes);
    });
  if (!opened) {
    return opened;
  }
  std::vector<coord::PeerAddress> seeds;
  for (const auto& it : mOptions.seeds) {
    seeds.push_back(MakePeerAddress(it, mOptions.port));
  }
  mMembership.SetSeeds(std::move(seeds));
  mMembership.Start();
  PublishDigest();
  return {};
}

void
PeerGroup::PublishDigest()
{
  auto work = mRouter.MakeDigest(mExecutor.Now());
  work.incarnation = mMembership.OwnIncarnation();
  MemberDigest digest{ .table = TableVersion(mRouting),
                       .ready = true, // not evaluated by relays
                       .work = std::move(work) };
  mMembership.SetDigest(EncodeMemberDigest(std::move(digest), kMaxDigestBytes));
  mTimer = mExecutor.RunAfter(mOptions.interval, [this] { PublishDigest(); });
}

std::size_t
PeerGroup::Rank() const
{
  std::size_t rank = 0;
  for (const auto& it : mMembership.Members()) {
    rank += IsLive(it) && it.host < mOptions.host ? 1 : 0;
  }
  return rank;
}

std::vector<HostId>
PeerGroup::LiveHosts() const
{
  std::vector<HostId> hosts{ mOptions.host };
  for (const auto& it : mMembership.Members()) {
    if (IsLive(it) && it.host != mOptions.host) {
      hosts.push_back(it.host);
    }
  }
  std::ranges::sort(hosts);
  return hosts;
}

std::vector<std::string>
PeerGroup::AddressesOf(const std::vector<HostId>& aHosts) const
{
  std::vector<std::string> addresses;
  for (const auto& it : mMembership.Members()) {
    if (IsLive(it) && std::ranges::find(aHosts, it.host) != aHosts.end()) {
      addresses.push_back(IpOf(it));
    }
  }
  return addresses;
}

void
PeerGroup::OnMember(const coord::Member& aMember)
{
  mLog.Info("relay changed",
            { { "host", aMember.host.Value() },
              { "state", std::string(ToString(aMember.status)) },
              { "incarnation", std::to_string(aMember.incarnation.Value()) } });
  std::vector<HostId> hosts;
  for (const auto& it : mMembership.Members()) {
    if (IsLive(it)) {
      hosts.push_back(it.host);
    }
  }
  mRouter.SetEntries(hosts, mExecutor.Now());
  UpdatePeerLists();
  mOnPeerCount(mPeerAddresses.size());
}

void
PeerGroup::UpdatePeerLists()
{
  mPeerAddresses.clear();
  mDomainPeerAddresses.clear();
  mFarPeerAddresses.clear();
  for (const auto& it : mMembership.Members()) {
    if (!IsLive(it) || it.host == mOptions.host) {
      continue;
    }
    mPeerAddresses.push_back(IpOf(it));
    auto& list = it.domain == mOptions.domain ? mDomainPeerAddresses
                                              : mFarPeerAddresses[it.domain];
    list.push_back(mPeerAddresses.back());
  }
}

std::vector<std::string>
PeerGroup::PickForwarders()
{
  std::vector<std::string> picked;
  for (const auto& [domain, addresses] : mFarPeerAddresses) {
    picked.push_back(addresses[mRandom.Below(addresses.size())]);
  }
  return picked;
}

std::vector<std::string>
PeerGroup::PickPeers(std::size_t aCount)
{
  return Pick(mPeerAddresses, aCount);
}

std::vector<std::string>
PeerGroup::PickDomainPeers(std::size_t aCount)
{
  return Pick(mDomainPeerAddresses, aCount);
}

std::vector<std::string>
PeerGroup::Pick(std::vector<std::string> aFrom, std::size_t aCount)
{
  const auto n = std::min(aCount, aFrom.size());
  for (std::size_t i = 0; i < n; ++i) {
    std::swap(aFrom[i], aFrom[i + mRandom.Below(aFrom.size() - i)]);
  }
  aFrom.resize(n);
  return aFrom;
}

void
PeerGroup::OnDigest(const coord::Member& aMember)
{
  const auto digest = DecodeMemberDigest(aMember.digest);
  if (digest && aMember.host != mOptions.host) {
    mRouter.OnPeerDigest(digest->work, mExecutor.Now());
    mOnRouting(digest->table.Value(), IpOf(aMember));
  }
}

} // namespace firefly

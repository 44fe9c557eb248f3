#include "servers/relay/peer_group.h"

#include <utility>

#include "servers/gossip/entry_digest.h"

namespace firefly {

namespace {

using coord::MemberStatus;

constexpr const char* kRole = "relay";
// A datagram that fits into one Ethernet frame.
constexpr std::size_t kMaxMessageBytes = 1400;
constexpr std::size_t kMaxDigestBytes = 640;
constexpr std::size_t kFanOut = 3;
// Relays beyond the own failure domain are told of each prompt only while there
// are at most so many: the bytes grow with their square.
constexpr std::size_t kMaxConfidants = 100;
// A silent relay's work counts until it is called dead.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(300);
constexpr Duration kSuspicion = std::chrono::seconds(3);

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
           .probeTimeout = kProbeTimeout,
           .suspicion = kSuspicion,
           .maxMessageBytes = kMaxMessageBytes,
           .maxDigestBytes = kMaxDigestBytes,
           .seed = aOptions.seed,
           .outbidsFormerLife = true };
}

} // namespace

PeerGroup::PeerGroup(Options aOptions,
                     AsioExecutor& aExecutor,
                     policy::RequestRouter& aRouter,
                     RoutingHandler aOnRouting,
                     LiveHandler aOnLive)
  : mOptions(std::move(aOptions))
  , mExecutor(aExecutor)
  , mRouter(aRouter)
  , mSocket(aExecutor)
  , mMembership(MembershipOptions(mOptions), aExecutor, mSocket, this)
  , mOnRouting(std::move(aOnRouting))
  , mOnLive(std::move(aOnLive))
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
  Tell();
  return {};
}

void
PeerGroup::Tell()
{
  auto work = mRouter.MakeDigest(mExecutor.Now());
  work.incarnation = mMembership.OwnIncarnation();
  EntryDigest digest{ .table = TableVersion(mRouting),
                      .ready = true, // peers act on nothing else
                      .work = std::move(work) };
  mMembership.SetDigest(EncodeEntryDigest(std::move(digest), kMaxDigestBytes));
  mTimer = mExecutor.RunAfter(mOptions.interval, [this] { Tell(); });
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
  mRouter.SetEntries(hosts);
  ListOthers();
  mOnLive(mOthers.size());
}

void
PeerGroup::ListOthers()
{
  mOthers.clear();
  mConfidants.clear();
  for (const auto& it : mMembership.Members()) {
    if (!IsLive(it) || it.host == mOptions.host) {
      continue;
    }
    mOthers.push_back(IpOf(it));
    if (it.domain == mOptions.domain) {
      mConfidants.push_back(mOthers.back());
    }
  }
  if (mOthers.size() <= kMaxConfidants) {
    mConfidants = mOthers;
  }
}

void
PeerGroup::OnDigest(const coord::Member& aMember)
{
  const auto digest = DecodeEntryDigest(aMember.digest);
  if (digest && aMember.host != mOptions.host) {
    mRouter.OnPeerDigest(digest->work, mExecutor.Now());
    mOnRouting(digest->table.Value(), IpOf(aMember));
  }
}

} // namespace firefly

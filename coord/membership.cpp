#include "coord/membership.h"

#include <algorithm>
#include <bit>
#include <limits>
#include <tuple>
#include <utility>

#include "coord/codec.h"

namespace firefly::coord {

namespace {

// After a probe's first time-out, the indirect probes may take this many times
// the probe time-out.
constexpr int kIndirectTimeouts = 3;

// The number of random members added to each message, so that changes that were
// not received by gossip spread eventually.
constexpr std::size_t kRandomMembersPerMessage = 2;

// The number of peers notified at once when this member leaves.
constexpr std::size_t kLeaveFanOut = 6;

std::string
EncodeMember(const Member& aMember)
{
  return FieldWriter()
    .Text(aMember.address.Value())
    .Text(aMember.host.Value())
    .Text(aMember.domain.Value())
    .Text(aMember.role)
    .Number(aMember.incarnation.Value())
    .Number(aMember.heartbeat)
    .Number(static_cast<std::uint64_t>(aMember.status))
    .Text(aMember.digest)
    .Take();
}

Member
ReadMember(FieldReader& aReader)
{
  Member member;
  member.address = PeerAddress(aReader.Text());
  member.host = HostId(aReader.Text());
  member.domain = DomainId(aReader.Text());
  member.role = aReader.Text();
  member.incarnation = Incarnation(aReader.Number());
  member.heartbeat = aReader.Number();
  member.status = static_cast<MemberStatus>(aReader.Number());
  member.digest = aReader.Text();
  return member;
}

bool
IsGone(MemberStatus aStatus)
{
  return aStatus == MemberStatus::kDead || aStatus == MemberStatus::kLeft;
}

// Whether a report is newer than the known state of the same address. A member
// that has left reports no other status during that incarnation, so that
// leaving is final.
bool
IsNewer(const Member& aNew, const Member& aOld)
{
  if (aNew.incarnation != aOld.incarnation) {
    return aNew.incarnation > aOld.incarnation;
  }
  if (aNew.heartbeat != aOld.heartbeat) {
    return aNew.heartbeat > aOld.heartbeat;
  }
  return aNew.status > aOld.status;
}

} // namespace

std::string_view
ToString(MemberStatus aStatus)
{
  switch (aStatus) {
    case MemberStatus::kAlive:
      return "alive";
    case MemberStatus::kSuspect:
      return "suspect";
    case MemberStatus::kDead:
      return "dead";
    case MemberStatus::kLeft:
      return "left";
  }
  return "dead";
}

Membership::Membership(const Options& aOptions,
                       Executor& aExecutor,
                       GossipTransport& aTransport,
                       MembershipObserver* aObserver)
  : mOptions(aOptions)
  , mExecutor(aExecutor)
  , mTransport(aTransport)
  , mObserver(aObserver)
  , mRandom(aOptions.seed)
{
  MemberRecord self;
  self.member = { .address = aOptions.address,
                  .host = aOptions.host,
                  .domain = aOptions.domain,
                  .role = aOptions.role,
                  .incarnation = aOptions.incarnation,
                  .updated = aExecutor.Now() };
  mRecords.emplace(aOptions.address, std::move(self));
}

void
Membership::Start()
{
  // A random delay spreads the rounds of processes that start together over the
  // interval.
  const auto first =
    FromSeconds(ToSeconds(mOptions.roundInterval) * mRandom.Uniform());
  mTimer = mExecutor.RunAfter(first, [this] { Round(); });
}

void
Membership::SetSeeds(std::vector<PeerAddress> aSeeds)
{
  mSeeds = std::move(aSeeds);
}

bool
Membership::SetDigest(std::string aDigest)
{
  if (aDigest.size() > mOptions.maxDigestBytes) {
    return false;
  }
  auto& self = mRecords.at(mOptions.address);
  if (self.member.digest == aDigest) {
    return true;
  }
  self.member.digest = std::move(aDigest);
  ++self.member.heartbeat;
  QueueGossip(self);
  return true;
}

void
Membership::Round()
{
  mTimer = mExecutor.RunAfter(mOptions.roundInterval, [this] { Round(); });
  if (mRecords.at(mOptions.address).member.status == MemberStatus::kLeft) {
    return;
  }
  const auto domainPings = DomainPings();
  for (std::size_t n = 0; n < mOptions.fanOut; ++n) {
    auto peer = NextPeer(n < domainPings);
    if (!peer) {
      peer = NextPeer(false);
    }
    if (!peer) {
      break;
    }
    Ping(*peer, std::nullopt, 0);
  }
  PingMissingSeed();
}

std::size_t
Membership::DomainPings()
{
  if (mOptions.domainFanOut == 0 || mOptions.crossDomainPingers == 0) {
    return mOptions.domainFanOut;
  }
  const auto inDomain =
    std::ranges::count_if(mRecords, [this](const auto& aRecord) {
      const auto& member = aRecord.second.member;
      return member.domain == mOptions.domain && !IsGone(member.status);
    });
  const bool isPinger = mRandom.Uniform() * static_cast<double>(inDomain) <
                        static_cast<double>(mOptions.crossDomainPingers);
  return isPinger ? mOptions.domainFanOut : mOptions.fanOut;
}

// Pings a random address of the host list that is not a live member.
void
Membership::PingMissingSeed()
{
  std::vector<PeerAddress> missing;
  for (const auto& it : mSeeds) {
    const auto* known = Find(it);
    if (it != mOptions.address && (known == nullptr || IsGone(known->status))) {
      missing.push_back(it);
    }
  }
  if (!missing.empty()) {
    Send(MessageKind::kPing, missing[mRandom.Below(missing.size())], 0, {});
  }
}

// Returns the live peers one after the other, in a random order that is drawn
// again for each pass.
std::optional<PeerAddress>
Membership::NextPeer(bool aInDomain)
{
  auto& peersToPing = aInDomain ? mDomainPeersToPing : mPeersToPing;
  for (int turn = 0; turn < 2; ++turn) {
    while (!peersToPing.empty()) {
      const auto peer = peersToPing.back();
      peersToPing.pop_back();
      const auto* known = Find(peer);
      if (known != nullptr && !IsGone(known->status)) {
        return peer;
      }
    }
    peersToPing = RandomPeers(mRecords.size(), mOptions.address, aInDomain);
  }
  return std::nullopt;
}

std::vector<PeerAddress>
Membership::RandomPeers(std::size_t aCount,
                        const PeerAddress& aExcept,
                        bool aInDomain)
{
  std::vector<const PeerAddress*> live;
  live.reserve(mRecords.size());
  for (const auto& [address, known] : mRecords) {
    if (address != mOptions.address && address != aExcept &&
        !IsGone(known.member.status) &&
        (!aInDomain || known.member.domain == mOptions.domain)) {
      live.push_back(&address);
    }
  }
  std::vector<PeerAddress> peers;
  const auto count = std::min(aCount, live.size());
  peers.reserve(count);
  for (std::size_t n = 0; n < count; ++n) {
    std::swap(live[n], live[n + mRandom.Below(live.size() - n)]);
    peers.push_back(*live[n]);
  }
  return peers;
}

void
Membership::Ping(const PeerAddress& aPeer,
                 const std::optional<PeerAddress>& aRequester,
                 std::uint64_t aRequesterProbe)
{
  const auto id = mNextProbe++;
  auto& probe = mProbes[id];
  probe.target = aPeer;
  probe.requester = aRequester;
  probe.requesterProbe = aRequesterProbe;
  probe.timer = mExecutor.RunAfter(mOptions.probeTimeout,
                                   [this, id] { OnProbeTimeout(id); });
  Send(MessageKind::kPing, aPeer, id, {});
}

// Called when a probe was not answered in time. Asks other peers to ping the
// target and suspects it if they do not report an answer either. A probe on
// behalf of another member just ends.
void
Membership::OnProbeTimeout(std::uint64_t aProbe)
{
  auto& probe = mProbes.at(aProbe);
  if (probe.requester) {
    mProbes.erase(aProbe);
    return;
  }
  const auto target = probe.target;
  probe.timer = mExecutor.RunAfter(mOptions.probeTimeout * kIndirectTimeouts,
                                   [this, aProbe, target] {
                                     mProbes.erase(aProbe);
                                     Suspect(target);
                                   });
  for (const auto& it : RandomPeers(mOptions.indirectProbes, target)) {
    Send(MessageKind::kPingRequest, it, aProbe, target);
  }
}

void
Membership::Suspect(const PeerAddress& aPeer)
{
  const auto it = mRecords.find(aPeer);
  if (it == mRecords.end() ||
      it->second.member.status != MemberStatus::kAlive) {
    return;
  }
  auto member = it->second.member;
  member.status = MemberStatus::kSuspect;
  Replace(it->second, std::move(member));
}

void
Membership::OnMessage(std::string_view aBytes)
{
  mBytesReceived += aBytes.size();
  FieldReader reader(aBytes);
  const auto kind = static_cast<MessageKind>(reader.Number());
  const PeerAddress from(reader.Text());
  const auto probe = reader.Number();
  const PeerAddress target(reader.Text());
  if (!reader.Ok()) {
    return;
  }
  while (!reader.AtEnd()) {
    auto member = ReadMember(reader);
    if (!reader.Ok()) {
      break;
    }
    Merge(std::move(member));
  }
  switch (kind) {
    case MessageKind::kPing:
      Send(MessageKind::kAck, from, probe, {});
      break;
    case MessageKind::kAck:
      OnAck(probe);
      break;
    case MessageKind::kPingRequest:
      Ping(target, from, probe);
      break;
  }
}

void
Membership::OnAck(std::uint64_t aProbe)
{
  const auto it = mProbes.find(aProbe);
  if (it == mProbes.end()) {
    return;
  }
  const auto probe = std::move(it->second);
  mProbes.erase(it);
  if (probe.requester) {
    Send(MessageKind::kAck, *probe.requester, probe.requesterProbe, {});
  }
}

void
Membership::Leave()
{
  auto& self = mRecords.at(mOptions.address);
  self.member.status = MemberStatus::kLeft;
  QueueGossip(self);
  for (const auto& it : RandomPeers(kLeaveFanOut, mOptions.address)) {
    Send(MessageKind::kPing, it, 0, {});
  }
}

void
Membership::Send(MessageKind aKind,
                 const PeerAddress& aPeer,
                 std::uint64_t aProbe,
                 const PeerAddress& aTarget)
{
  auto bytes = Compose(aKind, aPeer, aProbe, aTarget);
  ++mMessagesSent;
  mBytesSent += bytes.size();
  mTransport.Send(aPeer, std::move(bytes));
}

// Adds members in this order: the sender; the receiver if it is not known as
// alive or its incarnation is disputed, so that it can refute this; the changes
// that are still to be sent; some random members.
std::string
Membership::Compose(MessageKind aKind,
                    const PeerAddress& aPeer,
                    std::uint64_t aProbe,
                    const PeerAddress& aTarget)
{
  auto bytes = FieldWriter()
                 .Number(static_cast<std::uint64_t>(aKind))
                 .Text(mOptions.address.Value())
                 .Number(aProbe)
                 .Text(aTarget.Value())
                 .Take();
  bytes += EncodeMember(mRecords.at(mOptions.address).member);
  const auto add = [&](const Member& aMember) {
    const auto encoded = EncodeMember(aMember);
    if (bytes.size() + encoded.size() > mOptions.maxMessageBytes) {
      return false;
    }
    bytes += encoded;
    return true;
  };
  const auto receiver = mRecords.find(aPeer);
  if (receiver != mRecords.end() &&
      (receiver->second.isDisputed ||
       receiver->second.member.status != MemberStatus::kAlive)) {
    add(receiver->second.member);
    receiver->second.isDisputed = false;
  }
  for (auto* it : PendingChanges()) {
    if (!add(it->member)) {
      return bytes;
    }
    --it->sendsLeft;
    it->statusSendsLeft -= it->statusSendsLeft > 0 ? 1 : 0;
  }
  for (const auto& it : RandomPeers(kRandomMembersPerMessage, aPeer)) {
    add(mRecords.at(it).member);
  }
  return bytes;
}

// The changes still to be sent, sorted so that changes of status or incarnation
// precede those of the digest alone, and then by the number of sends left.
std::vector<Membership::MemberRecord*>
Membership::PendingChanges()
{
  std::vector<MemberRecord*> newest;
  for (auto& [address, known] : mRecords) {
    if (known.sendsLeft > 0 && address != mOptions.address) {
      newest.push_back(&known);
    }
  }
  const auto before = [](const MemberRecord* aLeft,
                         const MemberRecord* aRight) {
    return std::tie(aLeft->statusSendsLeft, aLeft->sendsLeft) >
           std::tie(aRight->statusSendsLeft, aRight->sendsLeft);
  };
  std::stable_sort(newest.begin(), newest.end(), before);
  return newest;
}

void
Membership::Merge(Member aMember)
{
  if (aMember.address == mOptions.address) {
    MergeSelf(aMember);
    return;
  }
  const auto it = mRecords.find(aMember.address);
  if (it == mRecords.end()) {
    if (!IsGone(aMember.status)) {
      auto& known = mRecords[aMember.address];
      Replace(known, std::move(aMember));
    }
    return;
  }
  if (IsNewer(aMember, it->second.member)) {
    Replace(it->second, std::move(aMember));
  } else if (aMember.incarnation != it->second.member.incarnation) {
    it->second.isDisputed = true;
  }
}

// Refutes a report that this member is suspect or dead by a larger heartbeat.
// With takesLargerIncarnation, also takes a larger incarnation than a reported
// one.
void
Membership::MergeSelf(const Member& aMember)
{
  auto& self = mRecords.at(mOptions.address);
  constexpr auto kLargest = std::numeric_limits<std::uint64_t>::max();
  if (mOptions.takesLargerIncarnation &&
      aMember.incarnation > self.member.incarnation &&
      aMember.incarnation.Value() < kLargest) {
    self.member.incarnation = Incarnation(aMember.incarnation.Value() + 1);
    QueueGossip(self);
    if (mObserver != nullptr) {
      mObserver->OnMember(self.member);
    }
    return;
  }
  if (aMember.incarnation != self.member.incarnation ||
      self.member.status == MemberStatus::kLeft ||
      aMember.status == MemberStatus::kAlive ||
      aMember.heartbeat < self.member.heartbeat) {
    return;
  }
  self.member.heartbeat = aMember.heartbeat + 1;
  QueueGossip(self);
}

void
Membership::Replace(MemberRecord& aRecord, Member aMember)
{
  const bool fresh = aRecord.member.address != aMember.address;
  const bool changed = fresh || aRecord.member.status != aMember.status ||
                       aRecord.member.incarnation != aMember.incarnation;
  const bool digest = aRecord.member.digest != aMember.digest;
  aRecord.member = std::move(aMember);
  aRecord.member.updated = mExecutor.Now();
  QueueGossip(aRecord);
  if (changed) {
    aRecord.statusSendsLeft = SendsPerChange();
    StartStatusTimer(aRecord);
  }
  if (mObserver != nullptr && changed) {
    mObserver->OnMember(aRecord.member);
  }
  if (mObserver != nullptr && digest) {
    mObserver->OnDigest(aRecord.member);
  }
}

std::size_t
Membership::SendsPerChange() const
{
  return mOptions.repeats *
         static_cast<std::size_t>(std::bit_width(mRecords.size()));
}

void
Membership::QueueGossip(MemberRecord& aRecord)
{
  aRecord.sendsLeft = SendsPerChange();
}

// Starts the timer that declares a suspect dead, or that removes a member that
// is dead or has left.
void
Membership::StartStatusTimer(MemberRecord& aRecord)
{
  const auto address = aRecord.member.address;
  aRecord.timer.Cancel();
  if (aRecord.member.status == MemberStatus::kSuspect) {
    aRecord.timer = mExecutor.RunAfter(mOptions.suspicion, [this, address] {
      auto& known = mRecords.at(address);
      auto member = known.member;
      member.status = MemberStatus::kDead;
      Replace(known, std::move(member));
    });
  } else if (IsGone(aRecord.member.status)) {
    aRecord.timer = mExecutor.RunAfter(
      mOptions.forget, [this, address] { mRecords.erase(address); });
  }
}

std::vector<Member>
Membership::Members() const
{
  std::vector<Member> members;
  members.reserve(mRecords.size());
  for (const auto& [address, known] : mRecords) {
    members.push_back(known.member);
  }
  return members;
}

const Member*
Membership::Find(const PeerAddress& aAddress) const
{
  const auto it = mRecords.find(aAddress);
  return it == mRecords.end() ? nullptr : &it->second.member;
}

std::size_t
Membership::LiveCount() const
{
  const auto count =
    std::count_if(mRecords.begin(), mRecords.end(), [](const auto& aRecord) {
      return !IsGone(aRecord.second.member.status);
    });
  return static_cast<std::size_t>(count);
}

Incarnation
Membership::OwnIncarnation() const
{
  return mRecords.at(mOptions.address).member.incarnation;
}

bool
Membership::HasEnded(const PeerAddress& aAddress,
                     Incarnation aIncarnation) const
{
  const auto* known = Find(aAddress);
  if (known == nullptr) {
    return false;
  }
  const bool left =
    known->incarnation == aIncarnation && known->status == MemberStatus::kLeft;
  return left || known->incarnation > aIncarnation;
}

} // namespace firefly::coord

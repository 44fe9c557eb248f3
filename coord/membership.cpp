#include "coord/membership.h"

#include <algorithm>
#include <bit>
#include <limits>
#include <tuple>
#include <utility>

#include "coord/codec.h"

namespace firefly::coord {

namespace {

// After a probe's first time-out, others have this many time-outs to help.
constexpr int kIndirectTimeouts = 3;

// Members told at random in each message, to mend what gossip missed.
constexpr std::size_t kRandomFill = 2;

// Peers that are told at once of a leaving.
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
Gone(MemberStatus aStatus)
{
  return aStatus == MemberStatus::kDead || aStatus == MemberStatus::kLeft;
}

// Whether the report tells something newer of the same address. A member that
// leaves reports nothing else in that life, so that its leaving is final.
bool
Outdates(const Member& aNew, const Member& aOld)
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
  Known self;
  self.member = { .address = aOptions.address,
                  .host = aOptions.host,
                  .domain = aOptions.domain,
                  .role = aOptions.role,
                  .incarnation = aOptions.incarnation,
                  .updated = aExecutor.Now() };
  mKnown.emplace(aOptions.address, std::move(self));
}

void
Membership::Start()
{
  // Rounds of processes started together spread over the interval.
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
  auto& self = mKnown.at(mOptions.address);
  if (self.member.digest == aDigest) {
    return true;
  }
  self.member.digest = std::move(aDigest);
  ++self.member.heartbeat;
  Queue(self);
  return true;
}

void
Membership::Round()
{
  mTimer = mExecutor.RunAfter(mOptions.roundInterval, [this] { Round(); });
  if (mKnown.at(mOptions.address).member.status == MemberStatus::kLeft) {
    return;
  }
  for (std::size_t n = 0; n < mOptions.fanOut; ++n) {
    const auto peer = NextPeer();
    if (!peer) {
      break;
    }
    Ping(*peer, std::nullopt, 0);
  }
  AskSeed();
}

// One of the host list's addresses that isn't a live member.
void
Membership::AskSeed()
{
  std::vector<PeerAddress> missing;
  for (const auto& it : mSeeds) {
    const auto* known = Find(it);
    if (it != mOptions.address && (known == nullptr || Gone(known->status))) {
      missing.push_back(it);
    }
  }
  if (!missing.empty()) {
    Send(MessageKind::kPing, missing[mRandom.Below(missing.size())], 0, {});
  }
}

// All live peers in turn, in an order that is drawn anew for each turn.
std::optional<PeerAddress>
Membership::NextPeer()
{
  for (int turn = 0; turn < 2; ++turn) {
    while (!mOrder.empty()) {
      const auto peer = mOrder.back();
      mOrder.pop_back();
      const auto* known = Find(peer);
      if (known != nullptr && !Gone(known->status)) {
        return peer;
      }
    }
    mOrder = RandomPeers(mKnown.size(), mOptions.address);
  }
  return std::nullopt;
}

std::vector<PeerAddress>
Membership::RandomPeers(std::size_t aCount, const PeerAddress& aExcept)
{
  std::vector<const PeerAddress*> live;
  live.reserve(mKnown.size());
  for (const auto& [address, known] : mKnown) {
    if (address != mOptions.address && address != aExcept &&
        !Gone(known.member.status)) {
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
                 const std::optional<PeerAddress>& aAsker,
                 std::uint64_t aAskerProbe)
{
  const auto id = mNextProbe++;
  auto& probe = mProbes[id];
  probe.target = aPeer;
  probe.asker = aAsker;
  probe.askerProbe = aAskerProbe;
  probe.timer =
    mExecutor.RunAfter(mOptions.probeTimeout, [this, id] { OnSilence(id); });
  Send(MessageKind::kPing, aPeer, id, {});
}

// No answer yet: others are asked to try, then the peer is suspect.
void
Membership::OnSilence(std::uint64_t aProbe)
{
  auto& probe = mProbes.at(aProbe);
  if (probe.asker) {
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
  const auto it = mKnown.find(aPeer);
  if (it == mKnown.end() || it->second.member.status != MemberStatus::kAlive) {
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
  if (probe.asker) {
    Send(MessageKind::kAck, *probe.asker, probe.askerProbe, {});
  }
}

void
Membership::Leave()
{
  auto& self = mKnown.at(mOptions.address);
  self.member.status = MemberStatus::kLeft;
  Queue(self);
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

// The sender first, then the receiver if it is not taken for alive or said to
// be another life, so that it can refute; then the newest changes, then some
// members at random.
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
  bytes += EncodeMember(mKnown.at(mOptions.address).member);
  const auto add = [&](const Member& aMember) {
    const auto encoded = EncodeMember(aMember);
    if (bytes.size() + encoded.size() > mOptions.maxMessageBytes) {
      return false;
    }
    bytes += encoded;
    return true;
  };
  const auto receiver = mKnown.find(aPeer);
  if (receiver != mKnown.end() &&
      (receiver->second.disputed ||
       receiver->second.member.status != MemberStatus::kAlive)) {
    add(receiver->second.member);
    receiver->second.disputed = false;
  }
  for (auto* it : Newest()) {
    if (!add(it->member)) {
      return bytes;
    }
    --it->sendsLeft;
    it->urgentLeft -= it->urgentLeft > 0 ? 1 : 0;
  }
  for (const auto& it : RandomPeers(kRandomFill, aPeer)) {
    add(mKnown.at(it).member);
  }
  return bytes;
}

// The changes that have been passed on the least; those that tell more than a
// digest go first.
std::vector<Membership::Known*>
Membership::Newest()
{
  std::vector<Known*> newest;
  for (auto& [address, known] : mKnown) {
    if (known.sendsLeft > 0 && address != mOptions.address) {
      newest.push_back(&known);
    }
  }
  const auto before = [](const Known* aLeft, const Known* aRight) {
    return std::tie(aLeft->urgentLeft, aLeft->sendsLeft) >
           std::tie(aRight->urgentLeft, aRight->sendsLeft);
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
  const auto it = mKnown.find(aMember.address);
  if (it == mKnown.end()) {
    if (!Gone(aMember.status)) {
      auto& known = mKnown[aMember.address];
      Replace(known, std::move(aMember));
    }
    return;
  }
  if (Outdates(aMember, it->second.member)) {
    Replace(it->second, std::move(aMember));
  } else if (aMember.incarnation != it->second.member.incarnation) {
    it->second.disputed = true;
  }
}

// A report that this member doesn't answer is refuted by a newer heartbeat.
void
Membership::MergeSelf(const Member& aMember)
{
  auto& self = mKnown.at(mOptions.address);
  constexpr auto kLargest = std::numeric_limits<std::uint64_t>::max();
  if (mOptions.outbidsFormerLife &&
      aMember.incarnation > self.member.incarnation &&
      aMember.incarnation.Value() < kLargest) {
    self.member.incarnation = Incarnation(aMember.incarnation.Value() + 1);
    Queue(self);
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
  Queue(self);
}

void
Membership::Replace(Known& aKnown, Member aMember)
{
  const bool fresh = aKnown.member.address != aMember.address;
  const bool changed = fresh || aKnown.member.status != aMember.status ||
                       aKnown.member.incarnation != aMember.incarnation;
  const bool digest = aKnown.member.digest != aMember.digest;
  aKnown.member = std::move(aMember);
  aKnown.member.updated = mExecutor.Now();
  Queue(aKnown);
  if (changed) {
    aKnown.urgentLeft = Sends();
    SetTimer(aKnown);
  }
  if (mObserver != nullptr && changed) {
    mObserver->OnMember(aKnown.member);
  }
  if (mObserver != nullptr && digest) {
    mObserver->OnDigest(aKnown.member);
  }
}

std::size_t
Membership::Sends() const
{
  return mOptions.repeats *
         static_cast<std::size_t>(std::bit_width(mKnown.size()));
}

void
Membership::Queue(Known& aKnown)
{
  aKnown.sendsLeft = Sends();
}

// A suspect dies, a dead one is forgotten.
void
Membership::SetTimer(Known& aKnown)
{
  const auto address = aKnown.member.address;
  aKnown.timer.Cancel();
  if (aKnown.member.status == MemberStatus::kSuspect) {
    aKnown.timer = mExecutor.RunAfter(mOptions.suspicion, [this, address] {
      auto& known = mKnown.at(address);
      auto member = known.member;
      member.status = MemberStatus::kDead;
      Replace(known, std::move(member));
    });
  } else if (Gone(aKnown.member.status)) {
    aKnown.timer = mExecutor.RunAfter(
      mOptions.forget, [this, address] { mKnown.erase(address); });
  }
}

std::vector<Member>
Membership::Members() const
{
  std::vector<Member> members;
  members.reserve(mKnown.size());
  for (const auto& [address, known] : mKnown) {
    members.push_back(known.member);
  }
  return members;
}

const Member*
Membership::Find(const PeerAddress& aAddress) const
{
  const auto it = mKnown.find(aAddress);
  return it == mKnown.end() ? nullptr : &it->second.member;
}

std::size_t
Membership::LiveCount() const
{
  const auto count =
    std::count_if(mKnown.begin(), mKnown.end(), [](const auto& aKnown) {
      return !Gone(aKnown.second.member.status);
    });
  return static_cast<std::size_t>(count);
}

Incarnation
Membership::OwnIncarnation() const
{
  return mKnown.at(mOptions.address).member.incarnation;
}

bool
Membership::Settled(const PeerAddress& aAddress, Incarnation aIncarnation) const
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

#pragma once

// A gossip protocol that tracks which members are alive and spreads a digest of
// each. Every round pings a few peers, messages have a bounded size, and a
// member is suspected before it is declared dead. Does not use sockets itself.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/executor.h"
#include "core/ids.h"
#include "core/random.h"

namespace firefly::coord {

// A member's address, such as "10.0.0.1:7400".
using PeerAddress = StrongType<struct PeerAddressTag, std::string>;

// Sends datagrams, which may be lost, delayed or duplicated.
class GossipTransport
{
public:
  virtual ~GossipTransport() = default;
  virtual void Send(const PeerAddress& aPeer, std::string aBytes) = 0;
};

// The statuses of one incarnation of a member, in the order in which it passes
// through them. A suspect may become alive again.
enum class MemberStatus : std::uint8_t
{
  kAlive = 0,
  kSuspect = 1, // did not answer; the member may refute this
  kDead = 2,    // did not refute the suspicion in time; may still refute it
  kLeft = 3,    // announced that it leaves; final for this incarnation
};

// The status's name, such as "alive".
std::string_view
ToString(MemberStatus aStatus);

// The newest known state of a member.
struct Member
{
  PeerAddress address{};
  HostId host{};
  DomainId domain{};
  std::string role{}; // such as "entry"
  Incarnation incarnation{};
  std::uint64_t heartbeat = 0; // increases during one incarnation
  MemberStatus status = MemberStatus::kAlive;
  std::string digest{}; // the member's newest application digest
  Instant updated{};    // when this process last accepted a newer state
};

// Receives changes of members.
class MembershipObserver
{
public:
  virtual ~MembershipObserver() = default;
  // A member was added, changed its status or has a new incarnation. Not called
  // when a member is removed.
  virtual void OnMember(const Member& aMember) = 0;
  // A member's digest changed.
  virtual void OnDigest(const Member& aMember) = 0;
};

// One member's view of all members.
class Membership
{
public:
  struct Options
  {
    PeerAddress address{};
    HostId host{};
    DomainId domain{};
    std::string role{};
    Incarnation incarnation{}; // larger for each start at this address
    Duration roundInterval = std::chrono::milliseconds(500);
    // The number of peers pinged in each round.
    std::size_t fanOut = 2;
    // How many of these pings go to peers in the own failure domain, while
    // there are any. Less than fanOut, so that news cross domains as well.
    std::size_t domainFanOut = 0;
    // How many members of a domain send the other pings in each round, on
    // average; the rest ping in their own domain only. The traffic between two
    // domains then does not grow with their members. 0: all of them.
    std::size_t crossDomainPingers = 0;
    // The number of other peers asked to ping a peer that does not answer.
    std::size_t indirectProbes = 2;
    // A peer that does not answer a ping for this long is pinged through
    // others.
    Duration probeTimeout = std::chrono::milliseconds(200);
    // A suspect that does not refute the suspicion for this long is dead.
    Duration suspicion = std::chrono::seconds(4);
    // A member that is dead or has left is removed after this time.
    Duration forget = std::chrono::minutes(10);
    // A change is sent this many times for each binary digit of the number of
    // members, so that the repetitions grow with the logarithm of the size.
    std::size_t repeats = 2;
    std::size_t maxMessageBytes = 1200;
    std::size_t maxDigestBytes = 256;
    std::uint64_t seed = 1; // of the choice of peers
    // Whether this member takes a larger incarnation when others report one
    // that is larger than its own, because its clock was set back before it
    // started. Must not be set for members whose end is awaited with
    // HasEnded(): a running process that takes a larger incarnation would look
    // like one that has ended.
    bool takesLargerIncarnation = false;
  };

  // The observer may be null; else it must outlive the membership.
  Membership(const Options& aOptions,
             Executor& aExecutor,
             GossipTransport& aTransport,
             MembershipObserver* aObserver);

  // Starts sending; must be called exactly once.
  void Start();

  // Sets the addresses of the host list. Each round pings one of those that are
  // not live members. The list may be out of date, so an address on it is no
  // evidence that a member runs there.
  void SetSeeds(std::vector<PeerAddress> aSeeds);

  // Sets the digest that is spread to the other members. Returns false, and
  // changes nothing, if it is longer than maxDigestBytes.
  bool SetDigest(std::string aDigest);

  // Handles a received datagram.
  void OnMessage(std::string_view aBytes);

  // Tells a few peers that this member leaves. Call it more than once during a
  // graceful shutdown, since datagrams may be lost.
  void Leave();

  // All known members, including this one.
  [[nodiscard]] std::vector<Member> Members() const;
  // A member, or null.
  [[nodiscard]] const Member* Find(const PeerAddress& aAddress) const;
  // The number of members that are not dead and have not left, including this
  // one.
  [[nodiscard]] std::size_t LiveCount() const;

  // The present incarnation of this member. It differs from the configured one
  // after takesLargerIncarnation took effect.
  [[nodiscard]] Incarnation OwnIncarnation() const;

  // Whether this incarnation of the address is known to have ended: it
  // announced that it leaves, or a larger incarnation was reported. A missing
  // answer is not enough, since the process may still run.
  [[nodiscard]] bool HasEnded(const PeerAddress& aAddress,
                              Incarnation aIncarnation) const;

  // Counters since creation. Bytes are payload, without UDP and IP headers.
  [[nodiscard]] std::uint64_t MessagesSent() const { return mMessagesSent; }
  [[nodiscard]] std::uint64_t BytesSent() const { return mBytesSent; }
  [[nodiscard]] std::uint64_t BytesReceived() const { return mBytesReceived; }

private:
  enum class MessageKind : std::uint8_t
  {
    kPing = 0,
    kAck = 1,
    kPingRequest = 2,
  };
  struct MemberRecord
  {
    Member member;
    // How often the newest change is still to be sent.
    std::size_t sendsLeft = 0;
    // The same for the newest change of the status or incarnation.
    std::size_t statusSendsLeft = 0;
    // Whether a report named a smaller incarnation than the one known here.
    bool isDisputed = false;
    Timer timer; // ends the suspicion, or removes the member
  };
  struct Probe
  {
    PeerAddress target{};
    std::optional<PeerAddress> requester{}; // to forward the answer to
    std::uint64_t requesterProbe = 0;
    Timer timer;
  };

  void Round();
  // The number of this round's pings that go to peers in the own domain.
  [[nodiscard]] std::size_t DomainPings();
  void PingMissingSeed();
  void Ping(const PeerAddress& aPeer,
            const std::optional<PeerAddress>& aRequester,
            std::uint64_t aRequesterProbe);
  void OnProbeTimeout(std::uint64_t aProbe);
  void OnAck(std::uint64_t aProbe);
  void Suspect(const PeerAddress& aPeer);
  void Send(MessageKind aKind,
            const PeerAddress& aPeer,
            std::uint64_t aProbe,
            const PeerAddress& aTarget);
  std::string Compose(MessageKind aKind,
                      const PeerAddress& aPeer,
                      std::uint64_t aProbe,
                      const PeerAddress& aTarget);
  std::vector<MemberRecord*> PendingChanges();
  void Merge(Member aMember);
  void MergeSelf(const Member& aMember);
  void Replace(MemberRecord& aRecord, Member aMember);
  [[nodiscard]] std::size_t SendsPerChange() const;
  void QueueGossip(MemberRecord& aRecord);
  void StartStatusTimer(MemberRecord& aRecord);
  // Returns the next live peer of the pass over all peers, or over those in the
  // own failure domain.
  std::optional<PeerAddress> NextPeer(bool aInDomain);
  std::vector<PeerAddress> RandomPeers(std::size_t aCount,
                                       const PeerAddress& aExcept,
                                       bool aInDomain = false);

  Options mOptions;
  Executor& mExecutor;
  GossipTransport& mTransport;
  MembershipObserver* mObserver;
  Random mRandom;
  std::map<PeerAddress, MemberRecord> mRecords;
  std::map<std::uint64_t, Probe> mProbes;
  std::uint64_t mNextProbe = 1;
  // The live peers that are still to be pinged in the present pass, in reverse.
  std::vector<PeerAddress> mPeersToPing;
  std::vector<PeerAddress> mDomainPeersToPing;
  std::vector<PeerAddress> mSeeds;
  std::uint64_t mMessagesSent = 0;
  std::uint64_t mBytesSent = 0;
  std::uint64_t mBytesReceived = 0;
  Timer mTimer;
};

} // namespace firefly::coord

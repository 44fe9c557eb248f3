#pragma once

// Who is alive, and what each says of itself: heartbeats to a few peers each
// round, gossip of bounded size, suspicion before death. Free of sockets.

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

// Sends datagrams, which may be lost, late or doubled.
class GossipTransport
{
public:
  virtual ~GossipTransport() = default;
  virtual void Send(const PeerAddress& aPeer, std::string aBytes) = 0;
};

// In the order in which one life of a member goes through them; a suspect may
// become alive again.
enum class MemberStatus : std::uint8_t
{
  kAlive = 0,
  kSuspect = 1, // did not answer; may be refuted
  kDead = 2,    // suspicion was not refuted in time; may be refuted late
  kLeft = 3,    // said that it leaves; final for this incarnation
};

// Such as "alive".
std::string_view
ToString(MemberStatus aStatus);

// What is known of a member.
struct Member
{
  PeerAddress address{};
  HostId host{};
  DomainId domain{};
  std::string role{}; // such as "entry"
  Incarnation incarnation{};
  std::uint64_t heartbeat = 0; // grows during one incarnation
  MemberStatus status = MemberStatus::kAlive;
  std::string digest{}; // the member's newest application digest
  Instant updated{};    // when this was last heard of here
};

// Hears of changes.
class MembershipObserver
{
public:
  virtual ~MembershipObserver() = default;
  // A member came, changed its status or has a new incarnation.
  virtual void OnMember(const Member& aMember) = 0;
  // A member's digest changed.
  virtual void OnDigest(const Member& aMember) = 0;
};

// One member's view.
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
    // Peers asked each round.
    std::size_t fanOut = 2;
    // A peer that doesn't answer is asked through this many others.
    std::size_t indirectProbes = 2;
    Duration probeTimeout = std::chrono::milliseconds(200);
    Duration suspicion = std::chrono::seconds(4);
    // A member that is dead or has left is forgotten after this.
    Duration forget = std::chrono::minutes(10);
    // Each change is passed on this many times for each doubling of members.
    std::size_t repeats = 2;
    std::size_t maxMessageBytes = 1200;
    std::size_t maxDigestBytes = 256;
    std::uint64_t seed = 1; // of the choice of peers
    // Takes a larger incarnation when the others remember one that is not
    // smaller than its own: it was started after its clock went back. Not for
    // members whose lives are waited for (Settled), since the end of a life
    // could then not be told from its renaming.
    bool outbidsFormerLife = false;
  };

  // The observer may be null; else it must outlive the membership.
  Membership(const Options& aOptions,
             Executor& aExecutor,
             GossipTransport& aTransport,
             MembershipObserver* aObserver);

  // Begins to send; call it once.
  void Start();

  // The host list's addresses: asked until they are members. It lags, so it
  // proves nothing.
  void SetSeeds(std::vector<PeerAddress> aSeeds);

  // What the others get to know of this member; false, and no change, if it
  // is longer than maxDigestBytes.
  bool SetDigest(std::string aDigest);

  // A datagram arrived.
  void OnMessage(std::string_view aBytes);

  // Tells a few peers that this member leaves; call it more than once during
  // a graceful shutdown, since datagrams get lost.
  void Leave();

  // All that is known, this member included.
  [[nodiscard]] std::vector<Member> Members() const;
  // A member, or null.
  [[nodiscard]] const Member* Find(const PeerAddress& aAddress) const;
  // The members that are not dead and have not left, this one included.
  [[nodiscard]] std::size_t LiveCount() const;

  // That of this member, as the others should know it.
  [[nodiscard]] Incarnation OwnIncarnation() const;

  // Whether that life of the address is known to be over for certain: it said
  // that it leaves, or a later one runs. Silence doesn't settle.
  [[nodiscard]] bool Settled(const PeerAddress& aAddress,
                             Incarnation aIncarnation) const;

  // Counters since the start; bytes of payload, without UDP and IP headers.
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
  struct Known
  {
    Member member;
    std::size_t sendsLeft = 0;  // of its newest change
    std::size_t urgentLeft = 0; // of its newest change but for the digest
    // It was heard to tell of a smaller incarnation than is known here.
    bool disputed = false;
    Timer timer; // suspicion or forgetting
  };
  struct Probe
  {
    PeerAddress target{};
    std::optional<PeerAddress> asker{}; // whom to tell of the answer
    std::uint64_t askerProbe = 0;
    Timer timer;
  };

  void Round();
  void AskSeed();
  void Ping(const PeerAddress& aPeer,
            const std::optional<PeerAddress>& aAsker,
            std::uint64_t aAskerProbe);
  void OnSilence(std::uint64_t aProbe);
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
  std::vector<Known*> Newest();
  void Merge(Member aMember);
  void MergeSelf(const Member& aMember);
  void Replace(Known& aKnown, Member aMember);
  [[nodiscard]] std::size_t Sends() const;
  void Queue(Known& aKnown);
  void SetTimer(Known& aKnown);
  std::optional<PeerAddress> NextPeer();
  std::vector<PeerAddress> RandomPeers(std::size_t aCount,
                                       const PeerAddress& aExcept);

  Options mOptions;
  Executor& mExecutor;
  GossipTransport& mTransport;
  MembershipObserver* mObserver;
  Random mRandom;
  std::map<PeerAddress, Known> mKnown;
  std::map<std::uint64_t, Probe> mProbes;
  std::uint64_t mNextProbe = 1;
  std::vector<PeerAddress> mOrder; // of the present turn through all peers
  std::vector<PeerAddress> mSeeds;
  std::uint64_t mMessagesSent = 0;
  std::uint64_t mBytesSent = 0;
  std::uint64_t mBytesReceived = 0;
  Timer mTimer;
};

} // namespace firefly::coord

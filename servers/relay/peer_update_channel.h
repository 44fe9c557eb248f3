#pragma once

// Exchanges updates between the relays over UDP: records that one of them read
// from the log, so that few relays need to read it, and notices of the prompts
// that it sends to engines and of backend servers that stopped responding, so
// that all can estimate the engines' load, what requests that crash backend
// servers have in common, and which software version a stream was sent to. A
// relay that a datagram does not reach reads the log
// itself, has a less accurate estimate, or learns it from the digests.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coord/keyed_feed.h"
#include "policy/backend_selector.h"
#include "policy/crash_correlator.h"
#include "policy/stream_origin/stream_origin_tracker.h"
#include "servers/duties/usage_messages.h"
#include "servers/gossip/gossip_socket.h"
#include "servers/relay/version_history_exchange.h"

namespace firefly {

// A log stream whose records the relays share.
enum class SharedFeed : std::uint8_t
{
  kBackends,
  kRouting,
};

// The result of a relay's read of a stream.
struct FeedUpdate
{
  SharedFeed feed = SharedFeed::kBackends;
  coord::FeedProgress progress;
  // The time since that relay sent its read, as stated by the message; empty if
  // the message does not cover all records that the log had then. Each sender
  // computes it from progress.readAt.
  std::optional<Duration> age{};
};

// The version of the routing table that a relay has.
struct RoutingUpdate
{
  std::uint64_t version = 0;
  // The offset after the table's record; 0 if unknown.
  coord::LogOffset next;
  // Size of the table's record; 0 if unknown.
  std::uint64_t bytes = 0;
  // IP address of the relay.
  std::string host;
};

// Encodes a read as datagrams, in order. They end before the first record that
// is too large for a datagram; the receivers read the rest from the log
// themselves. Only a datagram that ends where the read ends states the age.
std::vector<std::string>
EncodeFeedUpdate(const FeedUpdate& aUpdate);

// Returns nothing if the bytes are not a valid feed update.
std::optional<FeedUpdate>
DecodeFeedUpdate(std::string_view aBytes);

// Returns an instant that is not after the sending of a peer's read, from the
// age in its message and the last instant at which the receiving socket was
// empty, provided that the network delays a datagram by at most 500 ms. Empty
// if the message states no age.
std::optional<Instant>
ReadInstant(const FeedUpdate& aUpdate, Instant aEmptyAt);

std::string
EncodeRoutingUpdate(const RoutingUpdate& aUpdate);

// Returns nothing if the bytes are not a valid routing update.
std::optional<RoutingUpdate>
DecodeRoutingUpdate(std::string_view aBytes);

// A relay's read of a stream has failed or is overdue.
struct ReadFailure
{
  SharedFeed feed = SharedFeed::kBackends;
  // IP address of the relay.
  std::string host;
};

std::string
EncodeReadFailure(const ReadFailure& aFailure);

// Returns nothing if the bytes are not a valid read failure.
std::optional<ReadFailure>
DecodeReadFailure(std::string_view aBytes);

// Encodes that a stream was sent to a backend server.
std::string
EncodeStreamSend(const policy::StreamSend& aSend);

// Returns nothing if the bytes are not a valid send of a stream.
std::optional<policy::StreamSend>
DecodeStreamSend(std::string_view aBytes);

// Encodes a notice; only the longest prefixes of its prompt are included, and
// the age of what it says about a limit instead of an instant.
std::string
EncodeNotice(const policy::BackendNotice& aNotice, Instant aNow);

// Returns nothing if the bytes are not a valid notice.
std::optional<policy::BackendNotice>
DecodeNotice(std::string_view aBytes, Instant aNow);

// Encodes suspicions as datagrams, each with as many as fit.
std::vector<std::string>
EncodeCrashSuspicions(const std::vector<policy::CrashSuspicion>& aSuspicions);

// Returns nothing if the bytes are not valid crash suspicions.
std::optional<std::vector<policy::CrashSuspicion>>
DecodeCrashSuspicions(std::string_view aBytes);

// Encodes a datagram whose receiver is asked to forward aBytes to the other
// relays in its failure domain.
std::string
EncodeForwarded(const std::string& aBytes);

// Returns the bytes to forward, or nothing if the datagram is not of that kind.
std::optional<std::string>
DecodeForwarded(std::string_view aDatagram);

// The IP addresses that a message is sent to.
struct PeerTargets
{
  std::vector<std::string> direct;
  // Relays that forward it to the others in their failure domain, so that one
  // copy crosses to each domain.
  std::vector<std::string> forwarders{};
};

class PeerUpdateChannel
{
public:
  struct Options
  {
    std::string address;    // an IP address
    std::uint16_t port = 0; // UDP, the same on all hosts
    // Interval at which the socket is read without having received anything, so
    // that ages are precise on a quiet network; 0 means never.
    Duration socketCheck{};
  };
  // Callbacks for messages of the other relays. Datagrams that cannot be
  // decoded are ignored.
  struct Handlers
  {
    // Receives the update with its progress.readAt set.
    std::function<void(const FeedUpdate&)> onFeedUpdate;
    std::function<void(const ReadFailure&)> onReadFailure;
    // A forwarder is not expected to send the update on, but to announce the
    // table in its failure domain once it has it.
    std::function<void(const RoutingUpdate&, bool aIsForwarder)>
      onRoutingUpdate;
    std::function<void(const policy::BackendNotice&)> onNotice;
    std::function<void(const policy::StreamSend&)> onStreamSend;
    std::function<void(const VersionHistoryQuery&)> onVersionQuery;
    std::function<void(const policy::VersionHistory&)> onVersionHistory;
    std::function<void(const std::vector<policy::CrashSuspicion>&)>
      onCrashSuspicions;
    // Not set where the usage is not reported.
    std::function<void(const policy::HostUsage&)> onHostUsage{};
    std::function<void(const TimeMessage&)> onTime{};
    // Returns the IP addresses to which a forwarded message is sent on.
    std::function<std::vector<std::string>()> domainPeers;
  };

  PeerUpdateChannel(Options aOptions,
                    AsioExecutor& aExecutor,
                    Handlers aHandlers);

  // Opens the UDP port.
  tl::expected<void, GossipError> Start();

  // Sets the age of the update for each receiver from its progress.readAt.
  void Send(const FeedUpdate& aUpdate, const PeerTargets& aTargets);
  // Sets the host of the update to this relay's address.
  void Send(RoutingUpdate aUpdate, const PeerTargets& aTargets);
  void Send(const policy::BackendNotice& aNotice, const PeerTargets& aTargets);
  void Send(const policy::StreamSend& aSend, const PeerTargets& aTargets);
  // Asks the targets, which answer to this relay's address.
  void AskForVersions(const PeerTargets& aTargets);
  void Send(const policy::VersionHistory& aHistory,
            const PeerTargets& aTargets);
  void Send(const std::vector<policy::CrashSuspicion>& aSuspicions,
            const PeerTargets& aTargets);
  // Sets the host of the failure to this relay's address.
  void Send(ReadFailure aFailure, const PeerTargets& aTargets);
  void Send(const policy::HostUsage& aUsage, const PeerTargets& aTargets);
  void Send(const TimeMessage& aMessage, const PeerTargets& aTargets);

private:
  void OnDatagram(std::string_view aBytes);
  // Passes a message to its handler, and then to the others in the failure
  // domain if this relay is asked to forward it.
  void Deliver(std::string_view aBytes, bool aIsForwarder);
  void Forward(std::string_view aBytes, bool aIsForwarder);
  void SendTo(const std::string& aBytes, const PeerTargets& aTargets);
  void SendToAll(const std::string& aBytes,
                 const std::vector<std::string>& aHosts);

  Options mOptions;
  AsioExecutor& mExecutor;
  GossipSocket mSocket;
  Handlers mHandlers;
};

} // namespace firefly

#pragma once

// Tells whether this host is cut off from all backend servers, and which peer
// carries its connections meanwhile.
//
// The load it answers: some hosts, or all of a failure domain, lose their links
// to the backend servers for seconds, while their callers still reach them.
// Connections hang or are refused; old ones may live on. A host that fails to
// connect to several servers one after the other, and to none successfully, has
// lost its own link: a server that is down fails for itself only, and a
// successful connection in between shows that the link works.

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "core/random.h"

namespace firefly::policy {

// The IP address of a peer whose tunnel carries connections.
using TunnelPeer = StrongType<struct TunnelPeerTag, std::string>;

enum class TunnelOutcome : std::uint8_t
{
  kConnected,
  // The peer reaches the network, but not this backend server.
  kServerUnreachable,
  // The peer is cut off as well, or carries as many connections as it can.
  kRefused,
  kPeerUnreachable,
};

class ServerReach
{
public:
  struct Options
  {
    // A host is cut off if connections to this many backend servers, or to all
    // if there are fewer, fail and none succeeds.
    std::size_t minFailedServers = 3;
    // Failures count for this long.
    Duration failureMemory = std::chrono::seconds(2);
    // Connections that succeed in a row before the host connects directly
    // again. One may be a chance on a link that loses packets.
    std::size_t successesToReturn = 2;
    // A peer that did not help is not asked for this long, unless no other one
    // is left.
    Duration peerHoldoff = std::chrono::seconds(1);
    // A peer that helped within this time is preferred.
    Duration peerMemory = std::chrono::seconds(5);
    std::uint64_t seed = 1;
  };

  explicit ServerReach(Options aOptions);

  // A direct connection to a backend server was made, or could not be.
  // aServers is the number of backend servers that are known.
  void OnConnected(Instant aNow);
  void OnFailed(const BackendId& aBackend, std::size_t aServers, Instant aNow);

  // A connection that carried a request broke. The backend server may have
  // crashed, or the link was lost; the next connections tell.
  void OnBroken(Instant aNow);

  [[nodiscard]] bool IsCutOff() const { return mIsCutOff; }

  // Whether some connections have failed lately and none has succeeded since.
  // What the host believes of backend servers may then be wrong.
  [[nodiscard]] bool IsInDoubt(Instant aNow) const;

  // Picks the peer for a connection; empty if none is left. Hosts that are cut
  // off together pick different ones.
  [[nodiscard]] TunnelPeer PickPeer(const std::vector<std::string>& aPeers,
                                    Instant aNow);
  void OnTunnel(const TunnelPeer& aPeer, TunnelOutcome aOutcome, Instant aNow);

private:
  struct PeerRecord
  {
    Instant heldUntil{};
    Instant helpedUntil{};
  };

  void Forget(Instant aNow);

  Options mOptions;
  Random mRandom;
  bool mIsCutOff = false;
  std::size_t mSuccesses = 0;
  // When a connection broke, unless one was made since.
  std::optional<Instant> mBrokenAt;
  // When the last connection to each backend server failed.
  std::map<BackendId, Instant> mFailed;
  std::map<TunnelPeer, PeerRecord> mPeers;
};

} // namespace firefly::policy

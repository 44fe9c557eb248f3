#pragma once

// Tells the other relays what one of them read from the log, so that few read
// and all hear. A datagram that is lost costs its receiver a read of its own.

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coord/keyed_feed.h"
#include "servers/gossip/gossip_socket.h"

namespace firefly {

// The bytes of a read's progress, or nothing if they are too long for one
// datagram; then the others read themselves.
std::optional<std::string>
EncodeProgress(const coord::FeedProgress& aProgress);

// The progress of such bytes, or nothing if they are none.
std::optional<coord::FeedProgress>
DecodeProgress(std::string_view aBytes);

class FactExchange
{
public:
  struct Options
  {
    std::string address;    // an IP number
    std::uint16_t port = 0; // UDP, the same on all hosts
  };
  using Handler = std::function<void(const coord::FeedProgress&)>;

  FactExchange(Options aOptions, AsioExecutor& aExecutor, Handler aHandler);

  // Opens the UDP port.
  tl::expected<void, GossipError> Start();

  // Tells the hosts of these IP numbers.
  void Tell(const coord::FeedProgress& aProgress,
            const std::vector<std::string>& aHosts);

private:
  Options mOptions;
  GossipSocket mSocket;
  Handler mHandler;
};

} // namespace firefly

#pragma once

// Tells the other relays what one of them read from the log, so that few read
// and all hear, and which prompts it sends to engines, so that all know how
// busy these are. A datagram that is lost costs its receiver a read of its own,
// or a worse guess.

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coord/keyed_feed.h"
#include "policy/backend_selector.h"
#include "servers/gossip/gossip_socket.h"

namespace firefly {

// The bytes of a read's progress, or nothing if they are too long for one
// datagram; then the others read themselves.
std::optional<std::string>
EncodeProgress(const coord::FeedProgress& aProgress);

// The progress of such bytes, or nothing if they are none.
std::optional<coord::FeedProgress>
DecodeProgress(std::string_view aBytes);

// The bytes of what is told of a backend server.
std::string
EncodeNotice(const policy::BackendNotice& aNotice);

// The notice of such bytes, or nothing if they are none.
std::optional<policy::BackendNotice>
DecodeNotice(std::string_view aBytes);

class FactExchange
{
public:
  struct Options
  {
    std::string address;    // an IP number
    std::uint16_t port = 0; // UDP, the same on all hosts
  };
  // What the other relays tell.
  struct Handlers
  {
    std::function<void(const coord::FeedProgress&)> onProgress;
    std::function<void(const policy::BackendNotice&)> onNotice;
  };

  FactExchange(Options aOptions, AsioExecutor& aExecutor, Handlers aHandlers);

  // Opens the UDP port.
  tl::expected<void, GossipError> Start();

  // Tells the hosts of these IP numbers.
  void Tell(const coord::FeedProgress& aProgress,
            const std::vector<std::string>& aHosts);
  void Tell(const policy::BackendNotice& aNotice,
            const std::vector<std::string>& aHosts);

private:
  void SendAll(const std::string& aBytes,
               const std::vector<std::string>& aHosts);

  Options mOptions;
  GossipSocket mSocket;
  Handlers mHandlers;
};

} // namespace firefly

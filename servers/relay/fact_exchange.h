#pragma once

// Tells the other relays what one of them read from the log, so that few read
// and all hear, and which prompts it sends to engines, so that all know how
// busy these are. A datagram that is lost costs its receiver a read of its own,
// or a worse guess.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coord/keyed_feed.h"
#include "policy/backend_selector.h"
#include "servers/gossip/gossip_socket.h"

namespace firefly {

// A stream that relays read for each other.
enum class SharedFeed : std::uint8_t
{
  kBackends,
  kRouting,
};

// What a relay read of a stream.
struct SharedProgress
{
  SharedFeed feed = SharedFeed::kBackends;
  coord::FeedProgress progress;
};

// A relay has that routing table.
struct RoutingNews
{
  std::uint64_t version = 0;
  // Before which its record ends; 0 if it is not known.
  coord::LogOffset next;
  // Of its record; 0 if it is not known.
  std::uint64_t bytes = 0;
  // The relay's IP number.
  std::string host;
};

// The datagrams that tell of a read, in order. A record that fits into none
// ends them; the others miss what follows and read it themselves.
std::vector<std::string>
EncodeProgress(const SharedProgress& aProgress);

// The progress of such bytes, or nothing if they are none.
std::optional<SharedProgress>
DecodeProgress(std::string_view aBytes);

// The bytes of news of the routing table.
std::string
EncodeRoutingNews(const RoutingNews& aNews);

// The news of such bytes, or nothing if they are none.
std::optional<RoutingNews>
DecodeRoutingNews(std::string_view aBytes);

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
    std::function<void(const SharedProgress&)> onProgress;
    std::function<void(const RoutingNews&)> onRouting;
    std::function<void(const policy::BackendNotice&)> onNotice;
  };

  FactExchange(Options aOptions, AsioExecutor& aExecutor, Handlers aHandlers);

  // Opens the UDP port.
  tl::expected<void, GossipError> Start();

  // Tells the hosts of these IP numbers.
  void Tell(const SharedProgress& aProgress,
            const std::vector<std::string>& aHosts);
  // The news' host is filled in.
  void Tell(RoutingNews aNews, const std::vector<std::string>& aHosts);
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

#pragma once

// Serves requests of other processes of the system over HTTP/2.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <tl/expected.hpp>

#include "servers/http/asio_executor.h"
#include "servers/link/link_message.h"

namespace firefly {

// Why the server could not be started.
struct LinkServerError
{
  std::string message;
};

// Listens on one address. All callbacks run on the executor.
class LinkServer
{
public:
  // Replies to one request. Further calls for the same request and calls after
  // the connection is closed have no effect. If it is never called, the caller
  // runs into its timeout.
  using Reply = std::function<void(LinkReply)>;
  using Handler =
    std::function<void(std::string aPath, std::string aBody, Reply aReply)>;

  struct Options
  {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; // 0 selects a free port
    std::size_t maxBodyBytes = 1U << 20U;
    std::uint32_t maxStreams = 1024; // per connection
    std::size_t maxConnections = 1024;
    Duration pingInterval = std::chrono::seconds(5);
    Duration pingTimeout = std::chrono::seconds(5);
  };

  LinkServer(AsioExecutor& aExecutor, Options aOptions, Handler aHandler);
  ~LinkServer();
  LinkServer(const LinkServer&) = delete;
  LinkServer& operator=(const LinkServer&) = delete;

  // Opens the port; the error names the address.
  tl::expected<void, LinkServerError> Start();

  // The port on which the server listens.
  [[nodiscard]] std::uint16_t Port() const;

  // Closes the port and all connections.
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace firefly

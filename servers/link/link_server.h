#pragma once

// Answers the calls of the system's other processes over HTTP/2.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <tl/expected.hpp>

#include "servers/http/asio_executor.h"
#include "servers/link/link_message.h"

namespace firefly {

// Why a server could not be started.
struct LinkServerError
{
  std::string message;
};

// Serves one address. All callbacks run on the executor.
class LinkServer
{
public:
  // Answers one request; later calls and calls after the connection is gone
  // have no effect. A reply that is never made leaves the caller to its
  // timeout.
  using Reply = std::function<void(LinkReply)>;
  using Handler =
    std::function<void(std::string aPath, std::string aBody, Reply aReply)>;

  struct Options
  {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; // 0 takes a free port
    std::size_t maxBodyBytes = 1U << 20U;
    std::uint32_t maxStreams = 1024; // for each connection
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

  // The port that is served.
  [[nodiscard]] std::uint16_t Port() const;

  // Closes the port and all connections.
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace firefly

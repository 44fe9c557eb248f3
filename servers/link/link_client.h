#pragma once

// Calls to another process of the system over one persistent HTTP/2
// connection. The connection is opened at the first call, and again at the next
// call after it was lost.

#include <cstdint>
#include <memory>
#include <string>

#include "servers/http/asio_executor.h"
#include "servers/link/link_message.h"

namespace firefly {

class LinkClient
{
public:
  struct Options
  {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    Duration connectTimeout = std::chrono::seconds(1);
    Duration pingInterval = std::chrono::seconds(2);
    Duration pingTimeout = std::chrono::seconds(2);
    // After a failed connect, calls fail at once for this time. It starts at
    // the first value and doubles with each failure up to the second.
    Duration firstBackoff = std::chrono::milliseconds(50);
    Duration maxBackoff = std::chrono::seconds(2);
    std::size_t maxCalls =
      1024; // maximum outstanding; further calls fail as not sent
    std::size_t maxBodyBytes = 1U << 20U;
  };

  LinkClient(AsioExecutor& aExecutor, Options aOptions);

  // Cancels outstanding calls without running their callbacks.
  ~LinkClient();
  LinkClient(const LinkClient&) = delete;
  LinkClient& operator=(const LinkClient&) = delete;

  // Sends a request. The callback runs exactly once on the executor, within the
  // timeout and never inside this call, unless the client is destroyed first.
  void Call(std::string aPath,
            std::string aBody,
            Duration aTimeout,
            LinkCallback aCallback);

  // The number of calls without a reply.
  [[nodiscard]] std::size_t Outstanding() const;

private:
  class Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace firefly

#pragma once

// Socket options that detect connections whose other end no longer responds.

#include <asio/ip/tcp.hpp>

#include "core/clock.h"

namespace firefly {

struct LivenessOptions
{
  // The connection fails if sent bytes stay unacknowledged for this time. Zero
  // keeps the default of the system.
  Duration ackTimeout{};
  // Keep-alive probes are sent on a connection that was idle for this time, and
  // then once a second. Zero sends none.
  std::chrono::seconds keepAliveIdle{ 0 };
};

// Disables Nagle's algorithm and sets the timeouts. If the kernel rejects an
// option, its error is returned and the further options are not set. The
// connection stays usable, so that the caller may ignore the error.
asio::error_code
SetSocketOptions(asio::ip::tcp::socket& aSocket,
                 const LivenessOptions& aLiveness);

} // namespace firefly

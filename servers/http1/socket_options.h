#pragma once

// Socket options that find connections which went silent for good.

#include <asio/ip/tcp.hpp>

#include "core/clock.h"

namespace firefly {

struct LivenessOptions
{
  // Sent bytes that no acknowledgement follows end the connection after this.
  Duration unacknowledged{};
  // An idle connection is probed after this; in whole seconds.
  std::chrono::seconds probeAfter{ 0 };
};

// Sends small writes at once and sets the time-outs; what the kernel refuses
// leaves the connection usable, so that the error is only returned.
asio::error_code
SetSocketOptions(asio::ip::tcp::socket& aSocket,
                 const LivenessOptions& aLiveness);

} // namespace firefly

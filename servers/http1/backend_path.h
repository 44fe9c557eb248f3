#pragma once

// How new connections to backend servers are made: directly, or through a
// tunnel of a peer (CONNECT, RFC 9110 section 9.3.6) while this host reaches no
// backend server itself.

#include <string>

#include "core/ids.h"
#include "policy/reach/server_reach.h"

namespace firefly {

class BackendPath
{
public:
  virtual ~BackendPath() = default;

  // Whether new connections go through peers.
  [[nodiscard]] virtual bool UsesTunnels() const = 0;

  // The address of the tunnel for the next connection, such as
  // "10.0.0.1:8141"; empty if it is to be made directly.
  virtual std::string PickTunnel() = 0;

  // A direct connection was made, or could not be.
  virtual void OnDirect(const BackendId& aBackend, bool aIsConnected) = 0;

  // A direct connection broke while it carried a request.
  virtual void OnBroken() = 0;

  // A connection through the tunnel was made, or could not be.
  virtual void OnTunnel(const std::string& aTunnel,
                        policy::TunnelOutcome aOutcome) = 0;
};

} // namespace firefly

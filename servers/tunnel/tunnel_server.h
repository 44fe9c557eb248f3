#pragma once

// Connects peers that reach no backend server to the backend servers: answers
// CONNECT requests (RFC 9110, section 9.3.6) and passes the bytes of both sides
// on. A tunnel always connects directly, so that there is never a second hop.

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include <tl/expected.hpp>

#include "servers/http/asio_executor.h"

namespace firefly {

// Decides which tunnels are opened.
class TunnelPolicy
{
public:
  virtual ~TunnelPolicy() = default;

  // Whether a live peer has this IP address. Nobody else may open a tunnel.
  [[nodiscard]] virtual bool IsPeer(const std::string& aIp) const = 0;

  // Whether a known backend server has this address, such as
  // "10.0.0.1:8080".
  [[nodiscard]] virtual bool IsBackend(const std::string& aAddress) const = 0;

  // Whether this host is cut off from the backend servers itself.
  [[nodiscard]] virtual bool IsCutOff() const = 0;

  // A tunnel's connection to a backend server was made, or could not be.
  virtual void OnDialled(const std::string& aAddress, bool aIsConnected) = 0;
};

class TunnelServer
{
public:
  struct Options
  {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::size_t maxTunnels = 200;
    Duration connectTimeout = std::chrono::milliseconds(300);
    // A connection to a backend server that does not acknowledge sent bytes for
    // this long ends.
    Duration ackTimeout = std::chrono::milliseconds(700);
  };

  // The executor and the policy must outlive the server.
  TunnelServer(AsioExecutor& aExecutor,
               Options aOptions,
               TunnelPolicy& aPolicy);
  ~TunnelServer();
  TunnelServer(const TunnelServer&) = delete;
  TunnelServer& operator=(const TunnelServer&) = delete;

  // Opens the port. The error message contains the address.
  tl::expected<void, std::string> Start();

  // Opens no further tunnels, because the process ends soon; those that are
  // open continue.
  void Close();

  [[nodiscard]] std::uint16_t Port() const;
  [[nodiscard]] std::size_t TunnelCount() const;

private:
  class Impl;
  class Tunnel;
  std::shared_ptr<Impl> mImpl;
};

} // namespace firefly

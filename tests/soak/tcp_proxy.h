#pragma once

// A TCP proxy on loopback that misbehaves as a network does: it delays,
// silences one or both ways, refuses and resets.

#include <array>
#include <cstdint>
#include <list>
#include <memory>
#include <string>

#include <asio/ip/tcp.hpp>

#include "core/random.h"
#include "servers/http/asio_executor.h"

namespace firefly::soak {

struct ProxyFaults
{
  // Bytes wait so long, each way.
  Duration delay{};
  // Nothing passes to the server, or back from it; it passes when this ends.
  bool silentToServer = false;
  bool silentFromServer = false;
  // New connections are reset.
  bool refuse = false;
};

class TcpProxy
{
public:
  // Forwards to that port of loopback.
  TcpProxy(AsioExecutor& aExecutor,
           std::string aTargetHost,
           std::uint16_t aTargetPort,
           std::uint64_t aSeed);
  ~TcpProxy();
  TcpProxy(const TcpProxy&) = delete;
  TcpProxy& operator=(const TcpProxy&) = delete;

  [[nodiscard]] std::uint16_t Port() const { return mPort; }

  void SetFaults(const ProxyFaults& aFaults);

  // Resets that part of the open connections.
  void Reset(double aPart);

  // That part of the open connections passes nothing any more; new ones do.
  void Lose(double aPart);

  [[nodiscard]] std::size_t Connections() const { return mLinks.size(); }

private:
  class Link;

  void Accept();

  AsioExecutor& mExecutor;
  std::string mTargetHost;
  std::uint16_t mTargetPort;
  Random mRandom;
  asio::ip::tcp::acceptor mAcceptor;
  std::uint16_t mPort = 0;
  std::shared_ptr<ProxyFaults> mFaults = std::make_shared<ProxyFaults>();
  std::list<std::weak_ptr<Link>> mLinks;
};

} // namespace firefly::soak

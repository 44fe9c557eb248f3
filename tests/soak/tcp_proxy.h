#pragma once

// A TCP proxy on loopback that simulates network faults: delays, silence in one
// or both directions, and resets of new and open connections.

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
  // The delay of bytes in each direction.
  Duration delay{};
  // Bytes to or from the server are held back until this is switched off.
  bool silentToServer = false;
  bool silentFromServer = false;
  // Each new connection is reset.
  bool resetNewConnections = false;
};

class TcpProxy
{
public:
  // Listens on a free loopback port and forwards connections to the target.
  TcpProxy(AsioExecutor& aExecutor,
           std::string aTargetHost,
           std::uint16_t aTargetPort,
           std::uint64_t aSeed);
  ~TcpProxy();
  TcpProxy(const TcpProxy&) = delete;
  TcpProxy& operator=(const TcpProxy&) = delete;

  [[nodiscard]] std::uint16_t Port() const { return mPort; }

  void SetFaults(const ProxyFaults& aFaults);

  // Before this share, 0 to 1, of the answers after the first on a connection,
  // the former answer is sent once more, as a faulty server does. The share
  // holds whatever other faults there are.
  void RepeatAnswers(double aShare) { *mRepeatShare = aShare; }

  // Resets a random share, 0 to 1, of the open connections.
  void Reset(double aShare);

  // A random share, 0 to 1, of the open connections forwards no further bytes
  // but stays open. New connections work.
  void Blackhole(double aShare);

  [[nodiscard]] std::size_t Connections() const { return mConnections.size(); }

private:
  class Connection;

  void Accept();

  AsioExecutor& mExecutor;
  std::string mTargetHost;
  std::uint16_t mTargetPort;
  std::uint64_t mSeed;
  std::uint64_t mAccepted = 0;
  Random mRandom;
  asio::ip::tcp::acceptor mAcceptor;
  std::uint16_t mPort = 0;
  std::shared_ptr<ProxyFaults> mFaults = std::make_shared<ProxyFaults>();
  std::shared_ptr<double> mRepeatShare = std::make_shared<double>(0);
  std::list<std::weak_ptr<Connection>> mConnections;
};

} // namespace firefly::soak

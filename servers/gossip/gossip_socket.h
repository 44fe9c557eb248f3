#pragma once

// The UDP socket of the membership protocol and of updates between relays.

#include <array>
#include <functional>
#include <string>
#include <string_view>

#include <asio/ip/udp.hpp>
#include <tl/expected.hpp>

#include "coord/membership.h"
#include "servers/http/asio_executor.h"

namespace firefly {

// Why the socket could not be opened.
struct GossipError
{
  std::string message;
};

class GossipSocket : public coord::GossipTransport
{
public:
  using Handler = std::function<void(std::string_view)>;

  explicit GossipSocket(AsioExecutor& aExecutor);
  ~GossipSocket() override;
  GossipSocket(const GossipSocket&) = delete;
  GossipSocket& operator=(const GossipSocket&) = delete;

  // Opens the port; each received datagram is passed to the handler. The bytes
  // are valid only during that call.
  tl::expected<void, GossipError> Open(const std::string& aAddress,
                                       std::uint16_t aPort,
                                       Handler aHandler);

  // Reads the socket at this interval also if no datagram arrives, so that
  // EmptyAt() is not much older than the next datagram.
  void CheckPeriodically(Duration aInterval);

  // The last instant at which no datagram waited in the socket. During a call
  // of the handler, its datagram has arrived after that instant. The time at
  // which a datagram is read says nothing about its arrival, since it may have
  // waited in the socket while this process was stopped.
  [[nodiscard]] Instant EmptyAt() const { return mEmptyAt; }

  // Sends without waiting; a datagram is lost without notice if the kernel does
  // not accept it or if the address is invalid.
  void Send(const coord::PeerAddress& aPeer, std::string aBytes) override;

private:
  void WaitForDatagrams();
  // Reads the datagrams that wait in the socket, up to a maximum number.
  void ReadDatagrams();
  void ScheduleCheck();

  static constexpr std::size_t kMaxDatagramBytes = 65536;

  AsioExecutor& mExecutor;
  asio::ip::udp::socket mSocket;
  Handler mHandler;
  std::array<char, kMaxDatagramBytes> mBuffer{};
  Instant mEmptyAt{};
  Duration mCheckInterval{};
  Timer mCheckTimer;
};

// Joins an IP address and a port, for example to "10.0.0.1:7400".
coord::PeerAddress
MakePeerAddress(const std::string& aAddress, std::uint16_t aPort);

} // namespace firefly

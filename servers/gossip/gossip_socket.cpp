#include "servers/gossip/gossip_socket.h"

#include <utility>

#include <asio/buffer.hpp>
#include <asio/ip/address.hpp>

#include "servers/http/socket_address.h"

namespace firefly {

namespace {

using asio::ip::udp;

} // namespace

GossipSocket::GossipSocket(AsioExecutor& aExecutor)
  : mSocket(aExecutor.Context())
{
}

GossipSocket::~GossipSocket()
{
  asio::error_code ec;
  mSocket.close(ec);
}

tl::expected<void, GossipError>
GossipSocket::Open(const std::string& aAddress,
                   std::uint16_t aPort,
                   Handler aHandler)
{
  asio::error_code ec;
  const auto address = asio::ip::make_address(aAddress, ec);
  if (!ec) {
    mSocket.open(address.is_v6() ? udp::v6() : udp::v4(), ec);
  }
  if (!ec) {
    mSocket.bind(udp::endpoint(address, aPort), ec);
  }
  if (!ec) {
    mSocket.non_blocking(true, ec);
  }
  if (ec) {
    return tl::unexpected(GossipError{ aAddress + ":" + std::to_string(aPort) +
                                       " (UDP): " + ec.message() });
  }
  mHandler = std::move(aHandler);
  Receive();
  return {};
}

void
GossipSocket::Receive()
{
  mSocket.async_receive_from(
    asio::buffer(mBuffer),
    mFrom,
    [this](const asio::error_code& aCode, std::size_t aBytes) {
      if (aCode == asio::error::operation_aborted) {
        return;
      }
      if (!aCode) {
        mHandler({ mBuffer.data(), aBytes });
      }
      Receive();
    });
}

void
GossipSocket::Send(const coord::PeerAddress& aPeer, std::string aBytes)
{
  const auto address = ParseSocketAddress(aPeer.Value());
  if (!address) {
    return;
  }
  asio::error_code ec;
  mSocket.send_to(
    asio::buffer(aBytes), udp::endpoint(address->Ip(), address->port), 0, ec);
}

coord::PeerAddress
MakePeerAddress(const std::string& aAddress, std::uint16_t aPort)
{
  return coord::PeerAddress(aAddress + ":" + std::to_string(aPort));
}

} // namespace firefly

#include "servers/gossip/gossip_socket.h"

#include <charconv>
#include <optional>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/ip/address.hpp>

namespace firefly {

namespace {

using asio::ip::udp;

std::optional<udp::endpoint>
ParseEndpoint(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  std::uint16_t port = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data() + colon + 1, end, port);
  asio::error_code ec;
  const auto address = asio::ip::make_address(aText.substr(0, colon), ec);
  if (ec || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return udp::endpoint(address, port);
}

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
  const auto endpoint = ParseEndpoint(aPeer.Value());
  if (!endpoint) {
    return;
  }
  asio::error_code ec;
  mSocket.send_to(asio::buffer(aBytes), *endpoint, 0, ec);
}

coord::PeerAddress
MakePeerAddress(const std::string& aAddress, std::uint16_t aPort)
{
  return coord::PeerAddress(aAddress + ":" + std::to_string(aPort));
}

} // namespace firefly

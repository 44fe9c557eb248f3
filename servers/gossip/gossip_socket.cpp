#include "servers/gossip/gossip_socket.h"

#include <utility>

#include <asio/buffer.hpp>
#include <asio/ip/address.hpp>

#include "servers/http/socket_address.h"

namespace firefly {

namespace {

using asio::ip::udp;

// Maximum number of datagrams that are read in a row, so that a flood of them
// does not keep other callbacks from running.
constexpr int kMaxBatch = 64;

} // namespace

GossipSocket::GossipSocket(AsioExecutor& aExecutor)
  : mExecutor(aExecutor)
  , mSocket(aExecutor.Context())
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
  // Nothing can arrive before the socket is bound.
  mEmptyAt = mExecutor.Now();
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
  WaitForDatagrams();
  return {};
}

void
GossipSocket::WaitForDatagrams()
{
  mSocket.async_wait(udp::socket::wait_read,
                     [this](const asio::error_code& aCode) {
                       if (aCode == asio::error::operation_aborted) {
                         return;
                       }
                       ReadDatagrams();
                       WaitForDatagrams();
                     });
}

void
GossipSocket::ReadDatagrams()
{
  for (int i = 0; i < kMaxBatch; ++i) {
    // Taken before the read: the process may be stopped between the two, and
    // datagrams may arrive after the read.
    const auto now = mExecutor.Now();
    udp::endpoint from;
    asio::error_code ec;
    const auto n = mSocket.receive_from(asio::buffer(mBuffer), from, 0, ec);
    if (ec == asio::error::would_block) {
      mEmptyAt = now;
      return;
    }
    if (!ec) {
      mHandler({ mBuffer.data(), n });
    }
  }
}

void
GossipSocket::CheckPeriodically(Duration aInterval)
{
  mCheckInterval = aInterval;
  ScheduleCheck();
}

void
GossipSocket::ScheduleCheck()
{
  mCheckTimer = mExecutor.RunAfter(mCheckInterval, [this] {
    ReadDatagrams();
    ScheduleCheck();
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

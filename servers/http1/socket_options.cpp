#include "servers/http1/socket_options.h"

#include <cerrno>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace firefly {

namespace {

asio::error_code
SetInteger(int aSocket, int aLevel, int aName, int aValue)
{
  if (setsockopt(aSocket, aLevel, aName, &aValue, sizeof(aValue)) == 0) {
    return {};
  }
  return { errno, asio::error::get_system_category() };
}

} // namespace

asio::error_code
SetSocketOptions(asio::ip::tcp::socket& aSocket,
                 const LivenessOptions& aLiveness)
{
  asio::error_code ec;
  aSocket.set_option(asio::ip::tcp::no_delay(true), ec);
  const auto fd = aSocket.native_handle();
  if (!ec && aLiveness.ackTimeout > Duration::zero()) {
    const auto limit = std::chrono::duration_cast<std::chrono::milliseconds>(
      aLiveness.ackTimeout);
    ec = SetInteger(
      fd, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(limit.count()));
  }
  if (!ec && aLiveness.keepAliveIdle.count() > 0) {
    const auto seconds = static_cast<int>(aLiveness.keepAliveIdle.count());
    ec = SetInteger(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    ec = ec ? ec : SetInteger(fd, IPPROTO_TCP, TCP_KEEPIDLE, seconds);
    ec = ec ? ec : SetInteger(fd, IPPROTO_TCP, TCP_KEEPINTVL, 1);
  }
  return ec;
}

} // namespace firefly

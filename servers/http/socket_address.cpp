#include "servers/http/socket_address.h"

#include <charconv>

namespace firefly {

std::string
SocketAddress::ToString() const
{
  return host + ":" + std::to_string(port);
}

asio::ip::address
SocketAddress::Ip() const
{
  asio::error_code ec;
  return asio::ip::make_address(host, ec);
}

std::optional<SocketAddress>
ParseSocketAddress(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  SocketAddress address{ .host = aText.substr(0, colon) };
  const char* end = aText.data() + aText.size();
  const auto parsed =
    std::from_chars(aText.data() + colon + 1, end, address.port);
  if (address.Ip().is_unspecified() || parsed.ec != std::errc() ||
      parsed.ptr != end) {
    return std::nullopt;
  }
  return address;
}

} // namespace firefly

#pragma once

// An IP address and a port.

#include <cstdint>
#include <optional>
#include <string>

#include <asio/ip/address.hpp>

namespace firefly {

struct SocketAddress
{
  std::string host; // an IP address
  std::uint16_t port = 0;

  // "10.0.0.1:8080"
  [[nodiscard]] std::string ToString() const;

  // The IP address as asio's type; the unspecified address if the host is not
  // an IP address.
  [[nodiscard]] asio::ip::address Ip() const;
};

// Parses a text such as "10.0.0.1:8080"; nothing if it is malformed
// or the address is the unspecified one (0.0.0.0 or ::).
std::optional<SocketAddress>
ParseSocketAddress(const std::string& aText);

} // namespace firefly

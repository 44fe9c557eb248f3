#pragma once

// An IP number and a port.

#include <cstdint>
#include <optional>
#include <string>

#include <asio/ip/address.hpp>

namespace firefly {

struct SocketAddress
{
  std::string host; // an IP number
  std::uint16_t port = 0;

  // "10.0.0.1:8080"
  [[nodiscard]] std::string Text() const;

  // The IP number as asio's type; unspecified if it is none.
  [[nodiscard]] asio::ip::address Ip() const;
};

// The address of a text such as "10.0.0.1:8080", or nothing.
std::optional<SocketAddress>
ParseSocketAddress(const std::string& aText);

} // namespace firefly

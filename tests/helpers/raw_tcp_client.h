#pragma once

// A TCP client for tests that sends raw bytes and stores all received bytes.

#include <array>
#include <memory>
#include <string>
#include <string_view>

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include "servers/http/asio_executor.h"

namespace firefly::testing {

class RawTcpClient
{
public:
  RawTcpClient(AsioExecutor& aExecutor,
               std::uint16_t aPort,
               const std::string& aAddress = "127.0.0.1")
    : mState(std::make_shared<State>(aExecutor))
  {
    mState->socket.connect({ asio::ip::make_address(aAddress), aPort });
    Read(mState);
  }

  void Send(std::string_view aBytes)
  {
    asio::write(mState->socket, asio::buffer(aBytes));
  }

  void Close()
  {
    asio::error_code ec;
    mState->socket.close(ec);
  }

  [[nodiscard]] const std::string& Received() const { return mState->received; }
  [[nodiscard]] bool IsClosed() const { return mState->ended; }
  [[nodiscard]] bool HasReceived(std::string_view aText) const
  {
    return Received().find(aText) != std::string::npos;
  }

private:
  struct State
  {
    explicit State(AsioExecutor& aExecutor)
      : socket(aExecutor.Context())
    {
    }
    asio::ip::tcp::socket socket;
    std::array<char, 4096> buffer{};
    std::string received;
    bool ended = false;
  };

  static void Read(const std::shared_ptr<State>& aState)
  {
    aState->socket.async_read_some(
      asio::buffer(aState->buffer),
      [aState](const asio::error_code& aCode, std::size_t aBytes) {
        aState->received.append(aState->buffer.data(), aBytes);
        aState->ended = static_cast<bool>(aCode);
        if (!aCode) {
          Read(aState);
        }
      });
  }

  std::shared_ptr<State> mState;
};

} // namespace firefly::testing

#pragma once

// A server on loopback that answers before it has read the request, and resets
// the connection or ends it in an orderly way while the request is still being
// sent.

#include <memory>
#include <string>

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include "servers/http/asio_executor.h"

namespace firefly::testing {

class EarlyAnswerServer
{
public:
  enum class End : std::uint8_t
  {
    kReset,
    // Ends its own direction and reads on.
    kOrderly,
  };

  EarlyAnswerServer(AsioExecutor& aExecutor,
                    std::string aAnswer,
                    End aEnd,
                    Duration aPause = std::chrono::milliseconds(50))
    : mAnswer(std::move(aAnswer))
    , mEnd(aEnd)
    , mPause(aPause)
    , mAcceptor(aExecutor.Context(), { asio::ip::address_v4::loopback(), 0 })
  {
    Accept();
  }

  [[nodiscard]] std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }

private:
  struct Connection
  {
    explicit Connection(const asio::any_io_executor& aExecutor)
      : socket(aExecutor)
      , timer(aExecutor)
    {
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::string buffer = std::string(std::size_t{ 64 } << 10U, '\0');
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  void Accept()
  {
    auto connection = std::make_shared<Connection>(mAcceptor.get_executor());
    mAcceptor.async_accept(connection->socket,
                           [this, connection](const asio::error_code& aCode) {
                             if (!aCode) {
                               Answer(connection);
                               Accept();
                             }
                           });
  }

  void Answer(const ConnectionPtr& aConnection)
  {
    aConnection->socket.async_read_some(
      asio::buffer(aConnection->buffer),
      [this, aConnection](const asio::error_code& aCode, std::size_t) {
        if (aCode) {
          return;
        }
        asio::write(aConnection->socket, asio::buffer(mAnswer));
        // The buffers of the sender may fill meanwhile.
        aConnection->timer.expires_after(mPause);
        aConnection->timer.async_wait(
          [this, aConnection](const asio::error_code&) {
            Finish(aConnection);
          });
      });
  }

  void Finish(const ConnectionPtr& aConnection)
  {
    asio::error_code ec;
    if (mEnd == End::kReset) {
      aConnection->socket.set_option(asio::socket_base::linger(true, 0), ec);
      aConnection->socket.close(ec);
      return;
    }
    aConnection->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    ReadOn(aConnection);
  }

  static void ReadOn(const ConnectionPtr& aConnection)
  {
    aConnection->socket.async_read_some(
      asio::buffer(aConnection->buffer),
      [aConnection](const asio::error_code& aCode, std::size_t) {
        if (!aCode) {
          ReadOn(aConnection);
        }
      });
  }

  std::string mAnswer;
  End mEnd;
  Duration mPause;
  asio::ip::tcp::acceptor mAcceptor;
};

} // namespace firefly::testing

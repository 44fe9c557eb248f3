#include "tests/helpers/scripted_backend.h"

#include <array>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

namespace firefly::testing {

namespace {

using asio::ip::tcp;

} // namespace

class ScriptedBackend::Impl : public std::enable_shared_from_this<Impl>
{
public:
  Impl(AsioExecutor& aExecutor, Script aScript)
    : acceptor(aExecutor.Context(),
               tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , executor(aExecutor)
    , script(std::move(aScript))
  {
  }

  void Accept()
  {
    acceptor.async_accept(
      [self = shared_from_this()](const asio::error_code& aCode,
                                  tcp::socket aSocket) {
        if (!aCode) {
          self->connections++;
          std::make_shared<Connection>(self, std::move(aSocket))->Read();
          self->Accept();
        }
      });
  }

  tcp::acceptor acceptor;
  AsioExecutor& executor;
  Script script;
  std::vector<ScriptedRequest> requests;
  std::size_t connections = 0;
  std::size_t ended = 0;
  std::size_t trickled = 0;

private:
  class Connection : public std::enable_shared_from_this<Connection>
  {
  public:
    Connection(std::shared_ptr<Impl> aOwner, tcp::socket aSocket)
      : mOwner(std::move(aOwner))
      , mSocket(std::move(aSocket))
      , mNumber(mOwner->connections)
    {
    }

    void Read()
    {
      mIsReading = true;
      mSocket.async_read_some(
        asio::buffer(mBuffer),
        [self = shared_from_this()](const asio::error_code& aCode,
                                    std::size_t aBytes) {
          self->mIsReading = false;
          if (aCode) {
            self->mOwner->ended++;
            self->mTrickleTimer.Cancel();
          } else if (self->mReader.Feed({ self->mBuffer.data(), aBytes })) {
            self->Answer();
          }
        });
    }

  private:
    void Answer()
    {
      if (!mReader.Done()) {
        Read();
        return;
      }
      mOwner->requests.push_back(
        { mReader.Head(), mReader.TakeBody(), mNumber });
      mReader.Next();
      mReply = mOwner->script(mOwner->requests.back());
      // Not a blocking write: the peer may be read on the same thread.
      asio::async_write(mSocket,
                        asio::buffer(mReply.bytes),
                        [self = shared_from_this()](
                          const asio::error_code& /*aCode*/,
                          std::size_t /*aBytes*/) { self->OnWritten(); });
    }

    void OnWritten()
    {
      asio::error_code ec;
      if (mReply.after == AfterReply::kReset) {
        mSocket.set_option(asio::socket_base::linger(true, 0), ec);
      }
      if (mReply.after != AfterReply::kKeep) {
        mSocket.close(ec);
        return;
      }
      if (!mReply.trickle.empty()) {
        mTrickleTimer = mOwner->executor.RunAfter(
          mReply.trickleInterval, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
              self->Trickle();
            }
          });
      }
      if (!mIsReading) {
        Read();
      }
    }

    void Trickle()
    {
      asio::async_write(mSocket,
                        asio::buffer(mReply.trickle),
                        [self = shared_from_this()](
                          const asio::error_code& aCode, std::size_t aBytes) {
                          self->mOwner->trickled += aBytes;
                          if (!aCode) {
                            self->OnWritten();
                          }
                        });
    }

    std::shared_ptr<Impl> mOwner;
    tcp::socket mSocket;
    std::size_t mNumber;
    MessageReader mReader{ { .side = MessageReader::Side::kRequests } };
    ScriptedReply mReply;
    Timer mTrickleTimer;
    bool mIsReading = false;
    std::array<char, 4096> mBuffer{};
  };
};

ScriptedBackend::ScriptedBackend(AsioExecutor& aExecutor, Script aScript)
  : mImpl(std::make_shared<Impl>(aExecutor, std::move(aScript)))
{
  mImpl->Accept();
}

ScriptedBackend::~ScriptedBackend()
{
  asio::error_code ec;
  mImpl->acceptor.close(ec);
}

std::string
ScriptedBackend::Address() const
{
  return "127.0.0.1:" + std::to_string(Port());
}

std::uint16_t
ScriptedBackend::Port() const
{
  return mImpl->acceptor.local_endpoint().port();
}

const std::vector<ScriptedRequest>&
ScriptedBackend::Requests() const
{
  return mImpl->requests;
}

std::size_t
ScriptedBackend::AcceptedConnections() const
{
  return mImpl->connections;
}

std::size_t
ScriptedBackend::ClosedConnections() const
{
  return mImpl->ended;
}

std::size_t
ScriptedBackend::TrickledBytes() const
{
  return mImpl->trickled;
}

} // namespace firefly::testing

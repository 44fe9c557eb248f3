#include "servers/http1/caller_server.h"

#include <list>
#include <utility>

#include <asio/ip/address.hpp>
#include <asio/ip/tcp.hpp>

#include "servers/http1/caller_connection.h"

namespace firefly {

namespace {

using asio::ip::tcp;

// Interval of the check for connections whose time limit has passed.
constexpr Duration kTimeoutCheckInterval = std::chrono::milliseconds(250);
// Delay before the next attempt to accept a connection, while the server has
// the maximum number of connections or after a failure, such as a lack of file
// descriptors.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(50);

} // namespace

class CallerServer::Impl : public std::enable_shared_from_this<Impl>
{
public:
  Impl(AsioExecutor& aExecutor, Options aOptions, CallerHandler& aHandler)
    : mExecutor(aExecutor)
    , mOptions(std::move(aOptions))
    , mAcceptor(aExecutor.Context())
    , mServer(std::make_shared<CallerServerState>())
  {
    mServer->executor = &aExecutor;
    mServer->handler = &aHandler;
    mServer->limits = mOptions.limits;
  }

  tl::expected<void, CallerServerError> Start()
  {
    asio::error_code ec;
    const auto address = asio::ip::make_address(mOptions.address, ec);
    const tcp::endpoint endpoint(address, mOptions.port);
    if (!ec) {
      mAcceptor.open(endpoint.protocol(), ec);
    }
    if (!ec) {
      mAcceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    }
    if (!ec) {
      mAcceptor.bind(endpoint, ec);
    }
    if (!ec) {
      mAcceptor.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec) {
      return tl::make_unexpected(CallerServerError{
        mOptions.address + ":" + std::to_string(mOptions.port) + ": " +
        ec.message() });
    }
    Accept();
    CheckTimeouts();
    return {};
  }

  [[nodiscard]] std::uint16_t Port() const
  {
    asio::error_code ec;
    return mAcceptor.local_endpoint(ec).port();
  }

  void SetLimits(const Limits& aLimits) { mServer->limits = aLimits; }

  void CloseAfterAnswers() { mServer->closeAfterAnswers = true; }

  void CloseIdle()
  {
    for (const auto& it : mConnections) {
      it->CloseIfIdle();
    }
  }

  [[nodiscard]] std::size_t Busy() const
  {
    std::size_t n = 0;
    for (const auto& it : mConnections) {
      n += it->IsBusy() ? 1 : 0;
    }
    return n;
  }

  [[nodiscard]] std::size_t Connections() const { return mConnections.size(); }

  void Stop()
  {
    asio::error_code ec;
    mAcceptor.close(ec);
    mTimeoutCheckTimer.Cancel();
  }

private:
  void Accept()
  {
    if (mConnections.size() >= mOptions.maxConnections) {
      mAcceptRetryTimer =
        mExecutor.RunAfter(kAcceptRetryDelay, [this] { Accept(); });
      return;
    }
    mAcceptor.async_accept(
      [weak = weak_from_this()](const asio::error_code& aCode,
                                tcp::socket aSocket) {
        const auto self = weak.lock();
        if (!self || aCode == asio::error::operation_aborted) {
          return;
        }
        self->OnAccepted(aCode, std::move(aSocket));
      });
  }

  void OnAccepted(const asio::error_code& aCode, tcp::socket aSocket)
  {
    if (aCode) {
      mAcceptRetryTimer =
        mExecutor.RunAfter(kAcceptRetryDelay, [this] { Accept(); });
      return;
    }
    SetSocketOptions(aSocket, mOptions.liveness);
    const auto connection =
      std::make_shared<CallerConnection>(std::move(aSocket), mServer);
    mConnections.push_back(connection);
    connection->Start();
    Accept();
  }

  void CheckTimeouts()
  {
    const auto now = mExecutor.Now();
    for (const auto& it : mConnections) {
      it->CheckTimeout(now);
    }
    std::erase_if(mConnections,
                  [](const auto& aIt) { return aIt->IsClosed(); });
    mTimeoutCheckTimer =
      mExecutor.RunAfter(kTimeoutCheckInterval, [this] { CheckTimeouts(); });
  }

  AsioExecutor& mExecutor;
  Options mOptions;
  tcp::acceptor mAcceptor;
  std::shared_ptr<CallerServerState> mServer;
  std::list<std::shared_ptr<CallerConnection>> mConnections;
  Timer mTimeoutCheckTimer;
  Timer mAcceptRetryTimer;
};

CallerServer::CallerServer(AsioExecutor& aExecutor,
                           Options aOptions,
                           CallerHandler& aHandler)
  : mImpl(std::make_shared<Impl>(aExecutor, std::move(aOptions), aHandler))
{
}

CallerServer::~CallerServer()
{
  mImpl->Stop();
}

tl::expected<void, CallerServerError>
CallerServer::Start()
{
  return mImpl->Start();
}

std::uint16_t
CallerServer::Port() const
{
  return mImpl->Port();
}

void
CallerServer::SetLimits(const Limits& aLimits)
{
  mImpl->SetLimits(aLimits);
}

void
CallerServer::CloseAfterAnswers()
{
  mImpl->CloseAfterAnswers();
}

void
CallerServer::CloseIdle()
{
  mImpl->CloseIdle();
}

std::size_t
CallerServer::BusyConnections() const
{
  return mImpl->Busy();
}

std::size_t
CallerServer::Connections() const
{
  return mImpl->Connections();
}

} // namespace firefly

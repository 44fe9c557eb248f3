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
// A connection that holds memory or a place may be evicted once it has made no
// progress, or was idle, for this long.
constexpr Duration kMinStallTime = std::chrono::seconds(1);

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
    mServer->memory = mOptions.memory;
    mServer->evictStalled = [this] { return EvictStalled(); };
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
    if (mServer->memory) {
      mServer->memory->OnRelease([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
          self->ServeWaitingSoon();
        }
      });
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
    // Open connections may outlive this object.
    mServer->evictStalled = nullptr;
  }

private:
  void Accept()
  {
    if (HasPlace()) {
      AcceptNext();
      return;
    }
    mAcceptor.async_wait(
      tcp::acceptor::wait_read,
      [weak = weak_from_this()](const asio::error_code& aCode) {
        const auto self = weak.lock();
        if (self && aCode != asio::error::operation_aborted) {
          self->OnNewcomer();
        }
      });
  }

  // A connection waits to be accepted and there is no place for it.
  void OnNewcomer()
  {
    MakePlace();
    if (HasPlace()) {
      AcceptNext();
      return;
    }
    mAcceptRetryTimer =
      mExecutor.RunAfter(kAcceptRetryDelay, [this] { Accept(); });
  }

  bool HasPlace()
  {
    if (mConnections.size() >= mOptions.maxConnections) {
      EraseClosed();
    }
    return mConnections.size() < mOptions.maxConnections;
  }

  // Closes the connection that has been idle for the longest time. If there is
  // none, ends the request that has made no progress for the longest time.
  void MakePlace()
  {
    const auto now = mExecutor.Now();
    const auto idle =
      Longest([now](const CallerConnection& aIt) { return aIt.IdleFor(now); });
    if (idle) {
      idle->CloseIfIdle();
      if (idle->IsClosed()) {
        mServer->handler->OnRejected(
          { .cause = RejectionCause::kNoConnection });
        return;
      }
    }
    EvictStalled();
  }

  bool EvictStalled()
  {
    const auto now = mExecutor.Now();
    if (now < mNextEviction) {
      return false;
    }
    const auto stalled = Longest(
      [now](const CallerConnection& aIt) { return aIt.StalledFor(now); });
    if (!stalled) {
      mNextEviction = now + kAcceptRetryDelay;
      return false;
    }
    stalled->Evict();
    return true;
  }

  // The connection for which the time is longest, if it is long enough for an
  // eviction.
  template<typename TimeOf>
  std::shared_ptr<CallerConnection> Longest(const TimeOf& aTimeOf) const
  {
    std::shared_ptr<CallerConnection> found;
    auto longest = kMinStallTime;
    for (const auto& it : mConnections) {
      if (const auto time = aTimeOf(*it); time >= longest) {
        longest = time;
        found = it;
      }
    }
    return found;
  }

  void ServeWaitingSoon()
  {
    if (mServer->awaitingMemory > 0 && !std::exchange(mIsServingSoon, true)) {
      mExecutor.Post([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
          self->mIsServingSoon = false;
          self->ServeWaiting();
        }
      });
    }
  }

  // Connections that wait for memory get it in the order of their acceptance.
  void ServeWaiting()
  {
    for (const auto& it : mConnections) {
      it->RetryReservation();
    }
  }

  void EraseClosed()
  {
    std::erase_if(mConnections,
                  [](const auto& aIt) { return aIt->IsClosed(); });
  }

  void AcceptNext()
  {
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
      MakePlace();
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
    if (mServer->awaitingMemory > 0) {
      ServeWaiting();
    }
    EraseClosed();
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
  Instant mNextEviction{};
  bool mIsServingSoon = false;
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

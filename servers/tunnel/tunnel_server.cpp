#include "servers/tunnel/tunnel_server.h"

#include <array>
#include <optional>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

#include "servers/http/socket_address.h"
#include "servers/http1/socket_options.h"

namespace firefly {

namespace {

using asio::ip::tcp;

constexpr std::size_t kMaxRequestBytes = 512;
constexpr std::size_t kBufferBytes = 8U << 10U;
constexpr Duration kRequestTimeout = std::chrono::seconds(1);
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(50);
constexpr std::chrono::seconds kKeepAliveIdle{ 1 };

constexpr const char* kConnected = "HTTP/1.1 200 Connected\r\n\r\n";
constexpr const char* kForbidden = "HTTP/1.1 403 Forbidden\r\n\r\n";
constexpr const char* kBadGateway = "HTTP/1.1 502 Bad Gateway\r\n\r\n";
constexpr const char* kUnavailable = "HTTP/1.1 503 Service Unavailable\r\n\r\n";

// The target of a CONNECT request, such as "10.0.0.1:8080"; empty if it is
// none.
std::string
TargetOf(const std::string& aRequest)
{
  const std::string method = "CONNECT ";
  const auto end = aRequest.find(" HTTP/1.1\r\n");
  return aRequest.starts_with(method) && end != std::string::npos
           ? aRequest.substr(method.size(), end - method.size())
           : "";
}

// Closes so that the other side can't take what it has for complete.
void
Reset(tcp::socket& aSocket)
{
  asio::error_code ec;
  aSocket.set_option(asio::socket_base::linger(true, 0), ec);
  aSocket.close(ec);
}

} // namespace

class TunnelServer::Impl : public std::enable_shared_from_this<Impl>
{
public:
  Impl(AsioExecutor& aExecutor, Options aOptions, TunnelPolicy& aPolicy)
    : executor(aExecutor)
    , options(std::move(aOptions))
    , policy(&aPolicy)
    , mAcceptor(aExecutor.Context())
  {
  }

  tl::expected<void, std::string> Start()
  {
    asio::error_code ec;
    const tcp::endpoint endpoint(asio::ip::make_address(options.address, ec),
                                 options.port);
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
      return tl::make_unexpected(options.address + ":" +
                                 std::to_string(options.port) + ": " +
                                 ec.message());
    }
    Accept();
    return {};
  }

  void Stop()
  {
    policy = nullptr;
    asio::error_code ec;
    mAcceptor.close(ec);
  }

  [[nodiscard]] std::uint16_t Port() const
  {
    asio::error_code ec;
    return mAcceptor.local_endpoint(ec).port();
  }

  AsioExecutor& executor;
  Options options;
  // Null once the server was destroyed.
  TunnelPolicy* policy;
  std::size_t tunnels = 0;
  bool isClosed = false;

private:
  void Accept();

  tcp::acceptor mAcceptor;
  Timer mRetryTimer;
};

// One tunnel. Its pending operations own it.
class TunnelServer::Tunnel : public std::enable_shared_from_this<Tunnel>
{
public:
  Tunnel(std::shared_ptr<TunnelServer::Impl> aServer, tcp::socket aPeer)
    : mServer(std::move(aServer))
    , mPeer(std::move(aPeer))
    , mBackend(mServer->executor.Context())
  {
    mServer->tunnels++;
  }
  Tunnel(const Tunnel&) = delete;
  Tunnel& operator=(const Tunnel&) = delete;
  ~Tunnel() { mServer->tunnels--; }

  void Start()
  {
    asio::error_code ec;
    const auto ip = mPeer.remote_endpoint(ec).address().to_string();
    if (ec || mServer->policy == nullptr) {
      End();
      return;
    }
    // Others hold no place while they send their request.
    if (!mServer->policy->IsPeer(ip)) {
      Refuse(kForbidden);
      return;
    }
    SetTimeout(kRequestTimeout);
    asio::async_read_until(
      mPeer,
      asio::dynamic_buffer(mRequest, kMaxRequestBytes),
      "\r\n\r\n",
      [self = shared_from_this()](const asio::error_code& aCode, std::size_t) {
        if (!aCode) {
          self->OnRequest();
        } else {
          self->End();
        }
      });
  }

private:
  void SetTimeout(Duration aTimeout)
  {
    mTimer = mServer->executor.RunAfter(aTimeout, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->OnTimeout();
      }
    });
  }

  void OnTimeout()
  {
    if (mIsDialling) {
      OnDialled(asio::error::timed_out);
    } else {
      End();
    }
  }

  void OnRequest()
  {
    mTimer.Cancel();
    const auto* policy = mServer->policy;
    if (policy == nullptr) {
      End();
      return;
    }
    mTarget = TargetOf(mRequest);
    const auto address = ParseSocketAddress(mTarget);
    if (!address || !policy->IsBackend(mTarget)) {
      Refuse(kForbidden);
      return;
    }
    if (mServer->isClosed || policy->IsCutOff() ||
        mServer->tunnels > mServer->options.maxTunnels) {
      Refuse(kUnavailable);
      return;
    }
    mIsDialling = true;
    SetTimeout(mServer->options.connectTimeout);
    mBackend.async_connect(
      tcp::endpoint(address->Ip(), address->port),
      [self = shared_from_this()](const asio::error_code& aCode) {
        self->OnDialled(aCode);
      });
  }

  void OnDialled(const asio::error_code& aCode)
  {
    if (!std::exchange(mIsDialling, false)) {
      return;
    }
    mTimer.Cancel();
    auto* policy = mServer->policy;
    if (policy == nullptr) {
      End();
      return;
    }
    policy->OnDialled(mTarget, !aCode);
    if (aCode) {
      // A host that is cut off can't tell whether the backend server is up.
      Refuse(policy->IsCutOff() ? kUnavailable : kBadGateway);
      return;
    }
    const LivenessOptions liveness{ .ackTimeout = mServer->options.ackTimeout,
                                    .keepAliveIdle = kKeepAliveIdle };
    SetSocketOptions(mPeer, liveness);
    SetSocketOptions(mBackend, liveness);
    asio::async_write(
      mPeer,
      asio::buffer(std::string_view(kConnected)),
      [self = shared_from_this()](const asio::error_code& aSent, std::size_t) {
        if (aSent) {
          self->End();
          return;
        }
        self->Pass(self->mPeer, self->mBackend, self->mToBackend);
        self->Pass(self->mBackend, self->mPeer, self->mToPeer);
      });
  }

  void Refuse(std::string_view aAnswer)
  {
    asio::async_write(
      mPeer,
      asio::buffer(aAnswer),
      [self = shared_from_this()](const asio::error_code&, std::size_t) {
        asio::error_code ec;
        self->mPeer.shutdown(tcp::socket::shutdown_send, ec);
        self->mBackend.close(ec);
      });
  }

  using Buffer = std::array<char, kBufferBytes>;

  void Pass(tcp::socket& aFrom, tcp::socket& aTo, Buffer& aBuffer)
  {
    aFrom.async_read_some(asio::buffer(aBuffer),
                          [self = shared_from_this(), &aFrom, &aTo, &aBuffer](
                            const asio::error_code& aCode, std::size_t aBytes) {
                            if (aCode) {
                              self->OnEnd(aFrom, aCode);
                              return;
                            }
                            asio::async_write(
                              aTo,
                              asio::buffer(aBuffer.data(), aBytes),
                              [self, &aFrom, &aTo, &aBuffer](
                                const asio::error_code& aSent, std::size_t) {
                                if (aSent) {
                                  self->End();
                                } else {
                                  self->Pass(aFrom, aTo, aBuffer);
                                }
                              });
                          });
  }

  void OnEnd(const tcp::socket& aFrom, const asio::error_code& aCode)
  {
    // The peer closes when its caller leaves: the backend server must notice.
    if (&aFrom == &mPeer || aCode != asio::error::eof) {
      End();
      return;
    }
    // An answer without a length ends with its connection.
    asio::error_code ec;
    mPeer.shutdown(tcp::socket::shutdown_send, ec);
  }

  void End()
  {
    mTimer.Cancel();
    Reset(mPeer);
    Reset(mBackend);
  }

  std::shared_ptr<TunnelServer::Impl> mServer;
  tcp::socket mPeer;
  tcp::socket mBackend;
  std::string mRequest;
  std::string mTarget;
  bool mIsDialling = false;
  Timer mTimer;
  Buffer mToBackend{};
  Buffer mToPeer{};
};

void
TunnelServer::Impl::Accept()
{
  mAcceptor.async_accept([weak = weak_from_this()](
                           const asio::error_code& aCode, tcp::socket aSocket) {
    const auto self = weak.lock();
    if (!self || aCode == asio::error::operation_aborted) {
      return;
    }
    if (aCode) {
      self->mRetryTimer = self->executor.RunAfter(kAcceptRetryDelay, [weak] {
        if (const auto again = weak.lock()) {
          again->Accept();
        }
      });
      return;
    }
    std::make_shared<Tunnel>(self, std::move(aSocket))->Start();
    self->Accept();
  });
}

TunnelServer::TunnelServer(AsioExecutor& aExecutor,
                           Options aOptions,
                           TunnelPolicy& aPolicy)
  : mImpl(std::make_shared<Impl>(aExecutor, std::move(aOptions), aPolicy))
{
}

TunnelServer::~TunnelServer()
{
  mImpl->Stop();
}

tl::expected<void, std::string>
TunnelServer::Start()
{
  return mImpl->Start();
}

void
TunnelServer::Close()
{
  mImpl->isClosed = true;
}

std::uint16_t
TunnelServer::Port() const
{
  return mImpl->Port();
}

std::size_t
TunnelServer::TunnelCount() const
{
  return mImpl->tunnels;
}

} // namespace firefly

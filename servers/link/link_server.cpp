#include "servers/link/link_server.h"

#include <map>
#include <utility>

#include <asio/ip/tcp.hpp>

#include "servers/link/http2_connection.h"

namespace firefly {

class LinkServer::Impl
{
public:
  Impl(AsioExecutor& aExecutor, Options aOptions, Handler aHandler)
    : mExecutor(aExecutor)
    , mOptions(std::move(aOptions))
    , mHandler(std::move(aHandler))
    , mAcceptor(aExecutor.Context())
  {
  }

  ~Impl() { Stop(); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  tl::expected<void, LinkServerError> Start();
  void Stop();

  [[nodiscard]] std::uint16_t Port() const
  {
    std::error_code ec;
    return mAcceptor.local_endpoint(ec).port();
  }

private:
  class Peer;
  using PeerNumber = std::uint64_t;

  void Accept();
  void AddPeer(asio::ip::tcp::socket aSocket);
  void RemovePeer(PeerNumber aNumber);

  AsioExecutor& mExecutor;
  Options mOptions;
  Handler mHandler;
  asio::ip::tcp::acceptor mAcceptor;
  PeerNumber mNextPeer = 0;
  std::map<PeerNumber, std::unique_ptr<Peer>> mPeers;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

// The connection of one caller.
class LinkServer::Impl::Peer : public Http2Listener
{
public:
  Peer(Impl& aServer, PeerNumber aNumber, asio::ip::tcp::socket aSocket)
    : mServer(aServer)
    , mNumber(aNumber)
    , mConnection(std::make_shared<Http2Connection>(
        aServer.mExecutor,
        std::move(aSocket),
        Http2Connection::Options{ .side = Http2Connection::Side::kServer,
                                  .maxStreams = aServer.mOptions.maxStreams,
                                  .maxBodyBytes = aServer.mOptions.maxBodyBytes,
                                  .pingInterval = aServer.mOptions.pingInterval,
                                  .pingTimeout = aServer.mOptions.pingTimeout },
        *this))
  {
    mConnection->Start();
  }

  ~Peer() override { mConnection->Detach(); }
  Peer(const Peer&) = delete;
  Peer& operator=(const Peer&) = delete;

  void OnMessage(StreamNumber aStream, Http2Message aMessage) override
  {
    auto reply = [connection = std::weak_ptr<Http2Connection>(mConnection),
                  aStream](LinkReply aReply) {
      if (auto it = connection.lock()) {
        it->SendReply(aStream, aReply.status, std::move(aReply.body));
      }
    };
    mServer.mHandler(
      std::move(aMessage.path), std::move(aMessage.body), std::move(reply));
  }

  void OnStreamLost(StreamNumber /*aStream*/,
                    Http2Delivery /*aDelivery*/) override
  {
  }

  void OnClosed(const std::string& /*aReason*/) override
  {
    mServer.RemovePeer(mNumber);
  }

private:
  Impl& mServer;
  PeerNumber mNumber;
  std::shared_ptr<Http2Connection> mConnection;
};

tl::expected<void, LinkServerError>
LinkServer::Impl::Start()
{
  std::error_code ec;
  const auto address = asio::ip::make_address(mOptions.address, ec);
  const asio::ip::tcp::endpoint endpoint(address, mOptions.port);
  if (!ec) {
    mAcceptor.open(endpoint.protocol(), ec);
  }
  if (!ec) {
    mAcceptor.set_option(asio::socket_base::reuse_address(true), ec);
  }
  if (!ec) {
    mAcceptor.bind(endpoint, ec);
  }
  if (!ec) {
    mAcceptor.listen(asio::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    return tl::make_unexpected(LinkServerError{
      .message = mOptions.address + ":" + std::to_string(mOptions.port) + ": " +
                 ec.message() });
  }
  Accept();
  return {};
}

void
LinkServer::Impl::Stop()
{
  std::error_code ec;
  mAcceptor.close(ec);
  mPeers.clear();
}

void
LinkServer::Impl::Accept()
{
  mAcceptor.async_accept(
    [this, alive = std::weak_ptr<bool>(mAlive)](const std::error_code& aError,
                                                asio::ip::tcp::socket aSocket) {
      if (alive.expired() || !mAcceptor.is_open()) {
        return;
      }
      if (!aError && mPeers.size() < mOptions.maxConnections) {
        AddPeer(std::move(aSocket));
      }
      Accept();
    });
}

void
LinkServer::Impl::AddPeer(asio::ip::tcp::socket aSocket)
{
  const PeerNumber number = mNextPeer++;
  mPeers[number] = std::make_unique<Peer>(*this, number, std::move(aSocket));
}

void
LinkServer::Impl::RemovePeer(PeerNumber aNumber)
{
  mExecutor.Post([this, alive = std::weak_ptr<bool>(mAlive), aNumber] {
    if (!alive.expired()) {
      mPeers.erase(aNumber);
    }
  });
}

LinkServer::LinkServer(AsioExecutor& aExecutor,
                       Options aOptions,
                       Handler aHandler)
  : mImpl(std::make_unique<Impl>(aExecutor,
                                 std::move(aOptions),
                                 std::move(aHandler)))
{
}

LinkServer::~LinkServer() = default;

tl::expected<void, LinkServerError>
LinkServer::Start()
{
  return mImpl->Start();
}

std::uint16_t
LinkServer::Port() const
{
  return mImpl->Port();
}

void
LinkServer::Stop()
{
  mImpl->Stop();
}

} // namespace firefly

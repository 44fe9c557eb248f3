#include "tests/soak/tcp_proxy.h"

#include <utility>

#include <asio/write.hpp>

namespace firefly::soak {

namespace {

using asio::ip::tcp;

constexpr std::size_t kReadBytes = 16U << 10U;
// A longer answer is not repeated.
constexpr std::size_t kMaxRepeatedBytes = 64U << 10U;
// The interval at which a silenced direction checks whether it may forward.
constexpr Duration kSilencePollInterval = std::chrono::milliseconds(20);

void
ResetSocket(tcp::socket& aSocket)
{
  asio::error_code ec;
  aSocket.set_option(asio::socket_base::linger(true, 0), ec);
  aSocket.close(ec);
}

} // namespace

// A connection from a client and the one to the server that belongs to it.
class TcpProxy::Connection
  : public std::enable_shared_from_this<TcpProxy::Connection>
{
public:
  Connection(AsioExecutor& aExecutor,
             tcp::socket aCaller,
             std::shared_ptr<const ProxyFaults> aFaults,
             std::shared_ptr<const double> aRepeatShare,
             std::uint64_t aSeed)
    : mExecutor(aExecutor)
    , mFaults(std::move(aFaults))
    , mRepeatShare(std::move(aRepeatShare))
    , mRandom(aSeed)
    , mToServer{ .from = std::move(aCaller), .to = nullptr }
    , mFromServer{ .from = tcp::socket(aExecutor.Context()), .to = nullptr }
  {
    mToServer.to = &mFromServer.from;
    mFromServer.to = &mToServer.from;
  }

  void Start(const tcp::endpoint& aTarget)
  {
    mFromServer.from.async_connect(
      aTarget, [self = shared_from_this()](const asio::error_code& aCode) {
        if (aCode) {
          self->Reset();
          return;
        }
        asio::error_code ec;
        self->mToServer.from.set_option(tcp::no_delay(true), ec);
        self->mFromServer.from.set_option(tcp::no_delay(true), ec);
        self->Read(self->mToServer);
        self->Read(self->mFromServer);
      });
  }

  void Reset()
  {
    mClosed = true;
    ResetSocket(mToServer.from);
    ResetSocket(mFromServer.from);
  }

  void Blackhole() { mBlackholed = true; }

private:
  // One direction of the byte stream.
  struct Direction
  {
    tcp::socket from;
    tcp::socket* to;
    std::array<char, kReadBytes> buffer{};
    Timer timer{};
    bool ended = false;
  };

  [[nodiscard]] bool IsSilenced(const Direction& aDirection) const
  {
    return mBlackholed ||
           (&aDirection == &mToServer ? mFaults->silentToServer
                                      : mFaults->silentFromServer);
  }

  void Read(Direction& aDirection)
  {
    aDirection.from.async_read_some(
      asio::buffer(aDirection.buffer),
      [self = shared_from_this(), &aDirection](const asio::error_code& aCode,
                                               std::size_t aBytes) {
        if (aCode == asio::error::eof) {
          self->Forward(aDirection, 0);
        } else if (aCode) {
          self->Reset();
        } else {
          self->Forward(aDirection, aBytes);
        }
      });
  }

  // Forwards the bytes, or the end of the stream if there are none.
  void Forward(Direction& aDirection, std::size_t aBytes)
  {
    if (mClosed) {
      return;
    }
    if (IsSilenced(aDirection)) {
      aDirection.timer = mExecutor.RunAfter(
        kSilencePollInterval, [self = shared_from_this(), &aDirection, aBytes] {
          self->Forward(aDirection, aBytes);
        });
      return;
    }
    if (mFaults->delay > Duration::zero()) {
      aDirection.timer = mExecutor.RunAfter(
        mFaults->delay, [self = shared_from_this(), &aDirection, aBytes] {
          self->Write(aDirection, aBytes);
        });
      return;
    }
    Write(aDirection, aBytes);
  }

  void Write(Direction& aDirection, std::size_t aBytes)
  {
    if (aBytes == 0) {
      asio::error_code ec;
      aDirection.to->shutdown(tcp::socket::shutdown_send, ec);
      aDirection.ended = true;
      if (mToServer.ended && mFromServer.ended) {
        mToServer.from.close(ec);
        mFromServer.from.close(ec);
      }
      return;
    }
    RecordAnswer(aDirection, aBytes);
    const std::array<asio::const_buffer, 2> buffers{
      &aDirection == &mFromServer ? asio::buffer(mRepeated)
                                  : asio::const_buffer(),
      asio::buffer(aDirection.buffer.data(), aBytes)
    };
    asio::async_write(*aDirection.to,
                      buffers,
                      [self = shared_from_this(), &aDirection](
                        const asio::error_code& aCode, std::size_t /*aBytes*/) {
                        if (&aDirection == &self->mFromServer) {
                          self->mRepeated.clear();
                        }
                        if (aCode) {
                          self->Reset();
                        } else {
                          self->Read(aDirection);
                        }
                      });
  }

  // Keeps the bytes of each answer until the next request has been sent, and
  // draws whether they are sent again before the next answer.
  void RecordAnswer(const Direction& aDirection, std::size_t aBytes)
  {
    if (&aDirection == &mToServer) {
      if (!mAnswer.empty() && mAnswer.size() <= kMaxRepeatedBytes &&
          mRandom.Chance(*mRepeatShare)) {
        mRepeated = mAnswer;
      }
      mAnswer.clear();
    } else if (mAnswer.size() <= kMaxRepeatedBytes) {
      mAnswer.append(aDirection.buffer.data(), aBytes);
    }
  }

  AsioExecutor& mExecutor;
  std::shared_ptr<const ProxyFaults> mFaults;
  std::shared_ptr<const double> mRepeatShare;
  // A generator of its own, so that repeats do not change the fault plan of a
  // seed.
  Random mRandom;
  std::string mAnswer;
  std::string mRepeated;
  Direction mToServer;
  Direction mFromServer;
  bool mBlackholed = false;
  bool mClosed = false;
};

TcpProxy::TcpProxy(AsioExecutor& aExecutor,
                   std::string aTargetHost,
                   std::uint16_t aTargetPort,
                   std::uint64_t aSeed)
  : mExecutor(aExecutor)
  , mTargetHost(std::move(aTargetHost))
  , mTargetPort(aTargetPort)
  , mSeed(aSeed)
  , mRandom(aSeed)
  , mAcceptor(aExecutor.Context(),
              tcp::endpoint(asio::ip::address_v4::loopback(), 0))
  , mPort(mAcceptor.local_endpoint().port())
{
  Accept();
}

TcpProxy::~TcpProxy()
{
  asio::error_code ec;
  mAcceptor.close(ec);
  Reset(1);
}

void
TcpProxy::SetFaults(const ProxyFaults& aFaults)
{
  *mFaults = aFaults;
}

void
TcpProxy::Accept()
{
  mAcceptor.async_accept([this](const asio::error_code& aCode,
                                tcp::socket aSocket) {
    if (aCode == asio::error::operation_aborted) {
      return;
    }
    if (!aCode && mFaults->resetNewConnections) {
      ResetSocket(aSocket);
    } else if (!aCode) {
      const auto connection = std::make_shared<Connection>(mExecutor,
                                                           std::move(aSocket),
                                                           mFaults,
                                                           mRepeatShare,
                                                           mSeed + ++mAccepted);
      std::erase_if(mConnections,
                    [](const auto& aIt) { return aIt.expired(); });
      mConnections.push_back(connection);
      connection->Start({ asio::ip::make_address(mTargetHost), mTargetPort });
    }
    Accept();
  });
}

void
TcpProxy::Reset(double aShare)
{
  for (const auto& it : mConnections) {
    if (const auto connection = it.lock();
        connection && mRandom.Chance(aShare)) {
      connection->Reset();
    }
  }
}

void
TcpProxy::Blackhole(double aShare)
{
  for (const auto& it : mConnections) {
    if (const auto connection = it.lock();
        connection && mRandom.Chance(aShare)) {
      connection->Blackhole();
    }
  }
}

} // namespace firefly::soak

#include "tests/soak/tcp_proxy.h"

#include <utility>

#include <asio/write.hpp>

namespace firefly::soak {

namespace {

using asio::ip::tcp;

constexpr std::size_t kReadBytes = 16U << 10U;
// Between looks at whether a silence is over.
constexpr Duration kSilencePoll = std::chrono::milliseconds(20);

void
ResetSocket(tcp::socket& aSocket)
{
  asio::error_code ec;
  aSocket.set_option(asio::socket_base::linger(true, 0), ec);
  aSocket.close(ec);
}

} // namespace

// One connection and the one behind it.
class TcpProxy::Link : public std::enable_shared_from_this<TcpProxy::Link>
{
public:
  Link(AsioExecutor& aExecutor,
       tcp::socket aCaller,
       std::shared_ptr<const ProxyFaults> aFaults)
    : mExecutor(aExecutor)
    , mFaults(std::move(aFaults))
    , mUp{ .from = std::move(aCaller), .to = nullptr }
    , mDown{ .from = tcp::socket(aExecutor.Context()), .to = nullptr }
  {
    mUp.to = &mDown.from;
    mDown.to = &mUp.from;
  }

  void Start(const tcp::endpoint& aTarget)
  {
    mDown.from.async_connect(
      aTarget, [self = shared_from_this()](const asio::error_code& aCode) {
        if (aCode) {
          self->Reset();
          return;
        }
        asio::error_code ec;
        self->mUp.from.set_option(tcp::no_delay(true), ec);
        self->mDown.from.set_option(tcp::no_delay(true), ec);
        self->Read(self->mUp);
        self->Read(self->mDown);
      });
  }

  void Reset()
  {
    mClosed = true;
    ResetSocket(mUp.from);
    ResetSocket(mDown.from);
  }

  void Lose() { mLost = true; }

private:
  // The bytes that go one way.
  struct Way
  {
    tcp::socket from;
    tcp::socket* to;
    std::array<char, kReadBytes> buffer{};
    Timer timer{};
    bool ended = false;
  };

  [[nodiscard]] bool IsSilent(const Way& aWay) const
  {
    return mLost || (&aWay == &mUp ? mFaults->silentToServer
                                   : mFaults->silentFromServer);
  }

  void Read(Way& aWay)
  {
    aWay.from.async_read_some(
      asio::buffer(aWay.buffer),
      [self = shared_from_this(), &aWay](const asio::error_code& aCode,
                                         std::size_t aBytes) {
        if (aCode == asio::error::eof) {
          self->Pass(aWay, 0);
        } else if (aCode) {
          self->Reset();
        } else {
          self->Pass(aWay, aBytes);
        }
      });
  }

  // Passes the bytes on, or the end of the stream if there are none.
  void Pass(Way& aWay, std::size_t aBytes)
  {
    if (mClosed) {
      return;
    }
    if (IsSilent(aWay)) {
      aWay.timer = mExecutor.RunAfter(
        kSilencePoll, [self = shared_from_this(), &aWay, aBytes] {
          self->Pass(aWay, aBytes);
        });
      return;
    }
    if (mFaults->delay > Duration::zero()) {
      aWay.timer = mExecutor.RunAfter(
        mFaults->delay, [self = shared_from_this(), &aWay, aBytes] {
          self->Write(aWay, aBytes);
        });
      return;
    }
    Write(aWay, aBytes);
  }

  void Write(Way& aWay, std::size_t aBytes)
  {
    if (aBytes == 0) {
      asio::error_code ec;
      aWay.to->shutdown(tcp::socket::shutdown_send, ec);
      aWay.ended = true;
      if (mUp.ended && mDown.ended) {
        mUp.from.close(ec);
        mDown.from.close(ec);
      }
      return;
    }
    asio::async_write(*aWay.to,
                      asio::buffer(aWay.buffer.data(), aBytes),
                      [self = shared_from_this(), &aWay](
                        const asio::error_code& aCode, std::size_t /*aBytes*/) {
                        if (aCode) {
                          self->Reset();
                        } else {
                          self->Read(aWay);
                        }
                      });
  }

  AsioExecutor& mExecutor;
  std::shared_ptr<const ProxyFaults> mFaults;
  Way mUp;
  Way mDown;
  bool mLost = false;
  bool mClosed = false;
};

TcpProxy::TcpProxy(AsioExecutor& aExecutor,
                   std::string aTargetHost,
                   std::uint16_t aTargetPort,
                   std::uint64_t aSeed)
  : mExecutor(aExecutor)
  , mTargetHost(std::move(aTargetHost))
  , mTargetPort(aTargetPort)
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
  mAcceptor.async_accept(
    [this](const asio::error_code& aCode, tcp::socket aSocket) {
      if (aCode == asio::error::operation_aborted) {
        return;
      }
      if (!aCode && mFaults->refuse) {
        ResetSocket(aSocket);
      } else if (!aCode) {
        const auto link =
          std::make_shared<Link>(mExecutor, std::move(aSocket), mFaults);
        std::erase_if(mLinks, [](const auto& aIt) { return aIt.expired(); });
        mLinks.push_back(link);
        link->Start({ asio::ip::make_address(mTargetHost), mTargetPort });
      }
      Accept();
    });
}

void
TcpProxy::Reset(double aPart)
{
  for (const auto& it : mLinks) {
    if (const auto link = it.lock(); link && mRandom.Chance(aPart)) {
      link->Reset();
    }
  }
}

void
TcpProxy::Lose(double aPart)
{
  for (const auto& it : mLinks) {
    if (const auto link = it.lock(); link && mRandom.Chance(aPart)) {
      link->Lose();
    }
  }
}

} // namespace firefly::soak

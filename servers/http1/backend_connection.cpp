#include "servers/http1/backend_connection.h"

#include <array>
#include <charconv>
#include <optional>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include "servers/http/socket_address.h"

namespace firefly {

namespace {

using asio::ip::tcp;

// An answer's body is passed on as it comes; the reader sets no bound to it.
constexpr std::size_t kMaxBodyBytes = std::size_t{ 1 } << 40U;
constexpr std::size_t kReadBytes = 16U << 10U;

// The idle time-out of a Keep-Alive header: "timeout=5", or the bare number.
std::optional<std::chrono::seconds>
ReadKeepAlive(std::string_view aValue)
{
  constexpr std::string_view kTimeout = "timeout=";
  const auto at = aValue.find(kTimeout);
  if (at != std::string_view::npos) {
    aValue.remove_prefix(at + kTimeout.size());
  }
  int seconds = 0;
  const auto parsed =
    std::from_chars(aValue.data(), aValue.data() + aValue.size(), seconds);
  if (parsed.ec != std::errc()) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

} // namespace

BackendConnection::BackendConnection(AsioExecutor& aExecutor,
                                     Options aOptions,
                                     BackendPool& aPool,
                                     std::weak_ptr<bool> aPoolAlive)
  : mExecutor(aExecutor)
  , mOptions(std::move(aOptions))
  , mPool(aPool)
  , mPoolAlive(std::move(aPoolAlive))
  , mSocket(aExecutor.Context())
  , mReader({ .side = MessageReader::Side::kResponses,
              .maxHeadBytes = mOptions.maxHeadBytes,
              .maxBodyBytes = kMaxBodyBytes })
{
}

void
BackendConnection::Begin(std::string aBytes,
                         bool aNoBody,
                         BackendCallObserver& aObserver)
{
  mObserver = &aObserver;
  mBytes = std::move(aBytes);
  mNoBody = aNoBody;
  mSent = false;
  mAnySent = false;
  mHeadGiven = false;
  mSkipping = false;
  mPaused = false;
  mCalls++;
  if (mNoBody) {
    mReader.ExpectNoBody();
  }
  if (mState == State::kNew) {
    mState = State::kConnecting;
    mExecutor.Post([self = shared_from_this()] { self->Connect(); });
    return;
  }
  mState = State::kBusy;
  Send();
}

void
BackendConnection::Connect()
{
  if (mState != State::kConnecting) {
    return;
  }
  const auto address = ParseSocketAddress(mOptions.address.Value());
  if (!address) {
    Fail(BackendCallFault::kNotSent);
    return;
  }
  mConnectTimer =
    mExecutor.RunAfter(mOptions.connectTimeout, [weak = weak_from_this()] {
      if (const auto self = weak.lock();
          self && self->mState == State::kConnecting) {
        self->Fail(BackendCallFault::kNotSent);
      }
    });
  mSocket.async_connect(
    tcp::endpoint(address->Ip(), address->port),
    [self = shared_from_this()](const asio::error_code& aCode) {
      self->OnConnected(aCode);
    });
}

void
BackendConnection::OnConnected(const asio::error_code& aCode)
{
  if (mState != State::kConnecting) {
    return;
  }
  mConnectTimer.Cancel();
  if (aCode) {
    Fail(BackendCallFault::kNotSent);
    return;
  }
  SetSocketOptions(mSocket, mOptions.liveness);
  asio::error_code ec;
  mSocket.non_blocking(true, ec);
  mState = State::kBusy;
  Send();
  Wait();
}

void
BackendConnection::Send()
{
  asio::async_write(mSocket,
                    asio::buffer(mBytes),
                    [self = shared_from_this()](const asio::error_code& aCode,
                                                std::size_t aBytes) {
                      self->OnSent(aCode, aBytes);
                    });
}

void
BackendConnection::OnSent(const asio::error_code& aCode, std::size_t aBytes)
{
  mAnySent = mAnySent || aBytes > 0;
  if (mState != State::kBusy) {
    return;
  }
  mSent = !aCode;
  // After an error an early answer may still stand in the receive buffer; the
  // reading side meets the end of the connection soon.
  if (aCode && !mAnySent) {
    Fail(BackendCallFault::kNotSent);
  }
}

void
BackendConnection::Wait()
{
  if (mWaiting || mPaused || mState == State::kClosed) {
    return;
  }
  mWaiting = true;
  mSocket.async_wait(
    tcp::socket::wait_read,
    [self = shared_from_this()](const asio::error_code& aCode) {
      self->mWaiting = false;
      if (!aCode) {
        self->OnReadable();
      }
    });
}

void
BackendConnection::OnReadable()
{
  if (mState == State::kClosed || mPaused) {
    return;
  }
  if (mState == State::kKept) {
    // Nothing is due: the backend server closed, or sent what nobody asked for.
    Close();
    return;
  }
  std::array<char, kReadBytes> buffer{};
  asio::error_code ec;
  const auto n = mSocket.read_some(asio::buffer(buffer), ec);
  if (ec == asio::error::would_block) {
    Wait();
    return;
  }
  if (ec) {
    OnEnded(ec);
    return;
  }
  if (!mReader.Feed({ buffer.data(), n })) {
    Fail(BackendCallFault::kMalformed);
    return;
  }
  Deliver();
  Wait();
}

void
BackendConnection::OnEnded(const asio::error_code& aCode)
{
  if (aCode == asio::error::timed_out) {
    Fail(BackendCallFault::kSilent);
    return;
  }
  // A body without a length is whole only if the connection ended in order.
  if (aCode != asio::error::eof || !mReader.FeedEnd() || mSkipping) {
    Fail(BackendCallFault::kCut);
    return;
  }
  Deliver();
}

void
BackendConnection::Deliver()
{
  const auto self = shared_from_this();
  while (mState == State::kBusy && mReader.HasHead()) {
    if (!mHeadGiven && !mSkipping) {
      if (!mObserver->IsMine(mReader.Head())) {
        mSkipping = true;
      } else {
        mHeadGiven = true;
        mObserver->OnHead(mReader.Head());
        if (mState != State::kBusy) {
          return;
        }
      }
    }
    auto body = mReader.TakeBody();
    if (mSkipping) {
      if (!mReader.Done()) {
        return;
      }
      SkipAnswer();
      continue;
    }
    if (!body.empty()) {
      mObserver->OnBody(std::move(body));
    }
    if (mState == State::kBusy && mReader.Done()) {
      EndCall();
    }
    return;
  }
}

void
BackendConnection::SkipAnswer()
{
  const bool keepAlive = mReader.Head().keepAlive;
  mSkipping = false;
  mReader.Next();
  if (mNoBody) {
    mReader.ExpectNoBody();
  }
  if (!keepAlive) {
    Fail(BackendCallFault::kCut);
  } else if (!mReader.Feed({})) {
    Fail(BackendCallFault::kMalformed);
  }
}

void
BackendConnection::EndCall()
{
  auto* observer = std::exchange(mObserver, nullptr);
  const auto& head = mReader.Head();
  // A request that was answered early may not be out yet; what the backend
  // server reads next must not be taken for the rest of it.
  const bool reusable = head.keepAlive && !head.endsWithConnection && mSent &&
                        mReader.Buffered() == 0 && !mPoolAlive.expired();
  auto idle = mOptions.idleTimeout;
  if (const auto told = ReadKeepAlive(FindHeader(head.headers, "Keep-Alive"))) {
    idle = std::min<Duration>(idle, *told);
  }
  mReader.Next();
  mBytes = {};
  if (reusable) {
    mState = State::kKept;
    mPool.Keep(shared_from_this(), idle);
  } else {
    Close();
  }
  observer->OnEnd();
}

void
BackendConnection::Fail(BackendCallFault aFault)
{
  auto* observer = std::exchange(mObserver, nullptr);
  Close();
  if (observer != nullptr) {
    observer->OnFault(aFault);
  }
}

void
BackendConnection::Drop()
{
  // A call that has ended left its connection to the pool.
  if (mObserver != nullptr) {
    mObserver = nullptr;
    Close();
  }
}

void
BackendConnection::Pause()
{
  mPaused = mState == State::kBusy;
}

void
BackendConnection::Resume()
{
  if (std::exchange(mPaused, false)) {
    Wait();
  }
}

void
BackendConnection::Close()
{
  const bool kept = mState == State::kKept;
  mState = State::kClosed;
  mConnectTimer.Cancel();
  asio::error_code ec;
  mSocket.close(ec);
  if (kept && !mPoolAlive.expired()) {
    mPool.Remove(this);
  }
}

} // namespace firefly

#include "servers/http1/backend_connection.h"

#include <array>
#include <charconv>
#include <optional>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

#include "servers/http/socket_address.h"

namespace firefly {

namespace {

using asio::ip::tcp;

// The observer receives the body of a response as it arrives, so that the
// reader needs no practical limit.
// A response to another call is not read beyond this.
constexpr std::size_t kMaxSkippedBytes = 4U << 20U;
constexpr std::size_t kMaxBodyBytes = std::size_t{ 1 } << 40U;
constexpr std::size_t kReadBytes = 16U << 10U;

constexpr std::size_t kMaxTunnelAnswerBytes = 512;
// Peers that are asked for one connection. A peer that can't help says so at
// once.
constexpr std::uint32_t kMaxTunnelsTried = 6;

policy::TunnelOutcome
TunnelOutcomeOf(const std::string& aAnswer)
{
  if (aAnswer.starts_with("HTTP/1.1 200 ")) {
    return policy::TunnelOutcome::kConnected;
  }
  return aAnswer.starts_with("HTTP/1.1 502 ")
           ? policy::TunnelOutcome::kServerUnreachable
           : policy::TunnelOutcome::kRefused;
}

// Parses the idle timeout of a Keep-Alive header, written as "timeout=5" or as
// the number alone.
std::optional<std::chrono::seconds>
ParseKeepAliveTimeout(std::string_view aValue)
{
  constexpr std::string_view kTimeout = "timeout=";
  const auto position = aValue.find(kTimeout);
  if (position != std::string_view::npos) {
    aValue.remove_prefix(position + kTimeout.size());
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

BackendCallNumber
BackendConnection::StartCall(BackendPool::Call aCall,
                             BackendCallObserver& aObserver)
{
  mObserver = &aObserver;
  mReuse.OnCall(aCall.request, aCall.noBody);
  mRequestBytes = std::move(aCall.bytes);
  mRequestBody = std::move(aCall.body);
  mNoBody = aCall.noBody;
  mRequestSent = false;
  mWriteFailed = false;
  mHasReadEnd = false;
  mAnyByteSent = false;
  mHeadDelivered = false;
  mSkippingResponse = false;
  mSkippedBytes = 0;
  mPaused = false;
  mCall = BackendCallNumber(mCall.Value() + 1);
  if (mNoBody) {
    mReader.ExpectNoBody();
  }
  if (mState == State::kNew) {
    mState = State::kConnecting;
    mExecutor.Post([self = shared_from_this()] { self->Connect(); });
    return mCall;
  }
  mState = State::kBusy;
  SendRequest();
  return mCall;
}

void
BackendConnection::Connect()
{
  if (mState != State::kConnecting) {
    return;
  }
  if (mOptions.path != nullptr) {
    mTunnel = mOptions.path->PickTunnel();
  }
  ConnectTo(mTunnel.empty() ? mOptions.address.Value() : mTunnel);
}

void
BackendConnection::ConnectTo(const std::string& aAddress)
{
  const auto address = ParseSocketAddress(aAddress);
  if (!address) {
    Fail(BackendCallFault::kNotSent);
    return;
  }
  mConnectTimer =
    mExecutor.RunAfter(mOptions.connectTimeout, [weak = weak_from_this()] {
      if (const auto self = weak.lock();
          self && self->mState == State::kConnecting) {
        self->OnConnectFailed();
      }
    });
  mSocket.async_connect(tcp::endpoint(address->Ip(), address->port),
                        [self = shared_from_this(), attempt = mConnectAttempt](
                          const asio::error_code& aCode) {
                          if (self->IsConnecting(attempt)) {
                            self->OnConnected(aCode);
                          }
                        });
}

void
BackendConnection::OnConnectFailed()
{
  mConnectTimer.Cancel();
  if (mOptions.path == nullptr) {
    Fail(BackendCallFault::kNotSent);
    return;
  }
  if (IsTunnel()) {
    // Without an answer, the peer or the way to it is at fault.
    mOptions.path->OnTunnel(mTunnel, policy::TunnelOutcome::kPeerUnreachable);
  } else {
    mOptions.path->OnDirect(mOptions.backend, false);
  }
  TryTunnel();
}

void
BackendConnection::TryTunnel()
{
  asio::error_code ec;
  mSocket.close(ec);
  mConnectAttempt++;
  mTunnel = mTunnelsTried++ < kMaxTunnelsTried ? mOptions.path->PickTunnel()
                                               : std::string();
  if (mTunnel.empty()) {
    Fail(BackendCallFault::kNotSent);
    return;
  }
  ConnectTo(mTunnel);
}

void
BackendConnection::RequestTunnel()
{
  const auto& target = mOptions.address.Value();
  mTunnelBytes =
    "CONNECT " + target + " HTTP/1.1\r\nHost: " + target + "\r\n\r\n";
  asio::async_write(
    mSocket,
    asio::buffer(mTunnelBytes),
    [self = shared_from_this(),
     attempt = mConnectAttempt](const asio::error_code& aCode, std::size_t) {
      if (!self->IsConnecting(attempt)) {
        return;
      }
      if (aCode) {
        self->OnConnectFailed();
        return;
      }
      self->mTunnelBytes.clear();
      // The backend server sends nothing before it has a request, so that only
      // the peer's answer is read here.
      asio::async_read_until(
        self->mSocket,
        asio::dynamic_buffer(self->mTunnelBytes, kMaxTunnelAnswerBytes),
        "\r\n\r\n",
        [self, attempt](const asio::error_code& aRead, std::size_t) {
          if (self->IsConnecting(attempt)) {
            self->OnTunnelAnswer(aRead);
          }
        });
    });
}

void
BackendConnection::OnTunnelAnswer(const asio::error_code& aCode)
{
  if (aCode) {
    OnConnectFailed();
    return;
  }
  mConnectTimer.Cancel();
  const auto outcome = TunnelOutcomeOf(mTunnelBytes);
  mOptions.path->OnTunnel(mTunnel, outcome);
  switch (outcome) {
    case policy::TunnelOutcome::kConnected:
      OnReady();
      return;
    case policy::TunnelOutcome::kServerUnreachable:
      Fail(BackendCallFault::kNotSent);
      return;
    default:
      TryTunnel();
  }
}

void
BackendConnection::OnConnected(const asio::error_code& aCode)
{
  if (mState != State::kConnecting) {
    return;
  }
  if (aCode) {
    OnConnectFailed();
    return;
  }
  if (IsTunnel()) {
    RequestTunnel(); // within the same time
    return;
  }
  mConnectTimer.Cancel();
  if (mOptions.path != nullptr) {
    mOptions.path->OnDirect(mOptions.backend, true);
  }
  OnReady();
}

void
BackendConnection::OnReady()
{
  SetSocketOptions(mSocket, mOptions.liveness);
  asio::error_code ec;
  mSocket.non_blocking(true, ec);
  mState = State::kBusy;
  SendRequest();
  WaitForData();
}

void
BackendConnection::SendRequest()
{
  // The body is kept until it is written, also if the call ends before.
  const std::array<asio::const_buffer, 2> buffers{
    asio::buffer(mRequestBytes),
    mRequestBody ? asio::buffer(*mRequestBody) : asio::const_buffer()
  };
  asio::async_write(mSocket,
                    buffers,
                    [self = shared_from_this(), body = mRequestBody](
                      const asio::error_code& aCode, std::size_t aBytes) {
                      self->OnRequestSent(aCode, aBytes);
                    });
}

void
BackendConnection::OnRequestSent(const asio::error_code& aCode,
                                 std::size_t aBytes)
{
  mAnyByteSent = mAnyByteSent || aBytes > 0;
  if (mState != State::kBusy) {
    return;
  }
  mRequestSent = !aCode;
  mWriteFailed = static_cast<bool>(aCode);
  // After a write error, a response that the backend server sent early may
  // still be in the receive buffer. If some bytes were sent, the call therefore
  // fails only when reading reaches the end of the connection.
  if (aCode && !mAnyByteSent) {
    Fail(BackendCallFault::kNotSent);
  } else if (mHasReadEnd) {
    OnConnectionEnded(asio::error::eof);
  }
}

void
BackendConnection::WaitForData()
{
  if (mReadPending || mPaused || mState == State::kClosed) {
    return;
  }
  mReadPending = true;
  mSocket.async_wait(
    tcp::socket::wait_read,
    [self = shared_from_this()](const asio::error_code& aCode) {
      self->mReadPending = false;
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
  if (mState == State::kIdle) {
    // No call is running: the backend server closed the connection, or sent
    // bytes that belong to no call.
    Close();
    return;
  }
  std::array<char, kReadBytes> buffer{};
  asio::error_code ec;
  const auto n = mSocket.read_some(asio::buffer(buffer), ec);
  if (ec == asio::error::would_block) {
    WaitForData();
    return;
  }
  if (ec) {
    OnConnectionEnded(ec);
    return;
  }
  if (!mReader.Feed({ buffer.data(), n })) {
    Fail(BackendCallFault::kMalformed);
    return;
  }
  Deliver();
  WaitForData();
}

void
BackendConnection::OnConnectionEnded(const asio::error_code& aCode)
{
  if (aCode == asio::error::timed_out) {
    if (mOptions.path != nullptr && !IsTunnel()) {
      mOptions.path->OnDirect(mOptions.backend, false);
    }
    Fail(BackendCallFault::kUnacknowledged);
    return;
  }
  mHasReadEnd = aCode == asio::error::eof;
  if (mHasReadEnd && !mRequestSent && !mWriteFailed) {
    // A reset is reported only once, either to the write that is in progress or
    // to the read. The end that was read is an orderly one if the write
    // succeeds.
    return;
  }
  // A body without a length is complete only if the backend server closed the
  // connection in an orderly way.
  if (aCode != asio::error::eof || mWriteFailed || !mReader.FeedEof() ||
      mSkippingResponse) {
    if (mOptions.path != nullptr && !IsTunnel()) {
      mOptions.path->OnBroken();
    }
    Fail(BackendCallFault::kConnectionLost);
    return;
  }
  Deliver();
}

void
BackendConnection::Deliver()
{
  const auto self = shared_from_this();
  while (mState == State::kBusy && mReader.HasHead()) {
    if (!mHeadDelivered && !mSkippingResponse) {
      const auto match = mObserver->MatchResponse(mReader.Head());
      if (mState != State::kBusy) {
        return;
      }
      if (!mReuse.OnResponse(match)) {
        Fail(BackendCallFault::kMalformed);
        return;
      }
      if (match == ResponseMatch::kOtherCall) {
        mSkippingResponse = true;
      } else {
        mHeadDelivered = true;
        mObserver->OnHead(mReader.Head());
        if (mState != State::kBusy) {
          return;
        }
      }
    }
    auto body = mReader.TakeBody();
    if (mSkippingResponse) {
      mSkippedBytes += body.size();
      if (mSkippedBytes > kMaxSkippedBytes) {
        Fail(BackendCallFault::kMalformed);
        return;
      }
      if (!mReader.Done()) {
        return;
      }
      SkipResponse();
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
BackendConnection::SkipResponse()
{
  const bool keepAlive = mReader.Head().keepAlive;
  mSkippingResponse = false;
  mReader.Next();
  if (mNoBody) {
    mReader.ExpectNoBody();
  }
  if (!keepAlive) {
    Fail(BackendCallFault::kConnectionLost);
  } else if (!mReader.Feed({})) {
    Fail(BackendCallFault::kMalformed);
  }
}

void
BackendConnection::EndCall()
{
  auto* observer = std::exchange(mObserver, nullptr);
  const auto& head = mReader.Head();
  // A request that was answered early may not have been sent completely. Its
  // connection is not reused, because the backend server would read the next
  // request as the rest of this one.
  const bool reusable = mReuse.MayCarryMore() && head.keepAlive &&
                        !head.endsWithConnection && mRequestSent &&
                        mReader.BufferedBytes() == 0 && !mPoolAlive.expired();
  auto idleTimeout = mOptions.idleTimeout;
  if (const auto serverTimeout =
        ParseKeepAliveTimeout(FindHeader(head.headers, "Keep-Alive"))) {
    idleTimeout = std::min<Duration>(idleTimeout, *serverTimeout);
  }
  mReader.Next();
  mRequestBytes = {};
  mRequestBody.reset();
  mPaused = false;
  if (reusable) {
    mState = State::kIdle;
    mPool.AddIdle(shared_from_this(), idleTimeout);
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

bool
BackendConnection::IsRunning(BackendCallNumber aCall) const
{
  return mObserver != nullptr && mCall == aCall;
}

void
BackendConnection::Abandon(BackendCallNumber aCall)
{
  if (IsRunning(aCall)) {
    mObserver = nullptr;
    Close();
  }
}

void
BackendConnection::Pause(BackendCallNumber aCall)
{
  mPaused = mPaused || (IsRunning(aCall) && mState == State::kBusy);
}

void
BackendConnection::Resume(BackendCallNumber aCall)
{
  if (IsRunning(aCall) && std::exchange(mPaused, false)) {
    WaitForData();
  }
}

bool
BackendConnection::IsQuiet() const
{
  asio::error_code ec;
  return mSocket.available(ec) == 0 && !ec;
}

void
BackendConnection::Close()
{
  const bool wasIdle = mState == State::kIdle;
  mState = State::kClosed;
  mConnectTimer.Cancel();
  asio::error_code ec;
  mSocket.close(ec);
  if (wasIdle && !mPoolAlive.expired()) {
    mPool.RemoveIdle(this);
  }
}

} // namespace firefly

#include "servers/link/link_client.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include <asio/ip/tcp.hpp>

#include "servers/link/http2_connection.h"

namespace firefly {

namespace {

constexpr int kSuccess = 200;

LinkError
NotSentError(std::string aMessage)
{
  return { .kind = LinkErrorKind::kNotSent,
           .status = 0,
           .message = std::move(aMessage) };
}

LinkError
LostError(Http2Delivery aDelivery, std::string aMessage)
{
  const auto kind = aDelivery == Http2Delivery::kNotSent
                      ? LinkErrorKind::kNotSent
                      : LinkErrorKind::kUnknown;
  return { .kind = kind, .status = 0, .message = std::move(aMessage) };
}

} // namespace

class LinkClient::Impl
  : public Http2Listener
  , public std::enable_shared_from_this<Impl>
{
public:
  Impl(AsioExecutor& aExecutor, Options aOptions)
    : mExecutor(aExecutor)
    , mOptions(std::move(aOptions))
    , mBackoff(mOptions.firstBackoff)
  {
  }

  void Call(std::string aPath,
            std::string aBody,
            Duration aTimeout,
            LinkCallback aCallback);
  void Stop();

  [[nodiscard]] std::size_t Outstanding() const { return mCalls.size(); }

  void OnMessage(StreamNumber aStream, Http2Message aMessage) override;
  void OnStreamLost(StreamNumber aStream, Http2Delivery aDelivery) override;
  void OnClosed(const std::string& aReason) override;

private:
  using CallNumber = std::uint64_t;

  // A call that has no reply yet. It has no stream until the client is
  // connected.
  struct PendingCall
  {
    std::string path;
    std::string body;
    LinkCallback callback;
    std::optional<StreamNumber> stream;
    Timer timer;
  };

  void Connect();
  void OnConnected(const std::error_code& aError);
  void Submit(CallNumber aNumber);
  void Expire(CallNumber aNumber);
  void Finish(CallNumber aNumber, tl::expected<std::string, LinkError> aResult);
  void FailLater(LinkCallback aCallback, LinkError aError);
  [[nodiscard]] std::optional<CallNumber> FindStream(
    StreamNumber aStream) const;

  AsioExecutor& mExecutor;
  Options mOptions;
  Duration mBackoff;
  Instant mRetryAt{};
  bool mStopped = false;
  std::optional<asio::ip::tcp::socket> mConnecting;
  Timer mConnectTimer;
  std::shared_ptr<Http2Connection> mConnection;
  CallNumber mNextCall = 0;
  std::map<CallNumber, PendingCall> mCalls;
  std::map<StreamNumber, CallNumber> mStreams;
};

void
LinkClient::Impl::Call(std::string aPath,
                       std::string aBody,
                       Duration aTimeout,
                       LinkCallback aCallback)
{
  if (mCalls.size() >= mOptions.maxCalls) {
    FailLater(std::move(aCallback), NotSentError("too many outstanding calls"));
    return;
  }
  const bool idle = !mConnection && !mConnecting;
  if (idle && mExecutor.Now() < mRetryAt) {
    FailLater(
      std::move(aCallback),
      NotSentError(
        "the peer could not be reached; waiting before the next connect"));
    return;
  }
  const CallNumber number = mNextCall++;
  PendingCall& call = mCalls[number];
  call.path = std::move(aPath);
  call.body = std::move(aBody);
  call.callback = std::move(aCallback);
  call.timer = mExecutor.RunAfter(aTimeout, [this, number] { Expire(number); });
  if (mConnection) {
    Submit(number);
    return;
  }
  if (idle) {
    Connect();
  }
}

void
LinkClient::Impl::Stop()
{
  mStopped = true;
  mCalls.clear();
  mConnectTimer.Cancel();
  mConnecting.reset();
  if (mConnection) {
    mConnection->Detach();
    mConnection.reset();
  }
}

void
LinkClient::Impl::Connect()
{
  std::error_code ec;
  const auto address = asio::ip::make_address(mOptions.address, ec);
  mConnecting.emplace(mExecutor.Context());
  mConnectTimer = mExecutor.RunAfter(mOptions.connectTimeout, [this] {
    OnConnected(std::make_error_code(std::errc::timed_out));
  });
  const asio::ip::tcp::endpoint endpoint(address, mOptions.port);
  mConnecting->async_connect(
    endpoint, [self = shared_from_this()](const std::error_code& aError) {
      // A connect that was cancelled ends with this error.
      if (aError != asio::error::operation_aborted) {
        self->OnConnected(aError);
      }
    });
}

void
LinkClient::Impl::OnConnected(const std::error_code& aError)
{
  if (mStopped || !mConnecting) {
    return;
  }
  mConnectTimer.Cancel();
  asio::ip::tcp::socket socket = std::move(*mConnecting);
  mConnecting.reset();
  if (aError) {
    mRetryAt = mExecutor.Now() + mBackoff;
    mBackoff = std::min(mBackoff * 2, mOptions.maxBackoff);
    OnClosed(aError.message());
    return;
  }
  mBackoff = mOptions.firstBackoff;
  mConnection = std::make_shared<Http2Connection>(
    mExecutor,
    std::move(socket),
    Http2Connection::Options{ .side = Http2Connection::Side::kClient,
                              .maxBodyBytes = mOptions.maxBodyBytes,
                              .pingInterval = mOptions.pingInterval,
                              .pingTimeout = mOptions.pingTimeout },
    *this);
  mConnection->Start();
  std::vector<CallNumber> waiting;
  for (const auto& [number, call] : mCalls) {
    waiting.push_back(number);
  }
  for (const CallNumber number : waiting) {
    Submit(number);
  }
}

void
LinkClient::Impl::Submit(CallNumber aNumber)
{
  PendingCall& call = mCalls.at(aNumber);
  const StreamNumber stream =
    mConnection->SendRequest(call.path, std::move(call.body));
  if (stream < 0) {
    mExecutor.Post([self = shared_from_this(), aNumber] {
      self->Finish(aNumber,
                   tl::make_unexpected(NotSentError(
                     "the connection is closed or accepts no more requests")));
    });
    return;
  }
  call.stream = stream;
  mStreams[stream] = aNumber;
}

void
LinkClient::Impl::Expire(CallNumber aNumber)
{
  const std::optional<StreamNumber> stream = mCalls.at(aNumber).stream;
  if (!stream) {
    Finish(
      aNumber,
      tl::make_unexpected(NotSentError("timeout before the request was sent")));
    return;
  }
  const Http2Delivery delivery = mConnection->Delivery(*stream);
  mConnection->Cancel(*stream);
  Finish(
    aNumber,
    tl::make_unexpected(LostError(delivery, "timeout waiting for the reply")));
}

void
LinkClient::Impl::Finish(CallNumber aNumber,
                         tl::expected<std::string, LinkError> aResult)
{
  const auto it = mCalls.find(aNumber);
  if (it == mCalls.end()) {
    return;
  }
  PendingCall call = std::move(it->second);
  mCalls.erase(it);
  if (call.stream) {
    mStreams.erase(*call.stream);
  }
  call.callback(std::move(aResult));
}

void
LinkClient::Impl::FailLater(LinkCallback aCallback, LinkError aError)
{
  mExecutor.Post([self = weak_from_this(),
                  callback = std::move(aCallback),
                  error = std::move(aError)] {
    const auto it = self.lock();
    if (it && !it->mStopped) {
      callback(tl::make_unexpected(error));
    }
  });
}

std::optional<LinkClient::Impl::CallNumber>
LinkClient::Impl::FindStream(StreamNumber aStream) const
{
  const auto it = mStreams.find(aStream);
  if (it == mStreams.end()) {
    return std::nullopt;
  }
  return it->second;
}

void
LinkClient::Impl::OnMessage(StreamNumber aStream, Http2Message aMessage)
{
  const auto number = FindStream(aStream);
  if (!number) {
    return;
  }
  if (aMessage.status == kSuccess) {
    Finish(*number, std::move(aMessage.body));
    return;
  }
  Finish(*number,
         tl::make_unexpected(LinkError{ .kind = LinkErrorKind::kRefused,
                                        .status = aMessage.status,
                                        .message = aMessage.body }));
}

void
LinkClient::Impl::OnStreamLost(StreamNumber aStream, Http2Delivery aDelivery)
{
  if (const auto number = FindStream(aStream)) {
    Finish(
      *number,
      tl::make_unexpected(LostError(
        aDelivery, "the stream was closed before the reply was complete")));
  }
}

void
LinkClient::Impl::OnClosed(const std::string& aReason)
{
  const auto self = shared_from_this(); // a callback may destroy the client
  const auto connection = std::exchange(mConnection, nullptr);
  auto calls = std::exchange(mCalls, {});
  mStreams.clear();
  for (auto& [number, call] : calls) {
    call.timer.Cancel();
    const Http2Delivery delivery = call.stream && connection
                                     ? connection->Delivery(*call.stream)
                                     : Http2Delivery::kNotSent;
    if (mStopped) {
      return;
    }
    call.callback(tl::make_unexpected(LostError(delivery, aReason)));
  }
}

LinkClient::LinkClient(AsioExecutor& aExecutor, Options aOptions)
  : mImpl(std::make_shared<Impl>(aExecutor, std::move(aOptions)))
{
}

LinkClient::~LinkClient()
{
  mImpl->Stop();
}

void
LinkClient::Call(std::string aPath,
                 std::string aBody,
                 Duration aTimeout,
                 LinkCallback aCallback)
{
  mImpl->Call(
    std::move(aPath), std::move(aBody), aTimeout, std::move(aCallback));
}

std::size_t
LinkClient::Outstanding() const
{
  return mImpl->Outstanding();
}

} // namespace firefly

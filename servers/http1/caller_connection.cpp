#include "servers/http1/caller_connection.h"

#include <utility>

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include "servers/http1/answer_writer.h"

namespace firefly {

namespace {

// Bytes of further requests that are kept while one is being answered.
constexpr std::size_t kMaxAhead = 64U << 10U;
// How long a caller may take to close after its last answer.
constexpr Duration kLinger = std::chrono::seconds(1);
constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kContentTooLarge = 413;
constexpr int kHeadersTooLarge = 431;

} // namespace

// The way back for one request of the connection.
class CallerConnection::Answer : public CallerAnswer
{
public:
  Answer(std::shared_ptr<CallerConnection> aConnection, std::uint64_t aSequence)
    : mConnection(std::move(aConnection))
    , mSequence(aSequence)
  {
  }

  ~Answer() override
  {
    // Nobody will answer any more.
    if (IsOpen()) {
      mConnection->Close();
    }
  }
  Answer(const Answer&) = delete;
  Answer& operator=(const Answer&) = delete;

  void Observe(CallerObserver* aObserver) override
  {
    if (mConnection->mSequence == mSequence) {
      mConnection->mObserver = aObserver;
    }
  }

  void Send(int aStatus,
            std::string_view aReason,
            const HttpHeaders& aHeaders,
            std::string_view aBody) override
  {
    if (!IsOpen() || mConnection->mAnswerBegun) {
      return;
    }
    mConnection->SendHead(aStatus, aReason, aHeaders, aBody.size());
    mConnection->Queue(aBody);
    mConnection->FinishAnswer();
  }

  void Begin(int aStatus,
             std::string_view aReason,
             const HttpHeaders& aHeaders,
             std::optional<std::uint64_t> aBodyBytes) override
  {
    if (IsOpen() && !mConnection->mAnswerBegun) {
      mConnection->SendHead(aStatus, aReason, aHeaders, aBodyBytes);
      mConnection->Flush();
    }
  }

  void Write(std::string_view aBytes) override
  {
    if (!IsOpen()) {
      return;
    }
    mConnection->Queue(mConnection->mChunked ? ComposeChunk(aBytes)
                                             : std::string(aBytes));
    mConnection->Flush();
  }

  void Finish() override
  {
    if (!IsOpen()) {
      return;
    }
    if (mConnection->mChunked) {
      mConnection->Queue(LastChunk());
    }
    mConnection->FinishAnswer();
  }

  void Abort() override
  {
    if (IsOpen()) {
      mConnection->Close();
    }
  }

  [[nodiscard]] std::size_t Unsent() const override
  {
    return mConnection->mOut.size() + mConnection->mWriting.size();
  }

private:
  [[nodiscard]] bool IsOpen() const
  {
    return mConnection->mSequence == mSequence &&
           mConnection->mState == State::kAnswering &&
           !mConnection->mAnswerWhole;
  }

  std::shared_ptr<CallerConnection> mConnection;
  std::uint64_t mSequence;
};

CallerConnection::CallerConnection(asio::ip::tcp::socket aSocket,
                                   std::shared_ptr<CallerShared> aShared)
  : mSocket(std::move(aSocket))
  , mShared(std::move(aShared))
  , mReader({ .side = MessageReader::Side::kRequests,
              .maxHeadBytes = mShared->limits.maxHeadBytes,
              .maxBodyBytes = mShared->limits.maxBodyBytes })
{
  asio::error_code ec;
  const auto peer = mSocket.remote_endpoint(ec);
  mPeer = ec ? "unknown" : peer.address().to_string();
}

void
CallerConnection::Start()
{
  asio::error_code ec;
  mSocket.non_blocking(true, ec);
  SetState(State::kIdle);
  Wait();
}

bool
CallerConnection::Busy() const
{
  return mState == State::kHead || mState == State::kBody ||
         mState == State::kAnswering;
}

void
CallerConnection::SetState(State aState)
{
  const auto& limits = mShared->limits;
  const auto now = mShared->executor->Now();
  mState = aState;
  switch (aState) {
    case State::kHead:
      mDue = now + limits.headTimeout;
      break;
    case State::kLingering:
      mDue = now + kLinger;
      break;
    case State::kAnswering:
    case State::kClosed:
      mDue = Instant::max();
      break;
    case State::kIdle:
    case State::kBody:
      mDue = now + limits.idleTimeout;
      break;
  }
}

void
CallerConnection::CheckTime(Instant aNow)
{
  if (aNow < mDue) {
    return;
  }
  if (mState == State::kHead || mState == State::kBody) {
    Reject(kRequestTimeout, "Request Timeout");
    return;
  }
  Close();
}

void
CallerConnection::CloseIfIdle()
{
  if (mState == State::kIdle && mReader.Buffered() == 0) {
    Close();
  }
}

void
CallerConnection::Wait()
{
  if (mWaiting || mState == State::kClosed) {
    return;
  }
  if (mState == State::kAnswering && mReader.Buffered() > kMaxAhead) {
    return;
  }
  mWaiting = true;
  mSocket.async_wait(
    asio::ip::tcp::socket::wait_read,
    [self = shared_from_this()](const asio::error_code& aCode) {
      self->mWaiting = false;
      if (!aCode) {
        self->OnReadable();
      }
    });
}

void
CallerConnection::OnReadable()
{
  if (mState == State::kClosed) {
    return;
  }
  asio::error_code ec;
  auto& buffer = mShared->buffer;
  const auto n = mSocket.read_some(asio::buffer(buffer), ec);
  if (ec == asio::error::would_block) {
    Wait();
    return;
  }
  if (ec) {
    OnLost();
    return;
  }
  Take({ buffer.data(), n });
  Wait();
}

void
CallerConnection::Take(std::string_view aBytes)
{
  if (mState == State::kLingering) {
    return;
  }
  if (mState == State::kAnswering) {
    // Kept for the request after this one.
    mReader.Keep(aBytes);
    return;
  }
  if (mState == State::kIdle) {
    if (aBytes.empty() && mReader.Buffered() == 0) {
      return;
    }
    mReader.SetLimits(mShared->limits.maxHeadBytes,
                      mShared->limits.maxBodyBytes);
    SetState(State::kHead);
  }
  const auto fed = mReader.Feed(aBytes);
  if (!fed) {
    switch (fed.error()) {
      case MessageFault::kHeadTooLarge:
        Reject(kHeadersTooLarge, "Request Header Fields Too Large");
        return;
      case MessageFault::kBodyTooLarge:
        Reject(kContentTooLarge, "Content Too Large");
        return;
      case MessageFault::kMalformed:
      case MessageFault::kCut:
        Reject(kBadRequest, "Bad Request");
        return;
    }
  }
  if (mReader.Done()) {
    HandOver();
    return;
  }
  if (!mReader.HasHead()) {
    return;
  }
  if (mState == State::kHead &&
      SameHeaderName(FindHeader(mReader.Head().headers, "Expect"),
                     "100-continue")) {
    Queue("HTTP/1.1 100 Continue\r\n\r\n");
    Flush();
  }
  SetState(State::kBody);
}

void
CallerConnection::Reject(int aStatus, std::string_view aReason)
{
  mShared->handler->OnRejected(aStatus, mPeer);
  SetState(State::kAnswering);
  mSequence++;
  mAnswerBegun = false;
  mAnswerWhole = false;
  // What follows on the connection can't be told apart any more.
  mCloseAfter = true;
  SendHead(aStatus, aReason, {}, 0);
  FinishAnswer();
}

void
CallerConnection::HandOver()
{
  SetState(State::kAnswering);
  mSequence++;
  mObserver = nullptr;
  mAnswerBegun = false;
  mAnswerWhole = false;
  mCloseAfter = !mReader.Head().keepAlive;
  CallerRequest request{ .head = mReader.Head(),
                         .body = mReader.TakeBody(),
                         .peer = mPeer };
  mShared->handler->OnRequest(
    std::move(request),
    std::make_shared<Answer>(shared_from_this(), mSequence));
}

void
CallerConnection::SendHead(int aStatus,
                           std::string_view aReason,
                           const HttpHeaders& aHeaders,
                           std::optional<std::uint64_t> aBodyBytes)
{
  mAnswerBegun = true;
  mCloseAfter = mCloseAfter || mShared->retired;
  mChunked = !aBodyBytes;
  Queue(ComposeAnswerHead(aStatus,
                          aReason,
                          aHeaders,
                          { .bodyBytes = aBodyBytes, .close = mCloseAfter }));
}

void
CallerConnection::Queue(std::string_view aBytes)
{
  mOut.append(aBytes);
}

void
CallerConnection::Flush()
{
  if (!mWriting.empty() || mOut.empty() || mState == State::kClosed) {
    return;
  }
  mWriting.swap(mOut);
  asio::async_write(mSocket,
                    asio::buffer(mWriting),
                    [self = shared_from_this()](const asio::error_code& aCode,
                                                std::size_t /*aBytes*/) {
                      self->OnWritten(aCode);
                    });
}

void
CallerConnection::OnWritten(const asio::error_code& aCode)
{
  mWriting.clear();
  if (mState == State::kClosed) {
    return;
  }
  if (aCode) {
    OnLost();
    return;
  }
  if (!mOut.empty()) {
    Flush();
    return;
  }
  if (mAnswerWhole && mState == State::kAnswering) {
    EndAnswer();
  } else if (mObserver != nullptr) {
    mObserver->OnCallerTookAll();
  }
}

void
CallerConnection::FinishAnswer()
{
  mAnswerWhole = true;
  mObserver = nullptr;
  Flush();
}

void
CallerConnection::EndAnswer()
{
  if (mCloseAfter) {
    asio::error_code ec;
    mSocket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    SetState(State::kLingering);
    Wait();
    return;
  }
  mReader.Next();
  SetState(State::kIdle);
  if (mReader.Buffered() > 0) {
    Take({});
  }
  Wait();
}

void
CallerConnection::OnLost()
{
  auto* observer = std::exchange(mObserver, nullptr);
  Close();
  if (observer != nullptr) {
    observer->OnCallerGone();
  }
}

void
CallerConnection::Close()
{
  mObserver = nullptr;
  SetState(State::kClosed);
  mOut.clear();
  asio::error_code ec;
  mSocket.close(ec);
}

} // namespace firefly

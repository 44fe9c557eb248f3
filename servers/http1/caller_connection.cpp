#include "servers/http1/caller_connection.h"

#include <algorithm>
#include <array>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include "servers/http1/message_writer.h"

namespace firefly {

namespace {

// While a request is being answered, reading pauses once more than this many
// bytes of further requests are buffered.
constexpr std::size_t kMaxPipelinedBytes = 64U << 10U;
// Time that a caller has to close its connection after the last answer.
constexpr Duration kLingerTimeout = std::chrono::seconds(1);
// A request is refused once it has waited this long for memory, all waits
// together. Chunked bodies that each hold a part and wait for more would
// otherwise hold each other up.
constexpr Duration kMaxMemoryWait = std::chrono::seconds(1);
// A body that grows by less makes no progress, so that a caller can't keep its
// memory by sending single bytes.
constexpr std::size_t kProgressBytes = 16U << 10U;
// A caller may read its answer slowly, so an answer stalls later than a body.
constexpr Duration kAnswerStallTime = std::chrono::seconds(5);
// A chunked body is read in small pieces up to this size, so that the memory
// that is reserved for the next piece counts as small.
constexpr std::size_t kSmallPieceBytes = 12U << 10U;
// Output buffers above this size are freed once they are sent.
constexpr std::size_t kMaxKeptOutputBytes = 16U << 10U;

struct RejectionStatus
{
  RejectionCause cause;
  std::string_view name;
  int status;
  std::string_view reason;
};
constexpr std::array<RejectionStatus, 8> kRejections{ {
  { RejectionCause::kMalformed, "malformed", 400, "Bad Request" },
  { RejectionCause::kHeadTooLarge,
    "head-too-large",
    431,
    "Request Header Fields Too Large" },
  { RejectionCause::kBodyTooLarge, "body-too-large", 413, "Content Too Large" },
  { RejectionCause::kTooSlow, "too-slow", 408, "Request Timeout" },
  { RejectionCause::kNoMemory, "no-memory", 503, "Service Unavailable" },
  { RejectionCause::kStalled, "stalled", 408, "Request Timeout" },
  { RejectionCause::kNoConnection, "no-connection", 0, "" },
  { RejectionCause::kAnswerNotRead, "answer-not-read", 0, "" },
} };

const RejectionStatus&
StatusOf(RejectionCause aCause)
{
  return *std::ranges::find(kRejections, aCause, &RejectionStatus::cause);
}

RejectionCause
ToCause(MessageFault aFault)
{
  switch (aFault) {
    case MessageFault::kHeadTooLarge:
      return RejectionCause::kHeadTooLarge;
    case MessageFault::kBodyTooLarge:
      return RejectionCause::kBodyTooLarge;
    case MessageFault::kMalformed:
    case MessageFault::kTruncated:
      return RejectionCause::kMalformed;
  }
  return RejectionCause::kMalformed;
}

// A string has no memory of its own up to this capacity.
const std::size_t kInlineBytes = std::string().capacity();

std::size_t
AllocatedBytes(const std::string& aText)
{
  return aText.capacity() > kInlineBytes ? aText.capacity() : 0;
}

} // namespace

std::string_view
ToString(RejectionCause aCause)
{
  return StatusOf(aCause).name;
}

// Sends the answer to one request of the connection.
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
    // The answer can't be completed any more.
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
    if (!IsOpen() || mConnection->mAnswerStarted) {
      return;
    }
    mConnection->SendHead(aStatus, aReason, aHeaders, aBody.size());
    mConnection->QueueOutput(aBody);
    mConnection->FinishAnswer();
  }

  void Begin(int aStatus,
             std::string_view aReason,
             const HttpHeaders& aHeaders,
             std::optional<std::uint64_t> aBodyBytes) override
  {
    if (IsOpen() && !mConnection->mAnswerStarted) {
      mConnection->SendHead(aStatus, aReason, aHeaders, aBodyBytes);
      mConnection->FlushOutput();
    }
  }

  void Write(std::string_view aBytes) override
  {
    if (!IsOpen()) {
      return;
    }
    mConnection->QueueOutput(mConnection->mChunked ? ComposeChunk(aBytes)
                                                   : std::string(aBytes));
    mConnection->FlushOutput();
  }

  void Finish() override
  {
    if (!IsOpen()) {
      return;
    }
    if (mConnection->mChunked) {
      mConnection->QueueOutput(LastChunk());
    }
    mConnection->FinishAnswer();
  }

  void Abort() override
  {
    if (IsOpen()) {
      mConnection->Close();
    }
  }

  [[nodiscard]] std::size_t UnsentBytes() const override
  {
    return mConnection->mQueuedOutput.size() +
           mConnection->mOutputBeingWritten.size();
  }

private:
  [[nodiscard]] bool IsOpen() const
  {
    return mConnection->mSequence == mSequence &&
           mConnection->mState == State::kAnswering &&
           !mConnection->mAnswerComplete;
  }

  std::shared_ptr<CallerConnection> mConnection;
  std::uint64_t mSequence;
};

CallerConnection::CallerConnection(asio::ip::tcp::socket aSocket,
                                   std::shared_ptr<CallerServerState> aServer)
  : mSocket(std::move(aSocket))
  , mServer(std::move(aServer))
  , mReader({ .side = MessageReader::Side::kRequests,
              .maxHeadBytes = mServer->limits.maxHeadBytes,
              .maxBodyBytes = mServer->limits.maxBodyBytes })
  , mInputMemory(mServer->memory, MemoryUse::kInput)
  , mOutputMemory(mServer->memory, MemoryUse::kAnswers)
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
  mProgressAt = mServer->executor->Now();
  WaitForData();
}

bool
CallerConnection::IsBusy() const
{
  return mState == State::kHead || mState == State::kBody ||
         mState == State::kAnswering;
}

void
CallerConnection::SetState(State aState)
{
  const auto& limits = mServer->limits;
  const auto now = mServer->executor->Now();
  if (aState != mState) {
    mProgressAt = now;
    mProgressBytes = 0;
    if (aState != State::kBody) {
      mMemoryWait = Duration::zero();
    }
  }
  mState = aState;
  switch (aState) {
    case State::kHead:
      mDeadline = now + limits.headTimeout;
      break;
    case State::kLingering:
      mDeadline = now + kLingerTimeout;
      break;
    case State::kAnswering:
    case State::kClosed:
      mDeadline = Instant::max();
      break;
    case State::kIdle:
    case State::kBody:
      mDeadline = now + limits.idleTimeout;
      break;
  }
}

void
CallerConnection::CheckTimeout(Instant aNow)
{
  if (aNow < mDeadline) {
    return;
  }
  if (mState == State::kHead || mState == State::kBody) {
    Reject(RejectionCause::kTooSlow);
    return;
  }
  Close();
}

void
CallerConnection::RetryReservation()
{
  if (!mAwaitsMemory) {
    return;
  }
  const auto now = mServer->executor->Now();
  const auto waited = mMemoryWait + (now - mAwaitsSince);
  if (TryReserve(BytesForRead())) {
    SetAwaitsMemory(false);
    mMemoryWait = waited;
    SetState(State::kBody);
    mProgressAt = now;
    OnBodyReserved();
    WaitForData();
  } else if (waited >= kMaxMemoryWait) {
    Reject(RejectionCause::kNoMemory);
  }
}

Duration
CallerConnection::StalledFor(Instant aNow) const
{
  if (mIsReserving || mAwaitsMemory) {
    return Duration::zero();
  }
  if (mState == State::kHead || mState == State::kBody) {
    // Bytes that were not read yet are progress, for example after this process
    // was stopped.
    asio::error_code ec;
    return mSocket.available(ec) > 0 ? Duration::zero() : aNow - mProgressAt;
  }
  const bool isSending =
    mState == State::kAnswering && !mOutputBeingWritten.empty();
  const auto stalled = aNow - mOutputProgressAt;
  return isSending && stalled >= kAnswerStallTime ? stalled : Duration::zero();
}

void
CallerConnection::Evict()
{
  if (mState != State::kAnswering) {
    Reject(RejectionCause::kStalled);
    return;
  }
  mServer->handler->OnRejected({ .cause = RejectionCause::kAnswerNotRead,
                                 .peer = mPeer,
                                 .heldBytes = mOutputMemory.Bytes() });
  OnConnectionLost();
}

Duration
CallerConnection::IdleFor(Instant aNow) const
{
  return mState == State::kIdle && mReader.BufferedBytes() == 0
           ? aNow - mProgressAt
           : Duration::zero();
}

void
CallerConnection::CloseIfIdle()
{
  // A request may have arrived that was not read yet; closing the connection
  // then would reset it.
  asio::error_code ec;
  const auto unread = mSocket.available(ec);
  if (mState == State::kIdle && mReader.BufferedBytes() == 0 && unread == 0) {
    Close();
  }
}

void
CallerConnection::WaitForData()
{
  if (mReadPending || mState == State::kClosed || mAwaitsMemory) {
    return;
  }
  if (mState == State::kAnswering && !MayBufferMore()) {
    return;
  }
  mReadPending = true;
  mSocket.async_wait(
    asio::ip::tcp::socket::wait_read,
    [self = shared_from_this()](const asio::error_code& aCode) {
      self->mReadPending = false;
      if (!aCode) {
        self->OnReadable();
      }
    });
}

void
CallerConnection::OnReadable()
{
  if (mState == State::kClosed || mAwaitsMemory) {
    return;
  }
  asio::error_code ec;
  auto& buffer = mServer->buffer;
  const auto n =
    mSocket.read_some(asio::buffer(buffer.data(), MaxReadBytes()), ec);
  if (ec == asio::error::would_block) {
    WaitForData();
    return;
  }
  if (ec) {
    OnConnectionLost();
    return;
  }
  ProcessBytes({ buffer.data(), n });
  WaitForData();
}

void
CallerConnection::ProcessBytes(std::string_view aBytes)
{
  if (mState == State::kLingering) {
    return;
  }
  if (mState == State::kAnswering) {
    // The bytes belong to the next request.
    mReader.BufferBytes(aBytes);
    mInputMemory.Set(mReader.HeldBytes());
    return;
  }
  if (mState == State::kIdle) {
    if (aBytes.empty() && mReader.BufferedBytes() == 0) {
      return;
    }
    mReader.SetLimits(mServer->limits.maxHeadBytes,
                      mServer->limits.maxBodyBytes);
    SetState(State::kHead);
  }
  const auto fed = mReader.Feed(aBytes);
  if (!fed) {
    Reject(ToCause(fed.error()));
    return;
  }
  if (mReader.Done()) {
    PassRequestToHandler();
    return;
  }
  if (mReader.HasHead()) {
    mContinueRequested =
      mContinueRequested ||
      (mState == State::kHead &&
       SameHeaderName(FindHeader(mReader.Head().headers, "Expect"),
                      "100-continue"));
    SetState(State::kBody);
    RecordProgress();
  }
  if (ReserveForRead() && mReader.HasHead()) {
    OnBodyReserved();
  }
}

void
CallerConnection::RecordProgress()
{
  const auto bytes = mReader.BodyBytes();
  if (bytes - mProgressBytes >= kProgressBytes) {
    mProgressBytes = bytes;
    mProgressAt = mServer->executor->Now();
  }
}

std::size_t
CallerConnection::MaxReadBytes() const
{
  const bool isSmallChunkedBody = mState == State::kBody &&
                                  !mReader.Head().bodyBytes &&
                                  mReader.BodyBytes() < kSmallPieceBytes;
  return isSmallChunkedBody ? kSmallPieceBytes : CallerServerState::kReadBytes;
}

bool
CallerConnection::MayBufferMore() const
{
  const auto buffered = mReader.BufferedBytes();
  if (buffered == 0 || !mServer->memory) {
    return buffered <= kMaxPipelinedBytes;
  }
  const auto bytes = mInputMemory.Bytes();
  return buffered <= kMaxPipelinedBytes &&
         mServer->memory->Allows(bytes, bytes + CallerServerState::kReadBytes);
}

std::size_t
CallerConnection::BytesForRead() const
{
  const auto held = mReader.HeldBytes();
  if (!mReader.HasHead()) {
    return held;
  }
  // A string whose final size is unknown allocates up to twice its size.
  constexpr std::size_t kGrowth = 2;
  const auto& length = mReader.Head().bodyBytes;
  const auto body = length ? static_cast<std::size_t>(*length)
                           : kGrowth * (mReader.BodyBytes() + MaxReadBytes());
  const auto capacity = mReader.BodyCapacity();
  return held - capacity + std::max(capacity, body);
}

bool
CallerConnection::TryReserve(std::size_t aBytes)
{
  mIsReserving = true;
  bool isReserved = mInputMemory.TryReserve(aBytes);
  while (!isReserved && mServer->evictStalled && mServer->evictStalled()) {
    isReserved = mInputMemory.TryReserve(aBytes);
  }
  mIsReserving = false;
  return isReserved;
}

bool
CallerConnection::ReserveForRead()
{
  const auto bytes = BytesForRead();
  if (TryReserve(bytes)) {
    return true;
  }
  if (bytes <= MemoryBudget::kSmallBytes || mMemoryWait >= kMaxMemoryWait) {
    Reject(RejectionCause::kNoMemory);
    return false;
  }
  mInputMemory.Set(std::max(mInputMemory.Bytes(), mReader.HeldBytes()));
  SetAwaitsMemory(true);
  mAwaitsSince = mServer->executor->Now();
  return false;
}

void
CallerConnection::SetAwaitsMemory(bool aAwaits)
{
  if (std::exchange(mAwaitsMemory, aAwaits) != aAwaits) {
    mServer->awaitingMemory += aAwaits ? 1 : -1;
  }
}

void
CallerConnection::OnBodyReserved()
{
  if (const auto& length = mReader.Head().bodyBytes) {
    mReader.ReserveBody(static_cast<std::size_t>(*length));
  }
  if (std::exchange(mContinueRequested, false)) {
    QueueOutput("HTTP/1.1 100 Continue\r\n\r\n");
    FlushOutput();
  }
}

void
CallerConnection::Reject(RejectionCause aCause)
{
  const auto& status = StatusOf(aCause);
  RefusalAnswer answer{ .status = status.status,
                        .reason = std::string(status.reason),
                        .headers = {},
                        .body = {} };
  if (aCause == RejectionCause::kNoMemory) {
    const MessageHead unknown;
    answer = mServer->handler->ComposeRefusal(mReader.HasHead() ? mReader.Head()
                                                                : unknown);
  }
  mServer->handler->OnRejected({ .cause = aCause,
                                 .status = answer.status,
                                 .peer = mPeer,
                                 .heldBytes = mInputMemory.Bytes() });
  SetAwaitsMemory(false);
  mContinueRequested = false;
  mReader.Discard();
  mInputMemory.Set(0);
  SetState(State::kAnswering);
  mSequence++;
  mAnswerStarted = false;
  mAnswerComplete = false;
  // The start of the next request on this connection is unknown.
  mCloseAfterAnswer = true;
  SendHead(answer.status, answer.reason, answer.headers, answer.body.size());
  QueueOutput(answer.body);
  FinishAnswer();
}

void
CallerConnection::PassRequestToHandler()
{
  // The body keeps its memory, now held by the request. If it was received
  // together with the head, nothing is reserved yet.
  const auto held = mReader.HeldBytes();
  if (!TryReserve(held)) {
    Reject(RejectionCause::kNoMemory);
    return;
  }
  CallerRequest request{ .head = mReader.Head(),
                         .body = mReader.TakeBody(),
                         .peer = mPeer,
                         .memory = { mServer->memory, MemoryUse::kRequests } };
  mInputMemory.Set(mReader.HeldBytes());
  request.memory.Set(AllocatedBytes(request.body));
  SetState(State::kAnswering);
  mContinueRequested = false;
  mSequence++;
  mObserver = nullptr;
  mAnswerStarted = false;
  mAnswerComplete = false;
  mCloseAfterAnswer = !mReader.Head().keepAlive;
  mServer->handler->OnRequest(
    std::move(request),
    std::make_shared<Answer>(shared_from_this(), mSequence));
}

void
CallerConnection::SendHead(int aStatus,
                           std::string_view aReason,
                           const HttpHeaders& aHeaders,
                           std::optional<std::uint64_t> aBodyBytes)
{
  mAnswerStarted = true;
  mCloseAfterAnswer = mCloseAfterAnswer || mServer->closeAfterAnswers;
  mChunked = !aBodyBytes;
  QueueOutput(ComposeResponseHead(
    aStatus,
    aReason,
    aHeaders,
    { .bodyBytes = aBodyBytes, .close = mCloseAfterAnswer }));
}

void
CallerConnection::QueueOutput(std::string_view aBytes)
{
  mQueuedOutput.append(aBytes);
}

void
CallerConnection::FlushOutput()
{
  if (!mOutputBeingWritten.empty() || mQueuedOutput.empty() ||
      mState == State::kClosed) {
    return;
  }
  mOutputBeingWritten.swap(mQueuedOutput);
  mOutputProgressAt = mServer->executor->Now();
  CountOutput();
  asio::async_write(mSocket,
                    asio::buffer(mOutputBeingWritten),
                    [self = shared_from_this()](const asio::error_code& aCode,
                                                std::size_t /*aBytes*/) {
                      self->OnWritten(aCode);
                    });
}

void
CallerConnection::OnWritten(const asio::error_code& aCode)
{
  mOutputBeingWritten.clear();
  if (mOutputBeingWritten.capacity() > kMaxKeptOutputBytes) {
    std::string().swap(mOutputBeingWritten);
  }
  CountOutput();
  if (mState == State::kClosed) {
    return;
  }
  if (aCode) {
    OnConnectionLost();
    return;
  }
  if (!mQueuedOutput.empty()) {
    FlushOutput();
    return;
  }
  if (mAnswerComplete && mState == State::kAnswering) {
    OnAnswerSent();
  } else if (mObserver != nullptr) {
    mObserver->OnOutputAccepted();
  }
}

void
CallerConnection::CountOutput()
{
  mOutputMemory.Set(AllocatedBytes(mQueuedOutput) +
                    AllocatedBytes(mOutputBeingWritten));
}

void
CallerConnection::FinishAnswer()
{
  mAnswerComplete = true;
  mObserver = nullptr;
  FlushOutput();
}

void
CallerConnection::OnAnswerSent()
{
  if (mCloseAfterAnswer) {
    asio::error_code ec;
    mSocket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    SetState(State::kLingering);
    WaitForData();
    return;
  }
  mReader.Next();
  mInputMemory.Set(mReader.HeldBytes());
  SetState(State::kIdle);
  if (mReader.BufferedBytes() > 0) {
    ProcessBytes({});
  }
  WaitForData();
}

void
CallerConnection::OnConnectionLost()
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
  SetAwaitsMemory(false);
  mReader.Discard();
  mInputMemory.Set(0);
  std::string().swap(mQueuedOutput);
  // The cancelled write frees the rest before anything else runs.
  mOutputMemory.Set(0);
  asio::error_code ec;
  mSocket.close(ec);
}

} // namespace firefly

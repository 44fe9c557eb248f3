#pragma once

// A caller's connection. It reads a request, passes it to the handler, sends
// the answer and then continues with the next request.

#include <array>
#include <functional>
#include <memory>
#include <string>

#include <asio/ip/tcp.hpp>

#include "servers/http1/caller_server.h"

namespace firefly {

// State that all connections of one server share.
struct CallerServerState
{
  static constexpr std::size_t kReadBytes = 64U << 10U;

  AsioExecutor* executor = nullptr;
  CallerHandler* handler = nullptr;
  CallerServer::Limits limits;
  std::shared_ptr<MemoryBudget> memory;
  // Closes or rejects the connection that holds memory and has made no progress
  // for the longest time. Returns false if there is none.
  std::function<bool()> evictStalled;
  // The number of connections that wait for memory.
  std::size_t awaitingMemory = 0;
  // Each answer that starts from now on is the last one of its connection.
  bool closeAfterAnswers = false;
  // Read buffer of all connections. They can share it because they run on a
  // single thread and each processes its bytes before the next one reads.
  std::array<char, kReadBytes> buffer{};
};

class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
  CallerConnection(asio::ip::tcp::socket aSocket,
                   std::shared_ptr<CallerServerState> aServer);

  void Start();

  // Rejects the request or closes the connection if its time limit has passed.
  // Must be called a few times a second.
  void CheckTimeout(Instant aNow);

  // Closes the connection if no byte of a request has been received.
  void CloseIfIdle();

  // Reads on if there is memory now.
  void RetryReservation();

  // How long a connection that holds memory has made no progress, for example
  // because its caller does not send the rest of a body or does not read its
  // answer. Zero if the connection is not to be evicted.
  [[nodiscard]] Duration StalledFor(Instant aNow) const;

  // Frees the memory of a stalled connection: rejects the request, or closes
  // the connection if its answer is not read.
  void Evict();

  // How long no byte of a request was received; zero if some was.
  [[nodiscard]] Duration IdleFor(Instant aNow) const;

  [[nodiscard]] bool AwaitsMemory() const { return mAwaitsMemory; }
  [[nodiscard]] bool IsClosed() const { return mState == State::kClosed; }
  [[nodiscard]] bool IsBusy() const;

private:
  class Answer;
  enum class State : std::uint8_t
  {
    kIdle, // no byte of the next request was received
    kHead,
    kBody,
    kAnswering,
    // The last answer was sent. Further bytes from the caller are discarded.
    kLingering,
    kClosed,
  };

  void WaitForData();
  void OnReadable();
  void ProcessBytes(std::string_view aBytes);
  // Reserves what the next read of the request needs. Returns false if reading
  // pauses or the request was rejected.
  bool ReserveForRead();
  [[nodiscard]] std::size_t BytesForRead() const;
  bool TryReserve(std::size_t aBytes);
  void OnBodyReserved();
  void SetAwaitsMemory(bool aAwaits);
  [[nodiscard]] std::size_t MaxReadBytes() const;
  [[nodiscard]] bool MayBufferMore() const;
  void RecordProgress();
  void Reject(RejectionCause aCause);
  void CountOutput();
  void PassRequestToHandler();
  void SendHead(int aStatus,
                std::string_view aReason,
                const HttpHeaders& aHeaders,
                std::optional<std::uint64_t> aBodyBytes);
  void QueueOutput(std::string_view aBytes);
  void FlushOutput();
  void OnWritten(const asio::error_code& aCode);
  void FinishAnswer();
  void OnAnswerSent();
  void OnConnectionLost();
  void Close();
  void SetState(State aState);

  asio::ip::tcp::socket mSocket;
  std::shared_ptr<CallerServerState> mServer;
  MessageReader mReader;
  std::string mPeer;
  State mState = State::kIdle;
  Instant mDeadline{};
  bool mReadPending = false;
  // Number of the current request. A CallerAnswer of an earlier request has no
  // effect. The members below up to mCloseAfterAnswer belong to this request.
  std::uint64_t mSequence = 0;
  CallerObserver* mObserver = nullptr;
  bool mChunked = false;
  bool mAnswerStarted = false;
  bool mAnswerComplete = false;
  bool mCloseAfterAnswer = false;
  std::string mQueuedOutput;
  std::string mOutputBeingWritten;
  // The memory of received bytes and of unsent output.
  MemoryReservation mInputMemory;
  MemoryReservation mOutputMemory;
  // Reading pauses until there is memory.
  bool mAwaitsMemory = false;
  Instant mAwaitsSince{};
  // The time of the former waits for memory of this request.
  Duration mMemoryWait{};
  // When the connection last made progress, and the bytes of the body then.
  Instant mProgressAt{};
  std::size_t mProgressBytes = 0;
  bool mContinueRequested = false;
  // The reservation in progress must not evict this connection.
  bool mIsReserving = false;
  // When the caller last accepted output.
  Instant mOutputProgressAt{};
};

} // namespace firefly

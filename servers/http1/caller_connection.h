#pragma once

// A caller's connection. It reads a request, passes it to the handler, sends
// the answer and then continues with the next request.

#include <array>
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
  void Reject(int aStatus, std::string_view aReason);
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
};

} // namespace firefly

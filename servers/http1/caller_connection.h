#pragma once

// One caller's connection: reads a request, has it answered, reads the next.

#include <array>
#include <memory>
#include <string>

#include <asio/ip/tcp.hpp>

#include "servers/http1/caller_server.h"

namespace firefly {

// What the connections of one server share.
struct CallerShared
{
  static constexpr std::size_t kReadBytes = 64U << 10U;

  AsioExecutor* executor = nullptr;
  CallerHandler* handler = nullptr;
  CallerServer::Limits limits;
  bool retired = false;
  // Connections read one after the other, so that one buffer serves all.
  std::array<char, kReadBytes> buffer{};
};

class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
  CallerConnection(asio::ip::tcp::socket aSocket,
                   std::shared_ptr<CallerShared> aShared);

  void Start();

  // Ends the connection if it took too long; call it a few times a second.
  void CheckTime(Instant aNow);

  // Closes the connection if it carries no request.
  void CloseIfIdle();

  [[nodiscard]] bool Closed() const { return mState == State::kClosed; }
  [[nodiscard]] bool Busy() const;

private:
  class Answer;
  enum class State : std::uint8_t
  {
    kIdle, // no byte of a request yet
    kHead,
    kBody,
    kAnswering,
    // The answer is out; what the caller still sends is dropped.
    kLingering,
    kClosed,
  };

  void Wait();
  void OnReadable();
  void Take(std::string_view aBytes);
  void Reject(int aStatus, std::string_view aReason);
  void HandOver();
  void SendHead(int aStatus,
                std::string_view aReason,
                const HttpHeaders& aHeaders,
                std::optional<std::uint64_t> aBodyBytes);
  void Queue(std::string_view aBytes);
  void Flush();
  void OnWritten(const asio::error_code& aCode);
  void FinishAnswer();
  void EndAnswer();
  void OnLost();
  void Close();
  void SetState(State aState);

  asio::ip::tcp::socket mSocket;
  std::shared_ptr<CallerShared> mShared;
  MessageReader mReader;
  std::string mPeer;
  State mState = State::kIdle;
  Instant mDue{};
  bool mWaiting = false;
  // Of the request that is being answered.
  std::uint64_t mSequence = 0;
  CallerObserver* mObserver = nullptr;
  bool mChunked = false;
  bool mAnswerBegun = false;
  bool mAnswerWhole = false;
  bool mCloseAfter = false;
  std::string mOut;
  std::string mWriting;
};

} // namespace firefly

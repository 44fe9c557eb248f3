#pragma once

// One HTTP/2 connection: an nghttp2 session fed by one socket. It carries
// whole messages and finds a connection that went silent by PING. Used by the
// link's client and server only.

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include <asio/ip/tcp.hpp>

#include "servers/http/asio_executor.h"

struct nghttp2_session;

namespace firefly {

// The number of a stream within its connection.
using StreamNumber = std::int32_t;

// A request (with a path) or an answer (with a status), whole.
struct Http2Message
{
  std::string path;
  int status = 0;
  std::string body;
};

// Whether the peer can have acted on a stream's request.
enum class Http2Delivery
{
  kNotSent,
  kMaybeSent,
};

// What happens on a connection. OnClosed is the last call, and comes once.
class Http2Listener
{
public:
  virtual ~Http2Listener() = default;

  // A whole message arrived.
  virtual void OnMessage(StreamNumber aStream, Http2Message aMessage) = 0;

  // The stream ended before its message was whole.
  virtual void OnStreamLost(StreamNumber aStream, Http2Delivery aDelivery) = 0;

  // The connection is gone, with all its streams.
  virtual void OnClosed(const std::string& aReason) = 0;
};

// Owns the socket and the session. The listener must outlive it or Detach.
class Http2Connection : public std::enable_shared_from_this<Http2Connection>
{
public:
  enum class Side
  {
    kClient,
    kServer,
  };

  struct Options
  {
    Side side = Side::kClient;
    std::uint32_t maxStreams = 1024;
    std::size_t maxBodyBytes = 1U << 20U;
    Duration pingInterval = std::chrono::seconds(2);
    Duration pingTimeout = std::chrono::seconds(2);
  };

  Http2Connection(AsioExecutor& aExecutor,
                  asio::ip::tcp::socket aSocket,
                  Options aOptions,
                  Http2Listener& aListener);
  ~Http2Connection();
  Http2Connection(const Http2Connection&) = delete;
  Http2Connection& operator=(const Http2Connection&) = delete;

  // Sends the settings and starts to read.
  void Start();

  // Queues a request; negative if the session takes no more.
  StreamNumber SendRequest(const std::string& aPath, std::string aBody);

  // Queues the answer to the peer's request.
  void SendAnswer(StreamNumber aStream, int aStatus, std::string aBody);

  // Gives a stream up without OnStreamLost.
  void Cancel(StreamNumber aStream);

  // Whether the peer can have seen the stream's request.
  [[nodiscard]] Http2Delivery Delivery(StreamNumber aStream) const;

  // Drops the connection; the listener hears of it.
  void Close(const std::string& aReason);

  // Drops the connection; the listener hears nothing more.
  void Detach();

private:
  struct Stream;
  struct Callbacks;
  friend struct Callbacks;

  Stream& StreamAt(StreamNumber aStream);
  void OpenSession();
  void SubmitSettings();
  void Read();
  void TakeBytes(std::size_t aCount);
  void ScheduleFlush();
  void Flush();
  void SchedulePing();
  void SendPing();
  void FinishMessage(StreamNumber aStream);
  void EndStream(StreamNumber aStream, std::uint32_t aErrorCode);

  AsioExecutor& mExecutor;
  asio::ip::tcp::socket mSocket;
  Options mOptions;
  Http2Listener* mListener;
  nghttp2_session* mSession = nullptr;
  std::map<StreamNumber, std::unique_ptr<Stream>> mStreams;
  std::string mReadBuffer;
  std::string mWriteBuffer;
  bool mWriting = false;
  bool mFlushScheduled = false;
  bool mClosed = false;
  bool mHeard = false; // bytes came since the last PING
  Timer mPingTimer;
};

} // namespace firefly

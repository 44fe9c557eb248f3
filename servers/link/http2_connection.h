#pragma once

// One HTTP/2 connection: an nghttp2 session on one socket. It transports
// complete messages and detects a dead connection by PING frames. Used only by
// LinkClient and LinkServer.

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

// A complete request (with a path) or reply (with a status).
struct Http2Message
{
  std::string path;
  int status = 0;
  std::string body;
};

// Whether the peer may have acted on a stream's request.
enum class Http2Delivery
{
  kNotSent,
  kMaybeSent,
};

// Receives the events of a connection. OnClosed is called once, as the last
// event.
class Http2Listener
{
public:
  virtual ~Http2Listener() = default;

  // A complete message arrived.
  virtual void OnMessage(StreamNumber aStream, Http2Message aMessage) = 0;

  // The stream ended before its message was complete.
  virtual void OnStreamLost(StreamNumber aStream, Http2Delivery aDelivery) = 0;

  // The connection and all its streams are closed.
  virtual void OnClosed(const std::string& aReason) = 0;
};

// Owns the socket and the session. The listener must outlive the connection or
// be removed by Detach.
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

  // Sends the HTTP/2 settings and starts to read.
  void Start();

  // Queues a request and returns its stream, or a negative number if the
  // connection is closed or the session accepts no more requests.
  StreamNumber SendRequest(const std::string& aPath, std::string aBody);

  // Queues the reply to a request of the peer.
  void SendReply(StreamNumber aStream, int aStatus, std::string aBody);

  // Resets a stream without a call of OnStreamLost.
  void Cancel(StreamNumber aStream);

  // Whether the peer may have seen the request of the stream.
  [[nodiscard]] Http2Delivery Delivery(StreamNumber aStream) const;

  // Closes the connection and calls OnClosed.
  void Close(const std::string& aReason);

  // Closes the connection; the listener is not called any more.
  void Detach();

private:
  struct Stream;
  struct Callbacks;
  friend struct Callbacks;

  Stream& GetOrCreateStream(StreamNumber aStream);
  void OpenSession();
  void SubmitSettings();
  void Read();
  void ProcessBytes(std::size_t aCount);
  void ScheduleFlush();
  void Flush();
  void SchedulePing();
  void SendPing();
  void FinishMessage(StreamNumber aStream);
  void CloseStream(StreamNumber aStream, std::uint32_t aErrorCode);

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
  bool mReceivedSincePing = false;
  Timer mPingTimer;
};

} // namespace firefly

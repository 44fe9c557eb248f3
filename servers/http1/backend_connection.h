#pragma once

// A connection to a backend server. It carries one call at a time and can be
// reused for further calls.

#include <memory>
#include <string>

#include <asio/ip/tcp.hpp>

#include "servers/http1/backend_path.h"
#include "servers/http1/backend_pool.h"

namespace firefly {

class BackendConnection : public std::enable_shared_from_this<BackendConnection>
{
public:
  struct Options
  {
    BackendId backend;
    BackendAddress address;
    Duration connectTimeout{};
    Duration idleTimeout{};
    std::size_t maxHeadBytes = 0;
    LivenessOptions liveness;
    // Null if the connection must be direct.
    BackendPath* path = nullptr;
  };

  // The pool must outlive the connection, or aPoolAlive must expire before the
  // pool is destroyed.
  BackendConnection(AsioExecutor& aExecutor,
                    Options aOptions,
                    BackendPool& aPool,
                    std::weak_ptr<bool> aPoolAlive);

  // Starts a call. Connects first if the connection is new. Returns the call's
  // number on this connection.
  BackendCallNumber StartCall(BackendPool::Call aCall,
                              BackendCallObserver& aObserver);

  // Ends the call without a callback and closes the connection. These three
  // have no effect if the call has ended: the connection may already carry the
  // next one.
  void Abandon(BackendCallNumber aCall);
  void Pause(BackendCallNumber aCall);
  void Resume(BackendCallNumber aCall);
  void Close();

  // Whether an idle connection may carry a call of this request.
  [[nodiscard]] bool MayCarry(const RequestId& aRequest, bool aNoBody) const
  {
    return mReuse.MayCarry(aRequest, aNoBody);
  }

  // Whether no byte has arrived since the last call ended.
  [[nodiscard]] bool IsQuiet() const;

  // Whether a peer's tunnel carries the connection.
  [[nodiscard]] bool IsTunnel() const { return !mTunnel.empty(); }

  [[nodiscard]] const Options& Settings() const { return mOptions; }

private:
  enum class State : std::uint8_t
  {
    kNew,
    kConnecting,
    kBusy,
    kIdle,
    kClosed,
  };

  void Connect();
  void ConnectTo(const std::string& aAddress);
  void OnConnected(const asio::error_code& aCode);
  // Tries the next tunnel after a connection could not be made, or fails the
  // call.
  void OnConnectFailed();
  void TryTunnel();
  [[nodiscard]] bool IsConnecting(std::uint32_t aAttempt) const
  {
    return mState == State::kConnecting && mConnectAttempt == aAttempt;
  }
  // Asks the peer for the tunnel, and reads its answer.
  void RequestTunnel();
  void OnTunnelAnswer(const asio::error_code& aCode);
  void OnReady();
  void SendRequest();
  void OnRequestSent(const asio::error_code& aCode, std::size_t aBytes);
  void WaitForData();
  void OnReadable();
  void OnConnectionEnded(const asio::error_code& aCode);
  void Deliver();
  void SkipResponse();
  void EndCall();
  void Fail(BackendCallFault aFault);
  [[nodiscard]] bool IsRunning(BackendCallNumber aCall) const;

  AsioExecutor& mExecutor;
  Options mOptions;
  BackendPool& mPool;
  std::weak_ptr<bool> mPoolAlive;
  asio::ip::tcp::socket mSocket;
  MessageReader mReader;
  ConnectionReuse mReuse;
  State mState = State::kNew;
  BackendCallObserver* mObserver = nullptr;
  std::string mRequestBytes;
  std::shared_ptr<const std::string> mRequestBody;
  bool mRequestSent = false;
  bool mWriteFailed = false;
  // Reading has reached the end of the connection.
  bool mHasReadEnd = false;
  bool mAnyByteSent = false;
  bool mHeadDelivered = false;
  bool mSkippingResponse = false;
  // Bytes of skipped responses during this call.
  std::size_t mSkippedBytes = 0;
  bool mNoBody = false;
  bool mPaused = false;
  bool mReadPending = false;
  // The running call, or the last one.
  BackendCallNumber mCall;
  Timer mConnectTimer;
  // The address of the tunnel; empty for a direct connection.
  std::string mTunnel;
  std::string mTunnelBytes;
  std::uint32_t mTunnelsTried = 0;
  // Counts the sockets that were connected one after the other: operations on
  // an earlier one may complete after the next has begun.
  std::uint32_t mConnectAttempt = 0;
};

} // namespace firefly

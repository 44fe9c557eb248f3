#pragma once

// One connection to a backend server and the call that runs on it.

#include <memory>
#include <string>

#include <asio/ip/tcp.hpp>

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
  };

  // The pool must outlive the connection, or have set alive to expired.
  BackendConnection(AsioExecutor& aExecutor,
                    Options aOptions,
                    BackendPool& aPool,
                    std::weak_ptr<bool> aPoolAlive);

  // Begins a call; connects first if need be.
  void Begin(std::string aBytes, bool aNoBody, BackendCallObserver& aObserver);

  // The call's owner has dropped it.
  void Drop();
  void Pause();
  void Resume();
  void Close();

  [[nodiscard]] bool Used() const { return mCalls > 1; }
  [[nodiscard]] const Options& Settings() const { return mOptions; }

private:
  enum class State : std::uint8_t
  {
    kNew,
    kConnecting,
    kBusy,
    kKept,
    kClosed,
  };

  void Connect();
  void OnConnected(const asio::error_code& aCode);
  void Send();
  void OnSent(const asio::error_code& aCode, std::size_t aBytes);
  void Wait();
  void OnReadable();
  void OnEnded(const asio::error_code& aCode);
  void Deliver();
  void SkipAnswer();
  void EndCall();
  void Fail(BackendCallFault aFault);

  AsioExecutor& mExecutor;
  Options mOptions;
  BackendPool& mPool;
  std::weak_ptr<bool> mPoolAlive;
  asio::ip::tcp::socket mSocket;
  MessageReader mReader;
  State mState = State::kNew;
  BackendCallObserver* mObserver = nullptr;
  std::string mBytes;
  bool mSent = false;
  bool mAnySent = false;
  bool mHeadGiven = false;
  bool mSkipping = false;
  bool mNoBody = false;
  bool mPaused = false;
  bool mWaiting = false;
  std::uint64_t mCalls = 0;
  Timer mConnectTimer;
};

} // namespace firefly

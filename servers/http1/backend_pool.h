#pragma once

// Connections to backend servers: one request at a time on each, kept open
// between requests, and never used twice for one request unseen.

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "core/ids.h"
#include "servers/http/asio_executor.h"
#include "servers/http1/message_reader.h"
#include "servers/http1/socket_options.h"

namespace firefly {

class BackendConnection;

// A backend server's address, such as "10.0.0.1:8080".
using BackendAddress = StrongType<struct BackendAddressTag, std::string>;

enum class BackendCallFault : std::uint8_t
{
  // No byte of the request left.
  kNotSent,
  // The connection ended before the answer was whole.
  kCut,
  // The other host acknowledged nothing for too long.
  kSilent,
  // What came is no answer in the protocol.
  kMalformed,
};

// Hears of the answer to one call. After OnEnd or OnFault nothing follows. A
// call may be dropped inside any of these.
class BackendCallObserver
{
public:
  virtual ~BackendCallObserver() = default;

  // Whether the answer is the one to this call. A late answer to an earlier
  // call on the connection is not, and is skipped.
  virtual bool IsMine(const MessageHead& aHead) = 0;
  virtual void OnHead(const MessageHead& aHead) = 0;
  virtual void OnBody(std::string aBytes) = 0;
  // The answer is whole.
  virtual void OnEnd() = 0;
  virtual void OnFault(BackendCallFault aFault) = 0;
};

// A running call; dropping it before its end closes its connection, which
// stops the backend server's work.
class BackendCall
{
public:
  explicit BackendCall(std::shared_ptr<BackendConnection> aConnection);
  ~BackendCall();
  BackendCall(const BackendCall&) = delete;
  BackendCall& operator=(const BackendCall&) = delete;

  // Stops reading until Resume, so that the backend server is held back.
  void Pause();
  void Resume();

private:
  std::shared_ptr<BackendConnection> mConnection;
};

class BackendPool
{
public:
  struct Options
  {
    Duration connectTimeout = std::chrono::milliseconds(500);
    // A kept connection is dropped after this, or sooner if its backend
    // server says so.
    Duration idleTimeout = std::chrono::seconds(10);
    // A connection is dropped this long before its backend server would.
    Duration idleMargin = std::chrono::seconds(1);
    // Of an answer; a longer head is malformed.
    std::size_t maxHeadBytes = 32U << 10U;
    LivenessOptions liveness;
  };

  // What to send where.
  struct Call
  {
    BackendId backend;
    BackendAddress address;
    // The whole request.
    std::string bytes;
    // The answer has no body (to HEAD).
    bool noBody = false;
    // A kept connection is used only if it carried an answer within this; an
    // older one may have been dropped unseen.
    Duration freshWithin = std::chrono::seconds(60);
  };

  struct Counters
  {
    std::uint64_t opened = 0;
    std::uint64_t reused = 0;
  };

  BackendPool(AsioExecutor& aExecutor, Options aOptions);
  ~BackendPool();
  BackendPool(const BackendPool&) = delete;
  BackendPool& operator=(const BackendPool&) = delete;

  // Starts the call. The observer is called later, never inside this call, and
  // must outlive the call.
  [[nodiscard]] std::unique_ptr<BackendCall> Start(
    Call aCall,
    BackendCallObserver& aObserver);

  // Starts a call whose answer doesn't matter; it is given up after a while.
  void Send(Call aCall);

  // Drops the kept connections to a backend server that is gone.
  void Forget(const BackendId& aBackend);

  [[nodiscard]] const Counters& Count() const { return mCounters; }
  [[nodiscard]] std::size_t Idle() const;

private:
  friend class BackendConnection;
  struct Kept
  {
    std::shared_ptr<BackendConnection> connection;
    BackendAddress address;
    Instant since{};
    Instant until{};
  };

  std::shared_ptr<BackendConnection> Take(const Call& aCall);
  void Keep(const std::shared_ptr<BackendConnection>& aConnection,
            Duration aIdleTimeout);
  void Remove(const BackendConnection* aConnection);
  void Sweep();

  AsioExecutor& mExecutor;
  Options mOptions;
  std::map<BackendId, std::list<Kept>> mKept;
  // Calls of Send that run; declared after what they use.
  class SentCall;
  std::list<std::unique_ptr<SentCall>> mSent;
  Counters mCounters;
  Timer mSweepTimer;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace firefly

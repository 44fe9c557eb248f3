#pragma once

// A pool of connections to backend servers. Each connection carries one request
// at a time and stays open between requests. The pool never sends a request a
// second time on its own.

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "core/ids.h"
#include "servers/http/asio_executor.h"
#include "servers/http1/connection_reuse.h"
#include "servers/http1/message_reader.h"
#include "servers/http1/socket_options.h"

namespace firefly {

class BackendConnection;
class BackendPath;

// A backend server's address, such as "10.0.0.1:8080".
using BackendAddress = StrongType<struct BackendAddressTag, std::string>;

// The number of a call on its connection, which carries one after the other.
using BackendCallNumber =
  StrongType<struct BackendCallNumberTag, std::uint64_t>;

enum class BackendCallFault : std::uint8_t
{
  // No byte of the request was sent.
  kNotSent,
  // The connection was lost before the response was complete.
  kConnectionLost,
  // The backend server's host did not acknowledge sent data or keep-alive
  // probes in time.
  kUnacknowledged,
  // The received bytes are not a valid HTTP/1.1 response.
  kMalformed,
};

// Receives the response to one call. No callback follows OnEnd or OnFault. The
// call may be destroyed inside OnHead, OnBody, OnEnd and OnFault.
class BackendCallObserver
{
public:
  virtual ~BackendCallObserver() = default;

  // Which call the response belongs to. A response to another call is skipped.
  virtual ResponseMatch MatchResponse(const MessageHead& aHead) = 0;
  virtual void OnHead(const MessageHead& aHead) = 0;
  virtual void OnBody(std::string aBytes) = 0;
  // The response is complete.
  virtual void OnEnd() = 0;
  virtual void OnFault(BackendCallFault aFault) = 0;
};

// A call in progress. Destroying it before the call has ended closes its
// connection, which stops the backend server's work on the request.
class BackendCall
{
public:
  BackendCall(std::shared_ptr<BackendConnection> aConnection,
              BackendCallNumber aNumber);
  ~BackendCall();
  BackendCall(const BackendCall&) = delete;
  BackendCall& operator=(const BackendCall&) = delete;

  // Stops reading the response until Resume is called, so that flow control
  // slows the backend server down.
  void Pause();
  void Resume();

private:
  std::shared_ptr<BackendConnection> mConnection;
  BackendCallNumber mNumber;
};

// Starts calls to backend servers on idle or new connections.
class BackendPool
{
public:
  struct Options
  {
    Duration connectTimeout = std::chrono::milliseconds(500);
    // Time after which an idle connection is closed. A shorter timeout in the
    // backend server's Keep-Alive header takes precedence.
    Duration idleTimeout = std::chrono::seconds(10);
    // Subtracted from the idle timeout, so that the pool closes a connection
    // before its backend server does.
    Duration idleMargin = std::chrono::seconds(1);
    // Maximum size of a response's head. A longer head fails the call with
    // kMalformed.
    std::size_t maxHeadBytes = 32U << 10U;
    LivenessOptions liveness{};
    // Decides how new connections are made; null for direct ones only. Must
    // outlive the pool.
    BackendPath* path = nullptr;
  };

  // A request and the backend server to send it to.
  struct Call
  {
    BackendId backend;
    BackendAddress address;
    // The id that the response names; empty if it names none.
    RequestId request{};
    // The complete request, or only its head if there is a body.
    std::string bytes;
    // The body, which other calls may share.
    std::shared_ptr<const std::string> body{};
    // The response has no body, as to a HEAD request.
    bool noBody = false;
    // Maximum time since the last response on an idle connection for the call
    // to reuse it. The backend server may have closed an older connection
    // without the pool having noticed.
    Duration maxIdleAge = std::chrono::seconds(60);
    // The call may reach the backend server from the address of a peer. Orders
    // must not, since a backend server tells who gives them by the address.
    bool mayUseTunnel = false;
  };

  struct Counters
  {
    std::uint64_t opened = 0;
    std::uint64_t reused = 0;
  };

  // The executor must outlive the pool. All functions must be called on its
  // thread.
  BackendPool(AsioExecutor& aExecutor, Options aOptions);
  ~BackendPool();
  BackendPool(const BackendPool&) = delete;
  BackendPool& operator=(const BackendPool&) = delete;

  // Starts the call. The observer is not called before this function has
  // returned. It must outlive the returned call.
  [[nodiscard]] std::unique_ptr<BackendCall> Start(
    Call aCall,
    BackendCallObserver& aObserver);

  // Starts a call and ignores its response and its faults. The call is
  // abandoned if it takes longer than 2 to 3 s.
  void Send(Call aCall);

  // Closes the idle connections to a backend server, such as one that is gone.
  void CloseIdle(const BackendId& aBackend);

  [[nodiscard]] const Counters& Count() const { return mCounters; }

  // The number of idle connections.
  [[nodiscard]] std::size_t IdleCount() const;

private:
  friend class BackendConnection;
  struct IdleConnection
  {
    std::shared_ptr<BackendConnection> connection;
    BackendAddress address;
    Instant idleSince{};
    Instant expires{};
  };

  std::shared_ptr<BackendConnection> TakeIdle(const Call& aCall);
  void AddIdle(const std::shared_ptr<BackendConnection>& aConnection,
               Duration aIdleTimeout);
  void RemoveIdle(const BackendConnection* aConnection);
  void RemoveExpired();

  AsioExecutor& mExecutor;
  Options mOptions;
  std::map<BackendId, std::list<IdleConnection>> mIdle;
  // Running calls that Send started. Declared after the members that they use.
  class DetachedCall;
  std::list<std::unique_ptr<DetachedCall>> mDetachedCalls;
  Counters mCounters;
  Timer mExpiryTimer;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace firefly

#pragma once

// A server for callers' requests over HTTP/1.1. Each connection carries one
// request at a time. The server notices when a caller leaves while its request
// is running.

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "servers/http/asio_executor.h"
#include "servers/http1/memory_budget.h"
#include "servers/http1/message_reader.h"
#include "servers/http1/socket_options.h"

namespace firefly {

// Why a server could not be started.
struct CallerServerError
{
  std::string message;
};

// A complete request of a caller.
struct CallerRequest
{
  MessageHead head;
  std::string body;
  // The caller's IP address.
  std::string peer;
  // The memory of the body; kept as long as the body is.
  MemoryReservation memory{};
};

// Why a request was not passed to the handler.
enum class RejectionCause : std::uint8_t
{
  // The bytes are no request.
  kMalformed,
  kHeadTooLarge,
  kBodyTooLarge,
  // The request did not arrive in time.
  kTooSlow,
  // There is no memory for the body.
  kNoMemory,
  // The body made no progress while others needed its memory.
  kStalled,
  // The connection was closed so that another one could be accepted.
  kNoConnection,
  // The caller did not read its answer while others needed its memory.
  kAnswerNotRead,
};

std::string_view
ToString(RejectionCause aCause);

struct CallerRejection
{
  RejectionCause cause = RejectionCause::kMalformed;
  // The status of the answer; 0 if the connection was closed without one.
  int status = 0;
  std::string peer{};
  // The memory that the connection held.
  std::size_t heldBytes = 0;
};

// The answer to a request for which there is no memory.
struct RefusalAnswer
{
  int status = 503;
  std::string reason = "Service Unavailable";
  HttpHeaders headers{ { "Retry-After", "1" } };
  std::string body{};
};

// Receives events of the caller's connection while its request is being
// answered.
class CallerObserver
{
public:
  virtual ~CallerObserver() = default;

  // The caller left or its connection was lost. The answer can't be delivered
  // any more.
  virtual void OnCallerGone() = 0;

  // The connection has accepted all bytes written so far.
  virtual void OnOutputAccepted() = 0;
};

// Sends the answer to one request. Calls have no effect after the answer was
// completed or aborted, or after the connection was lost. If the object is
// destroyed before the answer is complete, the connection is closed.
class CallerAnswer
{
public:
  virtual ~CallerAnswer() = default;

  // Sets the observer; null removes it. The observer must be removed before it
  // is destroyed, unless the answer is complete or the connection was lost.
  virtual void Observe(CallerObserver* aObserver) = 0;

  // Sends a complete answer.
  virtual void Send(int aStatus,
                    std::string_view aReason,
                    const HttpHeaders& aHeaders,
                    std::string_view aBody) = 0;

  // Starts an answer whose body is sent by Write. Without a length the body is
  // chunked.
  virtual void Begin(int aStatus,
                     std::string_view aReason,
                     const HttpHeaders& aHeaders,
                     std::optional<std::uint64_t> aBodyBytes) = 0;
  virtual void Write(std::string_view aBytes) = 0;

  // Completes the body of an answer that Begin started.
  virtual void Finish() = 0;

  // Closes the connection, so that the caller can't mistake a partial answer
  // for a complete one.
  virtual void Abort() = 0;

  // The number of bytes that the connection has not accepted yet.
  [[nodiscard]] virtual std::size_t UnsentBytes() const = 0;
};

// Answers the requests of a CallerServer.
class CallerHandler
{
public:
  virtual ~CallerHandler() = default;

  virtual void OnRequest(CallerRequest aRequest,
                         std::shared_ptr<CallerAnswer> aAnswer) = 0;

  // A request is answered without OnRequest, or its connection is closed.
  virtual void OnRejected(const CallerRejection& aRejection) = 0;

  // Composes the answer to a request whose head was read and for whose body
  // there is no memory. It has not run.
  virtual RefusalAnswer ComposeRefusal(const MessageHead& /*aHead*/)
  {
    return {};
  }
};

class CallerServer
{
public:
  // Limits on the size of a request and on the time to receive it.
  struct Limits
  {
    std::size_t maxHeadBytes = 16U << 10U;
    std::size_t maxBodyBytes = 4U << 20U;
    // Maximum time from the first byte of a request to the end of its head.
    Duration headTimeout = std::chrono::seconds(3);
    // Maximum time that a connection waits for the first byte of a request, and
    // between two receptions of bytes of a body.
    Duration idleTimeout = std::chrono::seconds(15);
  };

  struct Options
  {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; // 0 takes a free port
    // At this number, the connection that has been idle for the longest time is
    // closed for a new one.
    std::size_t maxConnections = 3000;
    // Limits the memory that is held for callers; none if it is unlimited.
    std::shared_ptr<MemoryBudget> memory{};
    LivenessOptions liveness;
    Limits limits;
  };

  // The handler must outlive the server. If the executor runs on after the
  // server is destroyed, the handler must still exist, since open connections
  // continue to call it. All functions must be called on the executor's thread.
  CallerServer(AsioExecutor& aExecutor,
               Options aOptions,
               CallerHandler& aHandler);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  // Opens the port. The error message contains the address.
  tl::expected<void, CallerServerError> Start();

  // The port that the server listens on.
  [[nodiscard]] std::uint16_t Port() const;

  // Sets the limits for requests that begin from now on. On a connection that
  // is already open, the first such request still has the former maxBodyBytes
  // and the smaller of the former and the new maxHeadBytes.
  void SetLimits(const Limits& aLimits);

  // Makes each answer that starts from now on the last one of its connection.
  void CloseAfterAnswers();

  // Closes the connections on which no byte of a request has been received.
  void CloseIdle();

  // The number of connections that are receiving or answering a request.
  [[nodiscard]] std::size_t BusyConnections() const;
  [[nodiscard]] std::size_t Connections() const;

private:
  class Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace firefly

#pragma once

// Takes callers' requests over HTTP/1.1. Each connection carries one request
// at a time; a caller that leaves is noticed while its request runs.

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "servers/http/asio_executor.h"
#include "servers/http1/message_reader.h"
#include "servers/http1/socket_options.h"

namespace firefly {

// Why a server could not be started.
struct CallerServerError
{
  std::string message;
};

// A caller's request, whole.
struct CallerRequest
{
  MessageHead head;
  std::string body;
  // The caller's IP number.
  std::string peer;
};

// Hears what becomes of the caller while its request is being answered.
class CallerObserver
{
public:
  virtual ~CallerObserver() = default;

  // The caller left: nobody waits for the answer any more.
  virtual void OnCallerGone() = 0;

  // The connection took all that was written so far.
  virtual void OnCallerTookAll() = 0;
};

// The way back to one caller. After the answer is whole or aborted, and after
// the caller left, calls have no effect.
class CallerAnswer
{
public:
  virtual ~CallerAnswer() = default;

  // The observer must be taken away again (null) before it ends.
  virtual void Observe(CallerObserver* aObserver) = 0;

  // Sends a whole answer.
  virtual void Send(int aStatus,
                    std::string_view aReason,
                    const HttpHeaders& aHeaders,
                    std::string_view aBody) = 0;

  // Starts an answer whose body follows; without a length it is chunked.
  virtual void Begin(int aStatus,
                     std::string_view aReason,
                     const HttpHeaders& aHeaders,
                     std::optional<std::uint64_t> aBodyBytes) = 0;
  virtual void Write(std::string_view aBytes) = 0;

  // The body that Begin started is whole.
  virtual void Finish() = 0;

  // Ends the connection so that the answer can't pass for a whole one.
  virtual void Abort() = 0;

  // Bytes that the connection has not taken yet.
  [[nodiscard]] virtual std::size_t Unsent() const = 0;
};

// Answers the requests of a CallerServer.
class CallerHandler
{
public:
  virtual ~CallerHandler() = default;

  virtual void OnRequest(CallerRequest aRequest,
                         std::shared_ptr<CallerAnswer> aAnswer) = 0;

  // Bytes that are no request, or that came too slowly, were answered with
  // that status; nothing of them went on.
  virtual void OnRejected(int aStatus, const std::string& aPeer) = 0;
};

class CallerServer
{
public:
  // Bounds on what a caller sends and on how long it takes.
  struct Limits
  {
    std::size_t maxHeadBytes = 16U << 10U;
    std::size_t maxBodyBytes = 4U << 20U;
    // From a request's first byte to the end of its head.
    Duration headTimeout = std::chrono::seconds(3);
    // Between requests, and without a further byte of a body.
    Duration idleTimeout = std::chrono::seconds(15);
  };

  struct Options
  {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; // 0 takes a free port
    // Further connections wait until others end.
    std::size_t maxConnections = 3000;
    LivenessOptions liveness;
    Limits limits;
  };

  // The handler must outlive the server.
  CallerServer(AsioExecutor& aExecutor,
               Options aOptions,
               CallerHandler& aHandler);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  // Opens the port; the error names the address.
  tl::expected<void, CallerServerError> Start();

  // The port that is served.
  [[nodiscard]] std::uint16_t Port() const;

  // For requests whose head has not been read yet.
  void SetLimits(const Limits& aLimits);

  // From now on each answer is the last one of its connection.
  void Retire();

  // Closes the connections that carry no request.
  void CloseIdle();

  // Connections that have begun a request or owe bytes of an answer.
  [[nodiscard]] std::size_t Busy() const;
  [[nodiscard]] std::size_t Connections() const;

private:
  class Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace firefly

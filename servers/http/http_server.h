#pragma once

// An HTTP/1.1 server on RESTinio. It sends responses in one piece or as chunked
// streams.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <tl/expected.hpp>

#include "servers/http/asio_executor.h"
#include "servers/http/connection_gate.h"
#include "servers/http/http_message.h"

namespace firefly {

// Why the server could not be started.
struct HttpServerError
{
  std::string message;
};

// Sends the response to one request. A responder that is destroyed without a
// response sends status 500. A stream whose responder is destroyed before End
// is never ended, and its connection is closed after the answer timeout, so
// that the client cannot mistake the response for a complete one.
class HttpResponder
{
public:
  virtual ~HttpResponder() = default;

  // Sends a complete response. Only the first response of a request is sent.
  virtual void Send(HttpResponse aResponse) = 0;

  // Starts a chunked response.
  virtual void Begin(int aStatus, HttpHeaders aHeaders) = 0;

  // Sends a chunk. The callback, which may be empty, is told whether the chunk
  // was written to the connection; until then UnsentBytes() counts its bytes.
  // An empty chunk, or one outside a chunked response, is ignored and its
  // callback is not called.
  virtual void Write(std::string aChunk,
                     std::function<void(bool)> aWritten) = 0;

  // Ends a chunked response.
  virtual void End() = 0;

  // Shuts the connection down without ending the response, so that the client
  // sees a lost connection at once. Costs one system call per possible
  // descriptor of the process, so use it only after a fault.
  virtual void Abort() = 0;

  // The number of bytes passed to Write that the connection has not accepted
  // yet.
  [[nodiscard]] virtual std::size_t UnsentBytes() const = 0;

  // Whether a write to the connection has failed.
  [[nodiscard]] virtual bool IsLost() const = 0;
};

using HttpResponderPtr = std::shared_ptr<HttpResponder>;

// Listens on one address. All callbacks run on the executor.
class HttpServer
{
public:
  using Handler = std::function<void(HttpRequest, HttpResponderPtr)>;

  struct Options
  {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; // 0 selects a free port
    std::size_t maxBodyBytes = 4U << 20U;
    // Fewer if the descriptors or the memory of the host don't suffice.
    std::size_t maxConnections = 12000;
    // The memory of all requests that are received or answered; 0 selects a
    // part of the host's memory.
    std::size_t memoryBytes = 0;
    // Without memoryBytes, the budget is one part in this many of the host's
    // memory. Connections take at most twice that part of the descriptors.
    std::size_t hostShare = 4;
    // Told of each request or connection that is refused.
    std::function<void(RefusalCause)> onRefusal = {};
    Duration readTimeout = std::chrono::seconds(20);
    Duration writeTimeout = std::chrono::seconds(20);
    // A connection is closed when its response gets no further data for this
    // long.
    Duration answerTimeout = std::chrono::minutes(5);
  };

  HttpServer(AsioExecutor& aExecutor, Options aOptions, Handler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Opens the port; the error names the address.
  tl::expected<void, HttpServerError> Start();

  // The port on which the server listens.
  [[nodiscard]] std::uint16_t Port() const;

  // The number of accepted requests whose responder still exists.
  [[nodiscard]] std::size_t RunningRequests() const;

  // The limits and their use.
  [[nodiscard]] const ConnectionGate& Gate() const;

  // Closes the port and all connections.
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace firefly

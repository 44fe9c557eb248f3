#pragma once

// An HTTP/1.1 server on RESTinio: whole answers and chunked streams.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <tl/expected.hpp>

#include "servers/http/asio_executor.h"
#include "servers/http/http_message.h"

namespace firefly {

// Why a server could not be started.
struct HttpServerError
{
  std::string message;
};

// Answers one request. A responder that is dropped unanswered sends status
// 500; a stream that is dropped before End is never ended, and its connection
// is closed after the answer timeout, so that it can't pass for whole.
class HttpResponder
{
public:
  virtual ~HttpResponder() = default;

  // Sends a whole answer. Only the first answer of a request counts.
  virtual void Send(HttpResponse aResponse) = 0;

  // Starts a chunked answer.
  virtual void Begin(int aStatus, HttpHeaders aHeaders) = 0;

  // Sends a chunk; the callback, which may be empty, tells whether the
  // connection took it. Unsent() counts what has not been taken yet.
  virtual void Write(std::string aChunk,
                     std::function<void(bool)> aWritten) = 0;

  // Ends a chunked answer.
  virtual void End() = 0;

  // Shuts the connection down without ending the answer: the caller sees a
  // cut at once. Costs a system call for each descriptor; for faults only.
  virtual void Abort() = 0;

  // Bytes handed to Write that the connection has not taken yet.
  [[nodiscard]] virtual std::size_t Unsent() const = 0;

  // Whether the connection was seen to be lost.
  [[nodiscard]] virtual bool Lost() const = 0;
};

using HttpResponderPtr = std::shared_ptr<HttpResponder>;

// Serves one address. All callbacks run on the executor.
class HttpServer
{
public:
  using Handler = std::function<void(HttpRequest, HttpResponderPtr)>;

  struct Options
  {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; // 0 takes a free port
    std::size_t maxBodyBytes = 4U << 20U;
    std::size_t maxConnections = 12000;
    Duration readTimeout = std::chrono::seconds(20);
    Duration writeTimeout = std::chrono::seconds(20);
    // Closes a connection whose answer gets no further byte for so long.
    Duration answerTimeout = std::chrono::minutes(5);
  };

  HttpServer(AsioExecutor& aExecutor, Options aOptions, Handler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Opens the port; the error names the address.
  tl::expected<void, HttpServerError> Start();

  // The port that is served.
  [[nodiscard]] std::uint16_t Port() const;

  // Requests that have been taken and not fully answered.
  [[nodiscard]] std::size_t Running() const;

  // Closes the port and all connections.
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace firefly

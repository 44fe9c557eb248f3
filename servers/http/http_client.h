#pragma once

// An HTTP client on libcurl's multi interface. It runs many transfers on one
// executor, streams response bodies with back pressure, and reports whether a
// failed request may have reached the server.

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "servers/http/asio_executor.h"
#include "servers/http/http_message.h"

namespace firefly {

class CurlMulti;

enum class HttpErrorKind
{
  kNotSent, // no byte of the request was sent: the server cannot have run it
  kTimeout, // sent, but no response or no further data arrived in time
  kConnectionLost, // sent, but the connection was lost before the response was
                   // complete
  kTooLarge,       // the response body is larger than the call allows
  kCancelled,      // not reported by CurlClient: destroying the HttpTransfer
                   // ends a call without a callback
};

// Why a call failed.
struct HttpError
{
  HttpErrorKind kind = HttpErrorKind::kConnectionLost;
  std::string message;
};

// A request, its timeouts and its limits.
struct HttpCall
{
  std::string method = "GET";
  std::string url{};
  HttpHeaders headers{};
  std::string body{};
  Duration connectTimeout = std::chrono::seconds(1);
  Duration totalTimeout = std::chrono::seconds(30);
  // The call fails if no data arrives for this long; zero disables the check.
  Duration stallTimeout = Duration::zero();
  // Uses a new connection that is not pooled. Set this for calls that must not
  // be repeated, because libcurl resends a request if a pooled connection turns
  // out to be dead.
  bool freshConnection = false;
  std::size_t maxBodyBytes = 64U << 20U; // of the response, once decompressed
  // Lets the server compress the response's body, which arrives decompressed.
  bool acceptsGzip = false;
};

// Lets a call take long while its response keeps arriving: it fails when
// nothing arrives for aStall. A bound on the whole of a large response ends
// transfers that are sound but share a link, and those that follow fare no
// better.
void
BoundByProgress(HttpCall& aCall, Duration aStall);

// A complete response.
struct HttpResult
{
  int status = 0;
  HttpHeaders headers{};
  std::string body{};
};

// A running call. Destroying it cancels the call without a callback.
class HttpTransfer
{
public:
  virtual ~HttpTransfer() = default;

  // Stops reading until Resume is called, so that TCP flow control stops the
  // server. The stall timeout does not run meanwhile.
  virtual void Pause() = 0;
  virtual void Resume() = 0;
};

using HttpTransferPtr = std::unique_ptr<HttpTransfer>;

// The handlers of a streamed call. onDone is called once, as the last handler
// and never inside the call that started the transfer. Every handler may
// destroy the transfer.
struct HttpStreamHandlers
{
  std::function<void(int aStatus, const HttpHeaders& aHeaders)> onHead;
  std::function<void(std::string_view aBytes)> onBody;
  std::function<void(tl::expected<void, HttpError>)> onDone;
};

// Sends HTTP requests; an interface so that tests can replace it.
class HttpClient
{
public:
  using Callback = std::function<void(tl::expected<HttpResult, HttpError>)>;

  virtual ~HttpClient() = default;

  // Starts a call whose response is streamed to the handlers.
  [[nodiscard]] virtual HttpTransferPtr Stream(
    HttpCall aCall,
    HttpStreamHandlers aHandlers) = 0;

  // Makes a call and passes the complete response to the callback.
  void Fetch(HttpCall aCall, Callback aCallback);
};

// The HTTP client that uses libcurl.
class CurlClient : public HttpClient
{
public:
  struct Options
  {
    long maxPooledConnections = 256;
    // TCP_USER_TIMEOUT: a connection is dropped when sent data stays
    // unacknowledged for this long; zero keeps the kernel's default.
    Duration userTimeout = Duration::zero();
    // TCP keep-alive: an idle connection is probed after this time and then
    // every second, so that a call that waits for its response detects a dead
    // connection; zero keeps the kernel's default.
    std::chrono::seconds keepAliveIdle{ 0 };
    // Closing a connection resets it and discards data that has not been
    // delivered yet (SO_LINGER with zero).
    bool resetOnClose = false;
  };

  CurlClient(AsioExecutor& aExecutor, Options aOptions);
  ~CurlClient() override;
  CurlClient(const CurlClient&) = delete;
  CurlClient& operator=(const CurlClient&) = delete;

  [[nodiscard]] HttpTransferPtr Stream(HttpCall aCall,
                                       HttpStreamHandlers aHandlers) override;

private:
  Options mOptions;
  std::shared_ptr<CurlMulti> mMulti;
};

} // namespace firefly

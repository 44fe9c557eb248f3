#pragma once

// An HTTP client on libcurl's multi interface: many transfers on one executor,
// with streamed answers, back pressure and truthful errors.

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
  kNotSent,   // no byte of the request left: the server can't have run it
  kTimeout,   // sent, and no answer or no further byte came in time
  kCut,       // sent, and the connection ended before the answer was whole
  kTooLarge,  // the answer is larger than the call allows
  kCancelled, // the caller of the client gave up
};

// Why a call failed.
struct HttpError
{
  HttpErrorKind kind = HttpErrorKind::kCut;
  std::string message;
};

// What to ask of which server.
struct HttpCall
{
  std::string method = "GET";
  std::string url{};
  HttpHeaders headers{};
  std::string body{};
  Duration connectTimeout = std::chrono::seconds(1);
  Duration totalTimeout = std::chrono::seconds(30);
  // Ends the call when nothing arrives for so long; zero switches it off.
  Duration stallTimeout = Duration::zero();
  // A new connection that is not pooled: for calls that must not be repeated,
  // since libcurl resends on a pooled connection that turns out dead.
  bool freshConnection = false;
  std::size_t maxBodyBytes = 64U << 20U;
};

// What a whole call gave.
struct HttpResult
{
  int status = 0;
  HttpHeaders headers{};
  std::string body{};
};

// A running call; dropping it cancels the call without a callback.
class HttpTransfer
{
public:
  virtual ~HttpTransfer() = default;

  // Stops reading until Resume: the server is held back by flow control.
  virtual void Pause() = 0;
  virtual void Resume() = 0;
};

using HttpTransferPtr = std::unique_ptr<HttpTransfer>;

// What happens on a streamed call. Done comes once and last, never inside the
// call that started the transfer. The transfer may be dropped in any of them.
struct HttpStreamHandlers
{
  std::function<void(int aStatus, const HttpHeaders& aHeaders)> onHead;
  std::function<void(std::string_view aBytes)> onBody;
  std::function<void(tl::expected<void, HttpError>)> onDone;
};

// Outgoing HTTP, as an interface so that tests can answer in its place.
class HttpClient
{
public:
  using Callback = std::function<void(tl::expected<HttpResult, HttpError>)>;

  virtual ~HttpClient() = default;

  // Starts a call whose answer is streamed.
  [[nodiscard]] virtual HttpTransferPtr Stream(
    HttpCall aCall,
    HttpStreamHandlers aHandlers) = 0;

  // Makes a call whose answer comes whole.
  void Fetch(HttpCall aCall, Callback aCallback);
};

// The client on libcurl.
class CurlClient : public HttpClient
{
public:
  struct Options
  {
    long maxPooledConnections = 256;
    // Bytes that the peer has not acknowledged are dropped, with their
    // connection, after so long; zero leaves it to the kernel.
    Duration userTimeout = Duration::zero();
    // An idle connection is probed after this, so that a call which waits for
    // its answer learns of a dead one; zero leaves it to the kernel.
    std::chrono::seconds probeAfter{ 0 };
    // Closing a connection drops what has not been delivered yet.
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

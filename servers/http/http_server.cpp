#include "servers/http/http_server.h"

#include <exception>
#include <utility>

#include <sys/socket.h>
#include <unistd.h>

#include <restinio/all.hpp>

namespace firefly {

namespace {

// RESTinio closes the connection without a response when a body exceeds its own
// limit. That limit is therefore this many times the limit above which this
// server responds with status 413.
constexpr std::size_t kBodyLimitSlack = 4;

struct ServerTraits : public restinio::default_single_thread_traits_t
{
  // NOLINTNEXTLINE(readability-identifier-naming): the name is RESTinio's.
  static constexpr bool use_connection_count_limiter = true;
};

using RestinioServer = restinio::http_server_t<ServerTraits>;
using ChunkedResponse =
  restinio::response_builder_t<restinio::chunked_output_t>;

using Endpoint = asio::ip::tcp::endpoint;

// RESTinio has no function to close a single connection. This one searches all
// descriptors of the process for the socket with that peer address and shuts it
// down; RESTinio then closes it.
void
ShutDownConnectionTo(const Endpoint& aPeer)
{
  const int limit = getdtablesize();
  for (int fd = 0; fd < limit; ++fd) {
    Endpoint peer;
    auto size = static_cast<socklen_t>(peer.capacity());
    if (getpeername(fd, peer.data(), &size) == 0 && peer == aPeer) {
      ::shutdown(fd, SHUT_RDWR);
    }
  }
}

// The number of requests whose responder still exists.
struct RunningRequestCounter
{
  std::size_t requests = 0;
};

class RestinioResponder : public HttpResponder
{
public:
  RestinioResponder(restinio::request_handle_t aRequest,
                    std::shared_ptr<RunningRequestCounter> aRunning)
    : mRequest(std::move(aRequest))
    , mRunning(std::move(aRunning))
    , mPeer(mRequest->remote_endpoint())
  {
    ++mRunning->requests;
  }

  RestinioResponder(const RestinioResponder&) = delete;
  RestinioResponder& operator=(const RestinioResponder&) = delete;

  ~RestinioResponder() override
  {
    if (mRequest) {
      Send({ .status = 500,
             .contentType = "text/plain",
             .headers = {},
             .body = "no answer\n" });
    }
    --mRunning->requests;
  }

  void Send(HttpResponse aResponse) override
  {
    if (!mRequest) {
      return;
    }
    auto request = std::exchange(mRequest, nullptr);
    auto response = request->create_response(StatusLine(aResponse.status));
    response.append_header(restinio::http_field::content_type,
                           aResponse.contentType);
    for (const auto& it : aResponse.headers) {
      response.append_header(it.name, it.value);
    }
    response.set_body(std::move(aResponse.body));
    response.done();
  }

  void Begin(int aStatus, HttpHeaders aHeaders) override
  {
    if (!mRequest) {
      return;
    }
    auto request = std::exchange(mRequest, nullptr);
    mStream = std::make_unique<ChunkedResponse>(
      request->create_response<restinio::chunked_output_t>(
        StatusLine(aStatus)));
    for (const auto& it : aHeaders) {
      mStream->append_header(it.name, it.value);
    }
    mStream->flush();
  }

  void Write(std::string aChunk, std::function<void(bool)> aWritten) override
  {
    if (!mStream || aChunk.empty()) {
      return;
    }
    const auto size = aChunk.size();
    mState->unsent += size;
    mStream->append_chunk(std::move(aChunk));
    mStream->flush([state = mState, size, written = std::move(aWritten)](
                     const asio::error_code& aCode) {
      state->unsent -= size;
      state->lost = state->lost || static_cast<bool>(aCode);
      if (written) {
        written(!aCode);
      }
    });
  }

  void End() override
  {
    if (!mStream) {
      return;
    }
    auto stream = std::exchange(mStream, nullptr);
    stream->done([state = mState](const asio::error_code& aCode) {
      state->lost = state->lost || static_cast<bool>(aCode);
    });
  }

  void Abort() override
  {
    mRequest.reset();
    mStream.reset();
    ShutDownConnectionTo(mPeer);
  }

  [[nodiscard]] std::size_t UnsentBytes() const override
  {
    return mState->unsent;
  }
  [[nodiscard]] bool IsLost() const override { return mState->lost; }

private:
  struct State
  {
    std::size_t unsent = 0;
    bool lost = false;
  };

  static restinio::http_status_line_t StatusLine(int aStatus)
  {
    return { restinio::http_status_code_t(static_cast<std::uint16_t>(aStatus)),
             ReasonPhrase(aStatus) };
  }

  static std::string ReasonPhrase(int aStatus)
  {
    return aStatus < 400 ? "OK" : "Error";
  }

  restinio::request_handle_t mRequest;
  std::shared_ptr<RunningRequestCounter> mRunning;
  Endpoint mPeer;
  std::unique_ptr<ChunkedResponse> mStream;
  std::shared_ptr<State> mState = std::make_shared<State>();
};

HttpRequest
ToRequest(const restinio::request_handle_t& aRequest)
{
  HttpRequest request;
  const auto& header = aRequest->header();
  request.method = std::string(header.method().c_str());
  request.path = std::string(header.path());
  request.query = std::string(header.query());
  for (const auto& it : header) {
    request.headers.push_back({ it.name(), it.value() });
  }
  request.body = aRequest->body();
  return request;
}

HttpResponse
BodyTooLargeResponse(std::size_t aLimit)
{
  return { .status = 413,
           .contentType = "application/problem+json",
           .headers = {},
           .body = R"({"type":"about:blank","title":"Body too large",)"
                   R"("status":413,"execution":"not-run","detail":"at most )" +
                   std::to_string(aLimit) + R"( bytes are allowed"})" };
}

} // namespace

class HttpServer::Impl
{
public:
  Impl(AsioExecutor& aExecutor, Options aOptions, Handler aHandler)
    : mExecutor(aExecutor)
    , mOptions(std::move(aOptions))
    , mHandler(std::move(aHandler))
  {
  }

  tl::expected<void, HttpServerError> Start()
  {
    try {
      mServer = std::make_unique<RestinioServer>(
        restinio::external_io_context(mExecutor.Context()), Settings());
      mServer->open_sync();
      return {};
    } catch (const std::exception& e) {
      return tl::unexpected(HttpServerError{ mOptions.address + ":" +
                                             std::to_string(mOptions.port) +
                                             ": " + e.what() });
    }
  }

  void Stop()
  {
    if (mServer) {
      mServer->close_sync();
    }
  }

  [[nodiscard]] std::uint16_t Port() const { return mPort; }
  [[nodiscard]] std::size_t Running() const { return mRunning->requests; }

private:
  restinio::server_settings_t<ServerTraits> Settings()
  {
    restinio::server_settings_t<ServerTraits> settings;
    settings.address(mOptions.address)
      .port(mOptions.port)
      .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor& aAcceptor) {
        mPort = aAcceptor.local_endpoint().port();
      })
      .socket_options_setter([](restinio::socket_options_t& aSocket) {
        aSocket.set_option(asio::ip::tcp::no_delay{ true });
      })
      .acceptor_options_setter([](restinio::acceptor_options_t& aAcceptor) {
        aAcceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
      })
      .incoming_http_msg_limits(
        restinio::incoming_http_msg_limits_t{}.max_body_size(
          mOptions.maxBodyBytes * kBodyLimitSlack))
      .max_parallel_connections(mOptions.maxConnections)
      .max_pipelined_requests(1)
      .separate_accept_and_create_connect(false)
      .concurrent_accepts_count(1)
      .read_next_http_message_timelimit(mOptions.readTimeout)
      .write_http_response_timelimit(mOptions.writeTimeout)
      .handle_request_timeout(mOptions.answerTimeout)
      .request_handler([this](restinio::request_handle_t aRequest) {
        return Handle(std::move(aRequest));
      });
    return settings;
  }

  restinio::request_handling_status_t Handle(
    restinio::request_handle_t aRequest)
  {
    auto request = ToRequest(aRequest);
    auto responder =
      std::make_shared<RestinioResponder>(std::move(aRequest), mRunning);
    if (request.body.size() > mOptions.maxBodyBytes) {
      responder->Send(BodyTooLargeResponse(mOptions.maxBodyBytes));
    } else {
      mHandler(std::move(request), std::move(responder));
    }
    return restinio::request_accepted();
  }

  AsioExecutor& mExecutor;
  Options mOptions;
  Handler mHandler;
  std::uint16_t mPort = 0;
  std::shared_ptr<RunningRequestCounter> mRunning =
    std::make_shared<RunningRequestCounter>();
  std::unique_ptr<RestinioServer> mServer;
};

HttpServer::HttpServer(AsioExecutor& aExecutor,
                       Options aOptions,
                       Handler aHandler)
  : mImpl(std::make_unique<Impl>(aExecutor,
                                 std::move(aOptions),
                                 std::move(aHandler)))
{
}

HttpServer::~HttpServer() = default;

tl::expected<void, HttpServerError>
HttpServer::Start()
{
  return mImpl->Start();
}

std::uint16_t
HttpServer::Port() const
{
  return mImpl->Port();
}

std::size_t
HttpServer::RunningRequests() const
{
  return mImpl->Running();
}

void
HttpServer::Stop()
{
  mImpl->Stop();
}

} // namespace firefly

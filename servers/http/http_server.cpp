#include "servers/http/http_server.h"

#include <algorithm>
#include <deque>
#include <exception>
#include <utility>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <restinio/all.hpp>

#include "servers/http/host_limits.h"
#include "servers/http/metered_socket.h"

namespace restinio::impl {

// Makes the sockets with what the connections of a server share, which the
// settings carry in their ip_blocker.
template<>
class socket_supplier_t<firefly::MeteredSocket>
{
protected:
  template<typename Settings>
  socket_supplier_t(Settings& aSettings, asio_ns::io_context& aContext)
  {
    for (std::size_t i = 0; i < aSettings.concurrent_accepts_count(); ++i) {
      mSockets.emplace_back(aContext, aSettings.ip_blocker()->Server());
    }
  }

  // NOLINTBEGIN(readability-identifier-naming): the names are RESTinio's.
  firefly::MeteredSocket& socket(std::size_t aIndex)
  {
    return mSockets.at(aIndex);
  }
  firefly::MeteredSocket move_socket(std::size_t aIndex)
  {
    return std::move(socket(aIndex));
  }
  [[nodiscard]] std::size_t concurrent_accept_sockets_count() const noexcept
  {
    return mSockets.size();
  }
  // NOLINTEND(readability-identifier-naming)

private:
  std::deque<firefly::MeteredSocket> mSockets;
};

} // namespace restinio::impl

namespace firefly {

namespace {

// The memory of a connection without a request.
constexpr std::size_t kConnectionBytes = 16U << 10U;
// Connections may take one part in this many of the host's memory.
constexpr std::size_t kConnectionShare = 8;
// Bytes that the kernel receives for a connection that isn't being read. The
// kernel doubles this number.
constexpr int kReceiveBufferBytes = 64 << 10;
// Between two checks whether connections that wait are accepted.
constexpr Duration kAcceptCheckInterval = std::chrono::seconds(1);
// A single check may come before the connections that arrived while the process
// was paused are accepted.
constexpr int kMaxStalledChecks = 2;

// RESTinio tells it of each new connection.
class AcceptGate
{
public:
  explicit AcceptGate(std::shared_ptr<MeteredServer> aServer)
    : mServer(std::move(aServer))
  {
  }

  // NOLINTNEXTLINE(readability-identifier-naming): the name is RESTinio's.
  [[nodiscard]] restinio::ip_blocker::inspection_result_t inspect(
    const restinio::ip_blocker::incoming_info_t& /*aInfo*/) const noexcept
  {
    mServer->accepted++;
    return mServer->gate->AdmitConnection()
             ? restinio::ip_blocker::inspection_result_t::allow
             : restinio::ip_blocker::inspection_result_t::deny;
  }

  [[nodiscard]] const std::shared_ptr<MeteredServer>& Server() const
  {
    return mServer;
  }

private:
  std::shared_ptr<MeteredServer> mServer;
};

// RESTinio's own limiter of connections counts those that an ip_blocker denied
// as open, and accepts none at its maximum, so it isn't used.
struct ServerTraits
  : public restinio::traits_t<restinio::asio_timer_manager_t,
                              restinio::null_logger_t,
                              restinio::default_request_handler_t,
                              restinio::noop_strand_t,
                              MeteredSocket>
{
  // NOLINTNEXTLINE(readability-identifier-naming): the name is RESTinio's.
  using ip_blocker_t = AcceptGate;
};

using RestinioServer = restinio::http_server_t<ServerTraits>;
using ChunkedResponse =
  restinio::response_builder_t<restinio::chunked_output_t>;

// The number of requests whose responder still exists.
struct RunningRequestCounter
{
  std::size_t requests = 0;
};

class RestinioResponder : public HttpResponder
{
public:
  RestinioResponder(restinio::request_handle_t aRequest,
                    std::shared_ptr<RunningRequestCounter> aRunning,
                    const MeteredServer& aServer)
    : mRequest(std::move(aRequest))
    , mRunning(std::move(aRunning))
    , mReader(aServer.currentReader)
    , mMemory(aServer.currentMemory
                ? aServer.currentMemory
                : std::make_shared<RequestMemory>(aServer.gate, 0))
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
    mMemory->Add(aResponse.body.size());
    response.set_body(std::move(aResponse.body));
    // The memory is in use until the response is sent.
    response.done([memory = mMemory](const asio::error_code&) {});
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
    mMemory->Add(size);
    mStream->append_chunk(std::move(aChunk));
    mStream->flush(
      [state = mState, memory = mMemory, size, written = std::move(aWritten)](
        const asio::error_code& aCode) {
        state->unsent -= size;
        memory->Remove(size);
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
    if (const auto reader = mReader.lock()) {
      reader->Close();
    }
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
  std::weak_ptr<MeteredReader> mReader;
  std::shared_ptr<RequestMemory> mMemory;
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

std::shared_ptr<MeteredServer>
MakeMeteredServer(AsioExecutor& aExecutor, HttpServer::Options& aOptions)
{
  const auto host = HostMemoryBytes();
  auto server = std::make_shared<MeteredServer>();
  server->executor = &aExecutor;
  server->maxBodyBytes = aOptions.maxBodyBytes;
  server->gate = std::make_shared<ConnectionGate>(ConnectionGate::Options{
    .memoryBytes = aOptions.memoryBytes > 0
                     ? std::min(aOptions.memoryBytes, host)
                     : host / aOptions.hostShare,
    .maxConnections = std::max<std::size_t>(
      1,
      std::min({ aOptions.maxConnections,
                 DescriptorLimit() / aOptions.hostShare * 2,
                 host / kConnectionShare / kConnectionBytes })),
    .onRefusal = std::move(aOptions.onRefusal) });
  return server;
}

} // namespace

class HttpServer::Impl
{
public:
  Impl(AsioExecutor& aExecutor, Options aOptions, Handler aHandler)
    : mExecutor(aExecutor)
    , mOptions(std::move(aOptions))
    , mHandler(std::move(aHandler))
    , mMetered(MakeMeteredServer(mExecutor, mOptions))
  {
  }
  ~Impl() { mMetered->gate->Stop(); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  tl::expected<void, HttpServerError> Start()
  {
    try {
      Open();
      WatchAccepting();
      return {};
    } catch (const std::exception& e) {
      return tl::unexpected(HttpServerError{ mOptions.address + ":" +
                                             std::to_string(mOptions.port) +
                                             ": " + e.what() });
    }
  }

  void Stop()
  {
    mWatchTimer = {};
    if (mServer) {
      mServer->close_sync();
    }
  }

  [[nodiscard]] std::uint16_t Port() const { return mPort; }
  [[nodiscard]] std::size_t Running() const { return mRunning->requests; }
  [[nodiscard]] const ConnectionGate& Gate() const { return *mMetered->gate; }

private:
  void Open()
  {
    mServer = std::make_unique<RestinioServer>(
      restinio::external_io_context(mExecutor.Context()), Settings());
    mServer->open_sync();
  }

  // RESTinio accepts no connection any more after an attempt that failed, as
  // when the process has no descriptor left. The port is opened again then.
  void WatchAccepting()
  {
    mWatchTimer = mExecutor.RunAfter(kAcceptCheckInterval, [this] {
      const auto accepted = std::exchange(mAcceptedBefore, mMetered->accepted);
      const bool stalls =
        !mServer || (accepted == mMetered->accepted && HasConnectionToAccept());
      mStalledChecks = stalls ? mStalledChecks + 1 : 0;
      if (mStalledChecks >= kMaxStalledChecks && CanOpenDescriptor()) {
        mStalledChecks = 0;
        Reopen();
      }
      WatchAccepting();
    });
  }

  [[nodiscard]] bool HasConnectionToAccept() const
  {
    pollfd entry{ .fd = mListeningFd, .events = POLLIN, .revents = 0 };
    return poll(&entry, 1, 0) > 0;
  }

  static bool CanOpenDescriptor()
  {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd >= 0) {
      ::close(fd);
    }
    return fd >= 0;
  }

  // Open connections are kept.
  void Reopen()
  {
    try {
      mServer.reset();
      Open();
    } catch (const std::exception&) {
      // Tried again at the next check.
      mServer.reset();
    }
  }

  restinio::server_settings_t<ServerTraits> Settings()
  {
    restinio::server_settings_t<ServerTraits> settings;
    settings.address(mOptions.address)
      .port(mPort != 0 ? mPort : mOptions.port)
      .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor& aAcceptor) {
        mPort = aAcceptor.local_endpoint().port();
        mListeningFd = aAcceptor.native_handle();
      })
      .socket_options_setter([](restinio::socket_options_t& aSocket) {
        aSocket.set_option(asio::ip::tcp::no_delay{ true });
      })
      .acceptor_options_setter([](restinio::acceptor_options_t& aAcceptor) {
        aAcceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
        // Connections inherit the size.
        aAcceptor.set_option(
          asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
      })
      .incoming_http_msg_limits(
        restinio::incoming_http_msg_limits_t{}.max_body_size(
          mOptions.maxBodyBytes))
      .ip_blocker(std::make_shared<AcceptGate>(mMetered))
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
    mHandler(std::move(request),
             std::make_shared<RestinioResponder>(
               std::move(aRequest), mRunning, *mMetered));
    return restinio::request_accepted();
  }

  AsioExecutor& mExecutor;
  Options mOptions;
  Handler mHandler;
  std::uint16_t mPort = 0;
  std::shared_ptr<RunningRequestCounter> mRunning =
    std::make_shared<RunningRequestCounter>();
  std::shared_ptr<MeteredServer> mMetered;
  std::unique_ptr<RestinioServer> mServer;
  int mListeningFd = -1;
  // The number of accepted connections at the last check, and the number of
  // checks since the last one that found progress.
  std::uint64_t mAcceptedBefore = 0;
  int mStalledChecks = 0;
  Timer mWatchTimer;
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

const ConnectionGate&
HttpServer::Gate() const
{
  return mImpl->Gate();
}

void
HttpServer::Stop()
{
  mImpl->Stop();
}

} // namespace firefly

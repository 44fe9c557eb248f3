#pragma once

// The HTTP port of a daemon for its operators: /livez, /readyz, /metrics, and
// what the daemon adds.

#include <cstdint>
#include <functional>
#include <string>

#include <tl/expected.hpp>

#include "servers/http/http_server.h"
#include "servers/metrics/metrics.h"

namespace firefly {

// A problem+json answer (RFC 9457).
HttpResponse
MakeProblem(int aStatus, const std::string& aTitle, const std::string& aDetail);

class StatusServer
{
public:
  // Empty if the daemon is ready, else why it is not.
  using ReadyCheck = std::function<std::string()>;

  struct Options
  {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; // 0 takes a free port
    ReadyCheck ready;
    // Answers all other paths; empty answers them with 404.
    HttpServer::Handler handler = {};
  };

  // The registry must outlive the server.
  StatusServer(AsioExecutor& aExecutor,
               Options aOptions,
               const MetricRegistry& aMetrics);

  // Opens the port; the error names the address.
  tl::expected<void, HttpServerError> Start() { return mServer.Start(); }

  [[nodiscard]] std::uint16_t Port() const { return mServer.Port(); }

private:
  void Handle(HttpRequest aRequest, HttpResponderPtr aResponder);

  Options mOptions;
  const MetricRegistry& mMetrics;
  HttpServer mServer;
};

} // namespace firefly

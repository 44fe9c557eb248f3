#pragma once

// The admin HTTP port of a daemon: /livez, /readyz, /metrics, and the paths
// that the daemon adds.

#include <cstdint>
#include <functional>
#include <string>

#include <tl/expected.hpp>

#include "servers/http/http_server.h"
#include "servers/metrics/metrics.h"
#include "servers/status/http_server_report.h"

namespace firefly {

// A problem document as an HTTP response (RFC 9457).
HttpResponse
MakeProblem(int aStatus, const std::string& aTitle, const std::string& aDetail);

class StatusServer
{
public:
  // Returns an empty text if the daemon is ready, else the reason why it is
  // not.
  using ReadyCheck = std::function<std::string()>;

  struct Options
  {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; // 0 selects a free port
    ReadyCheck ready;       // must be set
    // Handles all other paths. Without a handler, they are answered with 404.
    HttpServer::Handler handler = {};
  };

  // The registry must outlive the server.
  StatusServer(AsioExecutor& aExecutor,
               Options aOptions,
               MetricRegistry& aMetrics);

  // Opens the port. The error message contains the address.
  tl::expected<void, HttpServerError> Start() { return mServer.Start(); }

  [[nodiscard]] std::uint16_t Port() const { return mServer.Port(); }

private:
  void Handle(HttpRequest aRequest, HttpResponderPtr aResponder);

  Options mOptions;
  const MetricRegistry& mMetrics;
  HttpServerReport mReport;
  HttpServer mServer;
};

} // namespace firefly

#pragma once

// Reports the limits of an HTTP server, their use and its refusals, in metrics
// and in the log.

#include <cstdint>
#include <string>

#include "core/executor.h"
#include "servers/http/http_server.h"
#include "servers/metrics/metrics.h"

namespace firefly {

class HttpServerReport
{
public:
  // The name tells the servers of a process apart. The registry and the
  // executor must outlive the report.
  HttpServerReport(std::string aServer,
                   MetricRegistry& aMetrics,
                   const Executor& aExecutor);

  // Counts a refusal. Logs the first one, and then at most one line in each
  // kLogInterval.
  void OnRefusal(RefusalCause aCause);

  // Shows the server's limits. The server must exist at each exposition.
  void Watch(const HttpServer& aServer);

  static constexpr Duration kLogInterval = std::chrono::seconds(10);

private:
  std::string mServer;
  MetricRegistry& mMetrics;
  const Executor& mExecutor;
  MetricFamily<Counter>& mRefusals;
  Instant mNextLog{};
  std::uint64_t mUnlogged = 0;
};

} // namespace firefly

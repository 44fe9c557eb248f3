#pragma once

// A complete relay process: it follows the log, serves callers, calls backend
// servers, exchanges updates with other relays and reports its status.

#include <functional>
#include <memory>
#include <optional>

#include <tl/expected.hpp>

#include "coord/keyed_log.h"
#include "core/state_chart.h"
#include "policy/routing_table.h"
#include "servers/duties/duty_client.h"
#include "servers/http/asio_executor.h"
#include "servers/http/http_client.h"
#include "servers/relay/backend_registry.h"
#include "servers/relay/dialect.h"
#include "servers/relay/record_decoder.h"
#include "servers/relay/relay_settings.h"

namespace firefly {

// Why the process could not start.
struct RelayServerError
{
  std::string message;
};

class RelayServer
{
public:
  // All must outlive the server.
  struct Parts
  {
    AsioExecutor* executor = nullptr;
    coord::KeyedLogClient* keyedLog = nullptr;
    coord::LogClient* streamLog = nullptr;
    // For calls to other relays.
    HttpClient* client = nullptr;
    // Used only where the settings enable a duty.
    DutyClient* dutyClient = nullptr;
    const Dialect* dialect = nullptr;
    const RecordDecoder* decoder = nullptr;
    const StateChart* authorityChart = nullptr;
    const StateChart* backendChart = nullptr;
  };

  RelayServer(const Parts& aParts, const RelaySettings& aSettings);
  ~RelayServer();
  RelayServer(const RelayServer&) = delete;
  RelayServer& operator=(const RelayServer&) = delete;

  // Opens the ports and starts reading the log; an error names the address that
  // could not be opened.
  tl::expected<void, RelayServerError> Start();

  // Applies the settings that may change at run time.
  void Reload(const RelaySettings& aSettings);

  // Reports not ready, waits for the unready grace and for live requests to
  // end, then calls aDone, at the latest shortly before the stop grace ends.
  // Further calls of Drain() have no effect.
  void Drain(std::function<void()> aDone);

  // The latest instant at which this process is known to have had all records
  // of the routing table's stream; empty until it has loaded them.
  [[nodiscard]] std::optional<Instant> RoutingConfirmedAt() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace firefly

#pragma once

// A whole relay process: feeds from the log, callers, backend servers, status.

#include <functional>
#include <memory>

#include <tl/expected.hpp>

#include "coord/keyed_log.h"
#include "core/state_chart.h"
#include "policy/routing_table.h"
#include "servers/http/asio_executor.h"
#include "servers/http/http_client.h"
#include "servers/relay/backend_directory.h"
#include "servers/relay/dialect.h"
#include "servers/relay/relay_settings.h"

namespace firefly {

// Why the process could not start.
struct RelayServerError
{
  std::string message;
};

// Why a record of the log means nothing; it then changes nothing.
struct RecordError
{
  std::string message;
};

// Decodes what operators and backend servers write to the log.
class RecordDecoder
{
public:
  virtual ~RecordDecoder() = default;

  // The streams of each, and the key of the routing table.
  [[nodiscard]] virtual coord::StreamName RoutingStream() const = 0;
  [[nodiscard]] virtual std::string RoutingKey() const = 0;
  [[nodiscard]] virtual coord::StreamName BackendStream() const = 0;

  [[nodiscard]] virtual tl::expected<policy::RoutingTable, RecordError>
  DecodeRouting(const std::string& aValue) const = 0;
  [[nodiscard]] virtual tl::expected<BackendRecord, RecordError> DecodeBackend(
    const std::string& aKey,
    const std::string& aValue) const = 0;
};

class RelayServer
{
public:
  // All must outlive the server.
  struct Parts
  {
    AsioExecutor* executor = nullptr;
    coord::KeyedLogClient* log = nullptr;
    coord::LogClient* streams = nullptr;
    // For calls to other relays.
    HttpClient* client = nullptr;
    const Dialect* dialect = nullptr;
    const RecordDecoder* decoder = nullptr;
    const StateChart* authorityChart = nullptr;
    const StateChart* backendChart = nullptr;
  };

  RelayServer(const Parts& aParts, const RelaySettings& aSettings);
  ~RelayServer();
  RelayServer(const RelayServer&) = delete;
  RelayServer& operator=(const RelayServer&) = delete;

  // Opens the ports and begins to read; the error names the address.
  tl::expected<void, RelayServerError> Start();

  // Takes over what may change while it runs.
  void Reload(const RelaySettings& aSettings);

  // Says that it is not ready, ends what runs, then calls back.
  void Drain(std::function<void()> aDone);

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace firefly

#pragma once

// The interface that decodes the records of the log.

#include <string>

#include <tl/expected.hpp>

#include "coord/keyed_log.h"
#include "policy/routing_table.h"
#include "servers/relay/backend_registry.h"

namespace firefly {

// Why a record of the log could not be decoded; such a routing record is
// ignored, and the backend server of such a backend record is removed.
struct RecordError
{
  std::string message;
};

// Decodes the records that operators and backend servers write to the log.
class RecordDecoder
{
public:
  virtual ~RecordDecoder() = default;

  // The log streams, and the key of the routing table in its stream.
  [[nodiscard]] virtual coord::StreamName RoutingStream() const = 0;
  [[nodiscard]] virtual std::string RoutingKey() const = 0;
  [[nodiscard]] virtual coord::StreamName BackendStream() const = 0;

  [[nodiscard]] virtual tl::expected<policy::RoutingTable, RecordError>
  DecodeRouting(const std::string& aValue) const = 0;
  [[nodiscard]] virtual tl::expected<BackendRecord, RecordError> DecodeBackend(
    const std::string& aKey,
    const std::string& aValue) const = 0;
};

} // namespace firefly

#pragma once

// The operators' routes: which request goes to which service, and on what
// terms. A table is immutable; a newer version replaces it whole.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "policy/request_info.h"

namespace firefly::policy {

// The version of a routing table; grows with each change, in uneven steps.
using RoutingVersion = StrongType<struct RoutingVersionTag, std::uint64_t>;

// What may be repeated of the requests on a route.
enum class RouteKind : std::uint8_t
{
  kIdempotent,
  // Runs at most once for each request of a caller.
  kOnce,
  // A stream of events that runs at most once.
  kStream,
  // A stream that another backend server may continue.
  kResumableStream,
};

// A service and its part of a route's requests.
struct RouteTarget
{
  ServiceId service;
  double weight = 1;
};

struct Route
{
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string pathPrefix;
  RouteKind kind = RouteKind::kOnce;
  // The longest time that a request may be kept waiting.
  Duration timeout{};
  // A first event (or a whole plain answer) after this is late.
  Duration lateAfter{};
  // 0 is the most urgent.
  std::uint32_t rank = 0;
  // Backend servers that one request may be sent to.
  std::uint32_t maxAttempts = 1;
  // At least one.
  std::vector<RouteTarget> targets;

  [[nodiscard]] bool IsStream() const
  {
    return kind == RouteKind::kStream || kind == RouteKind::kResumableStream;
  }

  // Whether a second run does no harm.
  [[nodiscard]] bool MayRepeat() const
  {
    return kind == RouteKind::kIdempotent ||
           kind == RouteKind::kResumableStream;
  }

  // The target of a request; the same request always has the same one.
  [[nodiscard]] const ServiceId& TargetFor(const RequestId& aId) const;
};

// What the model engines of a service have in common.
struct EngineTraits
{
  // Output tokens in one event of a stream at most.
  std::uint32_t tokensPerEvent = 1;
};

struct ServiceTraits
{
  ServiceId id;
  // Model engines answer the service; else plain backend servers do.
  std::optional<EngineTraits> engine{};
};

// What a caller may send, and how long it may take or stay idle.
struct CallerLimits
{
  std::size_t maxHeadBytes = 16U << 10U;
  std::size_t maxBodyBytes = 4U << 20U;
  Duration headTimeout = std::chrono::seconds(3);
  Duration idleTimeout = std::chrono::seconds(15);
};

class RoutingTable
{
public:
  struct Options
  {
    RoutingVersion version;
    std::vector<Route> routes;
    std::vector<ServiceTraits> services;
    CallerLimits limits;
  };

  explicit RoutingTable(Options aOptions);

  [[nodiscard]] RoutingVersion Version() const { return mOptions.version; }
  [[nodiscard]] const CallerLimits& Limits() const { return mOptions.limits; }
  [[nodiscard]] std::size_t RouteCount() const
  {
    return mOptions.routes.size();
  }

  // The route of that host whose prefix of the path is the longest, or null.
  [[nodiscard]] const Route* Match(std::string_view aHost,
                                   std::string_view aPath) const;

  // The service, or null.
  [[nodiscard]] const ServiceTraits* Service(const ServiceId& aId) const;

private:
  Options mOptions;
  // Routes by host and prefix, as indexes.
  std::map<std::pair<std::string, std::string>, std::size_t, std::less<>>
    mByPrefix;
};

} // namespace firefly::policy

#pragma once

// The operators' routes, which assign requests to services and set their
// timeouts, priorities and attempts. A table is immutable; a newer version
// replaces it as a whole.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "policy/access/customer.h"
#include "policy/request_info.h"

namespace firefly::policy {

// The version of a routing table. It increases with each change, not always by
// 1.
using RoutingVersion = StrongType<struct RoutingVersionTag, std::uint64_t>;

// Whether the requests on a route may be repeated.
enum class RouteKind : std::uint8_t
{
  kIdempotent,
  // Runs at most once for each request of a caller.
  kAtMostOnce,
  // An event stream that runs at most once.
  kStream,
  // An event stream that another backend server can continue.
  kResumableStream,
};

// A service and the weight of its share of a route's requests.
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
  RouteKind kind = RouteKind::kAtMostOnce;
  // The maximum time that a request may wait.
  Duration timeout{};
  // A request is late if its first event (or its complete plain answer) takes
  // longer than this.
  Duration lateAfter{};
  // The longest pause between a stream's events for which it is in time; zero
  // if there is no such objective.
  Duration gapObjective{};
  // The caller of a stream gives up when it has waited this long for an event,
  // even if its deadline is later.
  std::optional<Duration> patience{};
  // The priority; 0 is the most urgent.
  std::uint32_t rank = 0;
  // Maximum number of backend servers that one request is sent to.
  std::uint32_t maxAttempts = 1;
  // Whether requests need no API key if the table has customers.
  bool isPublic = false;
  // Must not be empty.
  std::vector<RouteTarget> targets;

  [[nodiscard]] bool IsStream() const
  {
    return kind == RouteKind::kStream || kind == RouteKind::kResumableStream;
  }

  // Whether it is safe to run a request more than once.
  [[nodiscard]] bool IsRepeatable() const
  {
    return kind == RouteKind::kIdempotent ||
           kind == RouteKind::kResumableStream;
  }

  // Chooses the target of a request by weight. The same request always gets the
  // same target.
  [[nodiscard]] const ServiceId& TargetFor(const RequestId& aId) const;
};

// Properties that all model engines of a service share.
struct EngineTraits
{
  // Maximum number of output tokens in one event of a stream.
  std::uint32_t tokensPerEvent = 1;
};

struct ServiceTraits
{
  ServiceId id;
  // Set if model engines answer the service; otherwise plain backend servers
  // do.
  std::optional<EngineTraits> engine{};
};

// Limits on the size and duration of a caller's requests and on idle
// connections.
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
    // If set, requests need the API key of a customer, except on public routes;
    // an empty list admits no key.
    std::optional<std::vector<Customer>> customers{};
  };

  explicit RoutingTable(Options aOptions);

  [[nodiscard]] RoutingVersion Version() const { return mOptions.version; }
  [[nodiscard]] const CallerLimits& Limits() const { return mOptions.limits; }
  [[nodiscard]] std::size_t RouteCount() const
  {
    return mOptions.routes.size();
  }

  // The route of the host with the longest prefix that matches the path, or
  // null.
  [[nodiscard]] const Route* Match(std::string_view aHost,
                                   std::string_view aPath) const;

  // The longest timeout of a route that carries streams; zero without one.
  [[nodiscard]] Duration LongestStreamTimeout() const;

  // The service with that id, or null.
  [[nodiscard]] const ServiceTraits* Service(const ServiceId& aId) const;

  // Whether requests need API keys.
  [[nodiscard]] bool HasCustomers() const
  {
    return mOptions.customers.has_value();
  }
  [[nodiscard]] std::size_t CustomerCount() const
  {
    return HasCustomers() ? mOptions.customers->size() : 0;
  }
  // Number of different keys, including ambiguous ones.
  [[nodiscard]] std::size_t KeyCount() const { return mCustomerByKey.size(); }
  // Number of keys that several customers have.
  [[nodiscard]] std::size_t AmbiguousKeyCount() const;

  // The customer with that key, or null. A key that several customers have
  // identifies none of them. The cost does not depend on the number of keys.
  [[nodiscard]] const Customer* FindCustomer(const KeyDigest& aKey) const;

private:
  void IndexCustomers();

  Options mOptions;
  // Indexes of the routes by host and path prefix.
  std::map<std::pair<std::string, std::string>, std::size_t, std::less<>>
    mIndexByHostAndPrefix;
  // Indexes of the customers by key; none for an ambiguous key.
  std::unordered_map<KeyDigest, std::optional<std::size_t>> mCustomerByKey;
};

} // namespace firefly::policy

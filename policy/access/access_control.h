#pragma once

// Decides whether a request may run, and for which customer.

#include <cstdint>
#include <optional>
#include <string_view>

#include "core/clock.h"
#include "policy/access/credentials.h"
#include "policy/routing_table.h"

namespace firefly::policy {

// How current the routing table is at the time of a decision.
struct AccessTime
{
  Instant now{};
  // The time up to which the table is known to contain all changes; none until
  // it is known for the first time.
  std::optional<Instant> confirmedAt{};
  // From this age of the confirmation on, keys can't be trusted; none if
  // revocation is not strict.
  std::optional<Duration> stalenessBound{};
  // Within which a change of the table must be in force.
  Duration changeBound = std::chrono::seconds(2);
  // Since when no host has been able to read the log that the table comes from,
  // if that is so.
  std::optional<Instant> logAwaySince{};

  // The age of the confirmation; none if there is no confirmation.
  [[nodiscard]] std::optional<Duration> Age() const;

  // Whether a key may have been revoked too long ago without this process
  // knowing it.
  [[nodiscard]] bool IsStale() const;

  // Whether the table is known to be in force, so that what it does not contain
  // does not exist. While the log is away, there are no changes to miss.
  [[nodiscard]] bool IsInForce() const;
};

enum class AccessOutcome : std::uint8_t
{
  // The request may run. On a public route, or without customers in the table,
  // no customer may be known.
  kAdmitted,
  // The request has no credentials.
  kAbsent,
  // The credentials are not exactly one key of allowed length.
  kMalformed,
  // No customer has the key.
  kUnknown,
  // The table may be out of date, so that nothing is known about the key, or
  // about the need for one.
  kUnconfirmed,
};

std::string_view
ToString(AccessOutcome aOutcome);

struct AccessDecision
{
  AccessOutcome outcome = AccessOutcome::kAdmitted;
  // Owned by the routing table. Null if the request is not admitted or its
  // customer is not known.
  const Customer* customer = nullptr;
};

// Decides on a request to the route, which must belong to the table. A key on a
// public route only identifies its customer if the table is not stale, since a
// revoked key must not.
AccessDecision
Decide(const RoutingTable& aTable,
       const Route& aRoute,
       const Credentials& aCredentials,
       const AccessTime& aTime);

// The staleness bound with which no request runs later than the given time
// after its key was revoked. A tenth of the time is left for differences
// between the rates of clocks and for processing.
constexpr Duration
StalenessBound(Duration aRevocationTime)
{
  constexpr int kMarginDivisor = 10;
  return aRevocationTime - aRevocationTime / kMarginDivisor;
}

} // namespace firefly::policy

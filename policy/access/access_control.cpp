#include "policy/access/access_control.h"

#include <algorithm>

namespace firefly::policy {

std::optional<Duration>
AccessTime::Age() const
{
  if (!confirmedAt) {
    return std::nullopt;
  }
  return now - *confirmedAt;
}

bool
AccessTime::IsStale() const
{
  if (!stalenessBound) {
    return false;
  }
  const auto age = Age();
  return !age || *age >= *stalenessBound;
}

bool
AccessTime::IsInForce() const
{
  const auto until = std::min(now, logAwaySince.value_or(now));
  return confirmedAt && until - *confirmedAt < changeBound;
}

std::string_view
ToString(AccessOutcome aOutcome)
{
  switch (aOutcome) {
    case AccessOutcome::kAdmitted:
      return "admitted";
    case AccessOutcome::kAbsent:
      return "no key";
    case AccessOutcome::kMalformed:
      return "malformed key";
    case AccessOutcome::kUnknown:
      return "unknown key";
    case AccessOutcome::kUnconfirmed:
      return "routing table not confirmed";
  }
  return "unknown outcome";
}

AccessDecision
Decide(const RoutingTable& aTable,
       const Route& aRoute,
       const Credentials& aCredentials,
       const AccessTime& aTime)
{
  if (!aTable.HasCustomers()) {
    return {};
  }
  const auto* key = std::get_if<KeyDigest>(&aCredentials);
  const bool isStale = aTime.IsStale();
  // A newer table may contain a key that is unknown here, or lack one that is
  // known here.
  const auto* customer =
    key == nullptr || isStale ? nullptr : aTable.FindCustomer(*key);
  if (aRoute.isPublic || customer != nullptr) {
    return { .outcome = AccessOutcome::kAdmitted, .customer = customer };
  }
  // A refusal for good needs a table that is in force: a newer one may contain
  // the key, or need none for this route.
  if (!aTime.IsInForce() || (key != nullptr && isStale)) {
    return { .outcome = AccessOutcome::kUnconfirmed };
  }
  if (key != nullptr) {
    return { .outcome = AccessOutcome::kUnknown };
  }
  const bool isAbsent = std::holds_alternative<AbsentCredentials>(aCredentials);
  return { .outcome =
             isAbsent ? AccessOutcome::kAbsent : AccessOutcome::kMalformed };
}

} // namespace firefly::policy

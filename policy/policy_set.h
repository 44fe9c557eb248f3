#pragma once

// A named set of policies, one for each interface.

#include <cstdint>
#include <memory>
#include <set>
#include <string>

#include <tl/expected.hpp>

#include "policy/admission.h"
#include "policy/backend_selector.h"
#include "policy/hedger.h"
#include "policy/limits.h"
#include "policy/poison_guard.h"
#include "policy/request_queue.h"
#include "policy/retry_budget.h"
#include "policy/role_controller.h"
#include "policy/size_estimator.h"

namespace firefly::policy {

// One instance of each policy; one process owns one set.
struct PolicySet
{
  std::string name;
  std::unique_ptr<SizeEstimator> estimator;
  std::unique_ptr<LimitKeeper> limits;
  std::unique_ptr<Admission> admission;
  std::unique_ptr<RequestQueue> queue;
  std::unique_ptr<BackendSelector> selector;
  std::unique_ptr<RetryBudget> retries;
  // Hedges and resumes have a smaller share of the traffic.
  std::unique_ptr<RetryBudget> hedges;
  std::unique_ptr<Hedger> hedger;
  std::unique_ptr<PoisonGuard> poison;
};

struct PolicyOptions
{
  // This entry; other entries must have other names.
  HostId self;
  // Seed of the random candidates; should differ between entries.
  std::uint64_t seed = 1;
  // Backend servers that hold a prefix, and random ones beside them that are
  // weighed for each request.
  std::uint32_t homes = 2;
  std::uint32_t randomCandidates = 3;
  // Where this entry is, and what it is worth to stay within that failure
  // domain, as a longer wait.
  DomainId domain{};
  Duration farCost{};
  // Whether entries tell each other of each prompt as they send it.
  bool hearsPlaced = false;
  // A backend server with this much predicted wait has no room.
  Duration fullAt = std::chrono::milliseconds(1000);
  // Requests that may wait at this entry.
  std::size_t queueBound = 256;
  // Parts of "firefly" to replace by the plain ones: "admission", "queue",
  // "peers", "speed", "affinity", "lanes", "retry-budget", "hedge", "poison",
  // "roles".
  std::set<std::string> without = {};
};

// Why there is no policy set.
struct PolicyError
{
  std::string message;
};

// The names of all parts that PolicyOptions::without may name.
const std::set<std::string>&
PolicyParts();

// The set of that name: "firefly", "round-robin" or "least-reported-load".
tl::expected<PolicySet, PolicyError>
MakePolicySet(const std::string& aName, const PolicyOptions& aOptions);

// The role controller that belongs to the set of that name; for the steward.
tl::expected<std::unique_ptr<RoleController>, PolicyError>
MakeRoleController(const std::string& aName,
                   const CostRoleController::Options& aOptions,
                   const std::set<std::string>& aWithout = {});

} // namespace firefly::policy

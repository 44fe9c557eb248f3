#pragma once

// A named set of policies with one implementation of each interface.

#include <cstdint>
#include <memory>
#include <set>
#include <string>

#include <tl/expected.hpp>

#include "policy/admission.h"
#include "policy/backend_selector.h"
#include "policy/crash_correlator.h"
#include "policy/hedger.h"
#include "policy/poison_quarantine.h"
#include "policy/rate_limit/backend_rate_limiter.h"
#include "policy/request_limiter.h"
#include "policy/request_queue.h"
#include "policy/retry/retry_budget.h"
#include "policy/role_controller.h"
#include "policy/size_estimator.h"

namespace firefly::policy {

// One instance of each policy. Each process owns one set.
struct PolicySet
{
  std::string name;
  std::unique_ptr<SizeEstimator> estimator;
  std::unique_ptr<RequestLimiter> limits;
  std::unique_ptr<Admission> admission;
  std::unique_ptr<RequestQueue> queue;
  std::unique_ptr<BackendSelector> selector;
  std::unique_ptr<RetryBudget> retries;
  // The budget of hedges and resumes, which is a smaller fraction of the
  // traffic than that of retries.
  std::unique_ptr<RetryBudget> hedges;
  std::unique_ptr<Hedger> hedger;
  std::unique_ptr<PoisonQuarantine> poisonQuarantine;
  std::unique_ptr<CrashCorrelator> crashCorrelator;
  // Shared with the selector.
  std::shared_ptr<BackendRateLimiter> rateLimiter =
    std::make_shared<BackendRateLimiter>();
};

struct PolicyOptions
{
  // This entry's host; must differ between entries.
  HostId self;
  // Seed for the choice of random candidates; should differ between entries.
  std::uint64_t seed = 1;
  // The number of home backend servers for each prefix, and of random
  // candidates for each request in addition.
  std::uint32_t homesPerPrefix = 2;
  std::uint32_t randomCandidates = 3;
  // This entry's failure domain, and the additional wait that is accepted to
  // stay within it.
  DomainId domain{};
  Duration crossDomainPenalty{};
  // Whether entries announce each prompt to their peers when they send it.
  bool peersAnnouncePrompts = false;
  // A backend server with at least this predicted wait has no capacity.
  Duration maxQueueingTime = std::chrono::milliseconds(1000);
  // What the repeats of all entries may add to a service's load.
  RetryAllowance retryAllowance{};
  // Maximum number of requests that wait at this entry.
  std::size_t queueBound = 256;
  // Parts of "firefly" to replace by baseline ones: "admission", "queue",
  // "peers", "speed", "affinity", "lanes", "retry-budget", "hedge", "poison",
  // "roles".
  std::set<std::string> disabledParts = {};
};

// Why a policy set or role controller could not be created.
struct PolicyError
{
  std::string message;
};

// The names of all parts that PolicyOptions can replace.
const std::set<std::string>&
PolicyParts();

// Creates the set with that name: "firefly", "round-robin" or
// "least-reported-load". Fails if the name or a disabled part is unknown.
tl::expected<PolicySet, PolicyError>
MakePolicySet(const std::string& aName, const PolicyOptions& aOptions);

// Creates the role controller of the set with that name, for the steward. Fails
// if the name is unknown; of aDisabledParts, only "roles" has an effect.
tl::expected<std::unique_ptr<RoleController>, PolicyError>
MakeRoleController(const std::string& aName,
                   const CostRoleController::Options& aOptions,
                   const std::set<std::string>& aDisabledParts = {});

} // namespace firefly::policy

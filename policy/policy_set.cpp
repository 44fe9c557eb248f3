#include "policy/policy_set.h"

#include <algorithm>

#include "policy/baseline_selectors.h"
#include "policy/learning_selector.h"

namespace firefly::policy {

namespace {

// Hedges and resumes earned by each first attempt, and the maximum number that
// can be saved.
constexpr double kHedgesPerFirstAttempt = 0.02;
constexpr double kMaxSavedHedges = 4;

const std::string kFirefly = "firefly";
const std::string kRoundRobin = "round-robin";
const std::string kLeastReportedLoad = "least-reported-load";

PolicyError
UnknownName(const std::string& aName)
{
  return { "unknown policy '" + aName + "'; known are " + kFirefly + ", " +
           kRoundRobin + " and " + kLeastReportedLoad };
}

bool
IsKnown(const std::string& aName)
{
  return aName == kFirefly || aName == kRoundRobin ||
         aName == kLeastReportedLoad;
}

PolicySet
MakeFirefly(const PolicyOptions& aOptions)
{
  const auto has = [&](const char* aPart) {
    return !aOptions.disabledParts.contains(aPart);
  };
  PolicySet set;
  set.estimator = std::make_unique<QuantileSizeEstimator>();
  set.limits = std::make_unique<SharedRequestLimiter>(
    SharedRequestLimiter::Options{ .self = aOptions.self });
  set.hedges =
    std::make_unique<ProportionalRetryBudget>(ProportionalRetryBudget::Options{
      .retriesPerFirstAttempt = kHedgesPerFirstAttempt,
      .maxCredit = kMaxSavedHedges });
  set.queue = std::make_unique<WorthQueue>(WorthQueue::Options{
    .maxSize = aOptions.queueBound, .firstInFirstOut = !has("queue") });
  set.selector = std::make_unique<LearningSelector>(LearningSelector::Options{
    .seed = aOptions.seed,
    .randomCandidates = aOptions.randomCandidates,
    .homesPerPrefix = aOptions.homesPerPrefix,
    .maxQueueingTime = aOptions.maxQueueingTime,
    .domain = aOptions.domain,
    .crossDomainPenalty = aOptions.crossDomainPenalty,
    .peersAnnouncePrompts = aOptions.peersAnnouncePrompts,
    .rateLimiter = set.rateLimiter,
    .usePeers = has("peers"),
    .useSpeed = has("speed"),
    .useAffinity = has("affinity"),
    .useLanes = has("lanes") });
  if (has("admission")) {
    set.admission = std::make_unique<WorthAdmission>();
  } else {
    set.admission = std::make_unique<BaselineAdmission>();
  }
  if (has("retry-budget")) {
    set.retries = std::make_unique<SharedRetryBudget>(
      SharedRetryBudget::Options{ .allowance = aOptions.retryAllowance });
  } else {
    set.retries = std::make_unique<UnboundedRetryBudget>();
  }
  if (has("hedge")) {
    set.hedger = std::make_unique<QuantileHedger>();
  } else {
    set.hedger = std::make_unique<NoHedger>();
  }
  if (has("poison")) {
    set.poisonQuarantine = std::make_unique<SuspectPoisonQuarantine>();
    set.crashCorrelator = std::make_unique<TraitCrashCorrelator>(
      TraitCrashCorrelator::Options{ .seed = aOptions.seed });
  } else {
    set.poisonQuarantine = std::make_unique<NoPoisonQuarantine>();
    set.crashCorrelator = std::make_unique<NoCrashCorrelator>();
  }
  return set;
}

PolicySet
MakeBaseline(const PolicyOptions& aOptions)
{
  PolicySet set;
  set.estimator = std::make_unique<QuantileSizeEstimator>();
  set.limits = std::make_unique<SharedRequestLimiter>(
    SharedRequestLimiter::Options{ .self = aOptions.self });
  set.admission = std::make_unique<BaselineAdmission>();
  set.hedges =
    std::make_unique<ProportionalRetryBudget>(ProportionalRetryBudget::Options{
      .retriesPerFirstAttempt = kHedgesPerFirstAttempt,
      .maxCredit = kMaxSavedHedges });
  set.queue = std::make_unique<WorthQueue>(WorthQueue::Options{
    .maxSize = aOptions.queueBound, .firstInFirstOut = true });
  set.retries = std::make_unique<UnboundedRetryBudget>();
  set.hedger = std::make_unique<NoHedger>();
  set.poisonQuarantine = std::make_unique<NoPoisonQuarantine>();
  set.crashCorrelator = std::make_unique<NoCrashCorrelator>();
  return set;
}

} // namespace

const std::set<std::string>&
PolicyParts()
{
  static const std::set<std::string> kParts{
    "admission", "queue",        "peers", "speed",  "affinity",
    "lanes",     "retry-budget", "hedge", "poison", "roles"
  };
  return kParts;
}

tl::expected<PolicySet, PolicyError>
MakePolicySet(const std::string& aName, const PolicyOptions& aOptions)
{
  for (const auto& part : aOptions.disabledParts) {
    if (!PolicyParts().contains(part)) {
      return tl::make_unexpected(PolicyError{ "unknown part '" + part + "'" });
    }
  }
  if (!IsKnown(aName)) {
    return tl::make_unexpected(UnknownName(aName));
  }
  PolicySet set;
  if (aName == kFirefly) {
    set = MakeFirefly(aOptions);
  } else {
    set = MakeBaseline(aOptions);
    if (aName == kRoundRobin) {
      set.selector = std::make_unique<RoundRobinSelector>();
    } else {
      set.selector = std::make_unique<LeastReportedLoadSelector>();
    }
  }
  set.name = aName;
  return set;
}

tl::expected<std::unique_ptr<RoleController>, PolicyError>
MakeRoleController(const std::string& aName,
                   const CostRoleController::Options& aOptions,
                   const std::set<std::string>& aDisabledParts)
{
  if (!IsKnown(aName)) {
    return tl::make_unexpected(UnknownName(aName));
  }
  if (aName == kFirefly && !aDisabledParts.contains("roles")) {
    return std::make_unique<CostRoleController>(aOptions);
  }
  return std::make_unique<StaticRoleController>();
}

} // namespace firefly::policy

#pragma once

// Sends engines the orders that change their role. Only the relay that holds
// the lease in the log sends orders, with its fencing number. A relay becomes a
// candidate for the lease only while changes are wanted.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "coord/lease.h"
#include "policy/prefill_share_planner.h"
#include "servers/http1/backend_pool.h"
#include "servers/relay/backend_registry.h"
#include "servers/relay/dialect.h"

namespace firefly {

class RoleOrderIssuer : private coord::LeaseObserver
{
public:
  struct Options
  {
    HostId host;
    Incarnation incarnation;
    policy::PrefillSharePlanner::Options plan;
    // Duration of the lease; only its holder may send orders.
    Duration lease = std::chrono::seconds(3);
    // State charts of the lease and of the backend servers; must outlive the
    // issuer.
    const StateChart* authorityChart = nullptr;
    const StateChart* backendChart = nullptr;
    std::uint64_t seed = 1;
  };

  // All of these must outlive the issuer.
  struct Parts
  {
    Executor* executor = nullptr;
    coord::LogClient* log = nullptr;
    const Dialect* dialect = nullptr;
    BackendPool* pool = nullptr;
    const BackendRegistry* backendRegistry = nullptr;
    const policy::FleetView* fleet = nullptr;
    // Returns this relay's rank among the live ones, starting at 0. Rank 0
    // becomes a candidate first; each further rank waits longer.
    std::function<std::size_t()> rank;
    // Returns the load of the stages for a model.
    policy::PrefillSharePlanner::LoadsOf loadsOf;
    // Returns true once a request has been routed.
    std::function<bool()> hasRoutedRequest;
  };

  RoleOrderIssuer(Options aOptions, Parts aParts);
  ~RoleOrderIssuer() override;
  RoleOrderIssuer(const RoleOrderIssuer&) = delete;
  RoleOrderIssuer& operator=(const RoleOrderIssuer&) = delete;

  // Starts planning; call it once. Without a prefill share in the plan,
  // planning starts only when SetPlan() sets one.
  void Start();

  // Stops planning; no further orders are sent.
  void Stop();

  // Replaces the plan.
  void SetPlan(const policy::PrefillSharePlanner::Options& aPlan);

  // The log was restored from a copy. Gives up the authority and claims it
  // again only when each lease that the copy may lack has expired.
  void OnLogRestored();

private:
  class OrderCall;
  struct Candidacy;

  void OnAcquired(FencingNumber aFence) override;
  void OnLost() override;
  void OnHolderChanged(const coord::LeaseHolder& aHolder) override;

  void Tick();
  void BecomeCandidate();
  void EndCandidacy();
  void SendOrders(const std::vector<policy::RoleChange>& aChanges);
  void SendOrder(const policy::RoleChange& aChange, FencingNumber aFence);
  void OnAnswer(const BackendId& aBackend, const std::string& aOutcome);

  Options mOptions;
  Parts mParts;
  policy::PrefillSharePlanner mPlanner;
  Log mLog{ "roles" };
  // Since when changes have been wanted without a break; none if there are
  // none.
  std::optional<Instant> mWantedSince;
  // When changes were last wanted.
  Instant mLastWanted{};
  std::unique_ptr<Candidacy> mCandidacy;
  // See AuthorityStream::Options::formerEnd.
  std::optional<coord::LogOffset> mFormerEnd;
  Instant mNotCandidateBefore{};
  // Orders that wait for an answer, and the time before which an engine is sent
  // no further order.
  std::map<BackendId, std::unique_ptr<OrderCall>> mCalls;
  std::map<BackendId, Instant> mNotBefore;
  bool mStarted = false;
  Timer mTimer;
};

} // namespace firefly

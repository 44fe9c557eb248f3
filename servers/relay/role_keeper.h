#pragma once

// Gives engines the orders that change their role. Only the relay that holds
// the lease in the log gives orders, with its fencing number; a relay becomes a
// candidate only while changes are wanted.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "coord/lease.h"
#include "policy/stage_planner.h"
#include "servers/http1/backend_pool.h"
#include "servers/relay/backend_directory.h"
#include "servers/relay/dialect.h"

namespace firefly {

class RoleKeeper : private coord::LeaseObserver
{
public:
  struct Options
  {
    HostId host;
    Incarnation incarnation;
    policy::StagePlanner::Options plan;
    // For which a holder's orders exclude those of others.
    Duration lease = std::chrono::seconds(3);
    // Charts of the lease and of the plan; must outlive the keeper.
    const StateChart* authorityChart = nullptr;
    const StateChart* backendChart = nullptr;
    std::uint64_t seed = 1;
  };

  // All must outlive the keeper.
  struct Parts
  {
    Executor* executor = nullptr;
    coord::LogClient* log = nullptr;
    const Dialect* dialect = nullptr;
    BackendPool* pool = nullptr;
    const BackendDirectory* directory = nullptr;
    const policy::FleetView* fleet = nullptr;
    // This relay's place among the live ones, 0 first; the first one becomes a
    // candidate at once, the others one after the other.
    std::function<std::size_t()> rank;
    // Whether requests were served yet.
    std::function<bool()> hadTraffic;
  };

  RoleKeeper(Options aOptions, Parts aParts);
  ~RoleKeeper() override;
  RoleKeeper(const RoleKeeper&) = delete;
  RoleKeeper& operator=(const RoleKeeper&) = delete;

  // Begins to plan; call it once.
  void Start();

  // Gives no further order.
  void Stop();

  // Takes over another plan.
  void SetPlan(const policy::StagePlanner::Options& aPlan);

private:
  class OrderCall;
  struct Candidacy;

  void OnAcquired(FencingNumber aFence) override;
  void OnLost() override;
  void OnHolderChanged(const coord::LeaseHolder& aHolder) override;

  void Tick();
  void BecomeCandidate();
  void GiveOrders(const std::vector<policy::RoleChange>& aChanges);
  void Give(const policy::RoleChange& aChange, FencingNumber aFence);
  void OnAnswer(const BackendId& aBackend, const std::string& aOutcome);

  Options mOptions;
  Parts mParts;
  policy::StagePlanner mPlanner;
  Log mLog{ "roles" };
  // Since when changes are wanted, and since when none are.
  std::optional<Instant> mWantedSince;
  Instant mIdleSince{};
  std::unique_ptr<Candidacy> mCandidacy;
  // Orders whose answers are awaited, and until when an engine gets no other.
  std::map<BackendId, std::unique_ptr<OrderCall>> mCalls;
  std::map<BackendId, Instant> mNotBefore;
  bool mStarted = false;
  Timer mTimer;
};

} // namespace firefly

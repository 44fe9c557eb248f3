#pragma once

// The service of the steward daemon. It is a candidate for the fleet's
// authority and, while it holds the authority, carries out changes of the
// fleet.

#include <memory>
#include <string>

#include "coord/authority_stream.h"
#include "coord/lease.h"
#include "coord/order_journal.h"
#include "servers/link/link_server.h"
#include "servers/log/log.h"
#include "servers/metrics/metrics.h"
#include "servers/platform/host_list_client.h"
#include "servers/steward/fleet_change_controller.h"
#include "servers/steward/lease_watchdog.h"
#include "servers/steward/role_planner.h"

namespace firefly {

class StewardService : private coord::LeaseObserver
{
public:
  struct Options
  {
    coord::AuthorityStream::Options stream;
    coord::Lease::Options lease;
    coord::OrderJournal::Options journal;
    FleetChangeController::Options changes;
    LinkServer::Options link;
    // The watchdog ends the process this long after the lease's own end, so
    // that a running process whose lease lapses has time to stop in order. Must
    // be shorter than the lease's margin.
    Duration watchdogSlack = std::chrono::milliseconds(250);
    Duration tickInterval = std::chrono::milliseconds(100);
    Duration planInterval = std::chrono::seconds(1); // of the role planner
    Duration hostListInterval = std::chrono::seconds(5);
    // The hosts from the settings, whose entries must acknowledge plans until
    // the platform's host list is known.
    std::set<HostId> hosts;
  };

  // The components that the service uses; all must outlive it.
  struct Dependencies
  {
    coord::LogClient& log;
    HostListClient& hostList;
    WeightStore& store;
    Watchdog& watchdog;
  };

  StewardService(AsioExecutor& aExecutor,
                 Options aOptions,
                 Dependencies aDependencies);
  ~StewardService() override;
  StewardService(const StewardService&) = delete;
  StewardService& operator=(const StewardService&) = delete;

  // Adds a backend server; its client must outlive the service.
  void Add(FleetChangeController::Target aTarget)
  {
    mChanges.Add(std::move(aTarget));
  }

  // Enables automatic changes of roles.
  void SetPlanner(std::unique_ptr<RolePlanner> aPlanner);

  // Opens the link port and becomes a candidate for the authority.
  tl::expected<void, LinkServerError> Start();

  // Releases the authority if this process holds it, then runs the callback.
  void Resign(std::function<void()> aCallback);

  // Adds the steward's metrics; the registry must not outlive the service.
  void AddMetrics(MetricRegistry& aRegistry);

  [[nodiscard]] FleetChangeController& Changes() { return mChanges; }
  [[nodiscard]] const coord::Lease& Authority() const { return mLease; }
  [[nodiscard]] const coord::AuthorityStream& Stream() const { return mStream; }

private:
  void OnAcquired(FencingNumber aFence) override;
  void OnLost() override;
  void OnHolderChanged(const coord::LeaseHolder& aHolder) override;

  void HandleLinkRequest(const std::string& aPath,
                         const std::string& aBody,
                         const LinkServer::Reply& aReply);
  void Tick();
  void PlanRoles();
  void FetchHostList();
  [[nodiscard]] bool ArmWatchdog();
  [[nodiscard]] bool MaySend(FencingNumber aFence);

  AsioExecutor& mExecutor;
  Options mOptions;
  Dependencies mDependencies;
  Log mLog{ "steward" };
  coord::AuthorityStream mStream;
  coord::Lease mLease;
  coord::OrderJournal mJournal;
  EntryReportRegistry mReports;
  FleetChangeController mChanges;
  std::unique_ptr<RolePlanner> mPlanner;
  Timer mTickTimer;
  Timer mPlanTimer;
  Timer mHostListTimer;
  coord::CallbackGuard mGuard;
  LinkServer mServer;
};

} // namespace firefly

#pragma once

// The steward daemon's task: a candidate for the fleet's authority that, while
// it holds it, carries changes of the fleet through.

#include <memory>
#include <string>

#include "coord/authority_stream.h"
#include "coord/lease.h"
#include "coord/order_journal.h"
#include "servers/link/link_server.h"
#include "servers/log/log.h"
#include "servers/metrics/metrics.h"
#include "servers/platform/host_list_client.h"
#include "servers/steward/fleet_changes.h"
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
    FleetChanges::Options changes;
    LinkServer::Options link;
    // The watchdog ends the process so long after the lease's own end, so
    // that a lease that lapses in a running process is stepped down from in
    // order. Less than the lease's margin.
    Duration watchdogSlack = std::chrono::milliseconds(250);
    Duration tickInterval = std::chrono::milliseconds(100);
    Duration planInterval = std::chrono::seconds(1); // for changes of roles
    Duration hostsInterval = std::chrono::seconds(5);
    std::set<HostId> hosts; // of the settings
  };

  // What the service works with; all must outlive it.
  struct Parts
  {
    coord::LogClient& log;
    HostListClient& hostList;
    WeightStore& store;
    Watchdog& watchdog;
  };

  StewardService(AsioExecutor& aExecutor, Options aOptions, Parts aParts);
  ~StewardService() override;
  StewardService(const StewardService&) = delete;
  StewardService& operator=(const StewardService&) = delete;

  // Adds a backend server; its link must outlive the service.
  void Add(FleetChanges::Target aTarget) { mChanges.Add(std::move(aTarget)); }

  // Changes roles by itself from now on.
  void SetPlanner(std::unique_ptr<RolePlanner> aPlanner);

  // Opens the port and becomes a candidate.
  tl::expected<void, LinkServerError> Start();

  // Gives the authority up, if this process holds it, then calls back.
  void Resign(std::function<void()> aCallback);

  // Adds the steward's metrics; the registry must not outlive the service.
  void AddMetrics(MetricRegistry& aRegistry);

  [[nodiscard]] FleetChanges& Changes() { return mChanges; }
  [[nodiscard]] const coord::Lease& Authority() const { return mLease; }
  [[nodiscard]] const coord::AuthorityStream& Stream() const { return mStream; }

private:
  void OnAcquired(FencingNumber aFence) override;
  void OnLost() override;
  void OnHolderChanged(const coord::LeaseHolder& aHolder) override;

  void Handle(const std::string& aPath,
              const std::string& aBody,
              const LinkServer::Reply& aReply);
  void Tick();
  void Plan();
  void FetchHosts();
  [[nodiscard]] bool Guard();
  [[nodiscard]] bool MaySend(FencingNumber aFence);

  AsioExecutor& mExecutor;
  Options mOptions;
  Parts mParts;
  Log mLines{ "steward" };
  coord::AuthorityStream mStream;
  coord::Lease mLease;
  coord::OrderJournal mJournal;
  EntryReports mReports;
  FleetChanges mChanges;
  std::unique_ptr<RolePlanner> mPlanner;
  Timer mTickTimer;
  Timer mPlanTimer;
  Timer mHostsTimer;
  coord::CallbackGuard mGuard;
  LinkServer mServer;
};

} // namespace firefly

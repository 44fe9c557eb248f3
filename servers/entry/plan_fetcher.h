#pragma once

// Fetches the authority's plan from the other entries while this entry has not
// read it from the log. Without it, an entry that is restarted while the log is
// unavailable would send work to backend servers that the plan has closed.

#include "servers/entry/plan_replica.h"
#include "servers/http/http_client.h"
#include "servers/settings/settings.h"

namespace firefly {

class PlanFetcher
{
public:
  // The name below /admin under which each entry serves its plan.
  static constexpr const char* kPlanName = "plan";

  struct Options
  {
    const Settings* settings = nullptr;
    Duration interval = std::chrono::milliseconds(500);
    Duration timeout = std::chrono::seconds(1);
    std::size_t maxPlanBytes = 4U << 20U;
  };

  // All arguments must outlive the fetcher.
  PlanFetcher(const Options& aOptions,
              Executor& aExecutor,
              HttpClient& aClient,
              PlanReplica& aReplica);

  // Waits one interval for the log, then asks all peers at each interval until
  // the plan was read from the log.
  void Start();

private:
  void FetchFromPeers();
  void FetchFrom(const HostSettings& aPeer);

  Options mOptions;
  Executor& mExecutor;
  HttpClient& mClient;
  PlanReplica& mReplica;
  Timer mTimer;
};

} // namespace firefly

#pragma once

// Asks the other entries for the authority's plan while this one has not read
// it: a successor that starts while the log is away must not send work to a
// backend server that was closed before.

#include "servers/entry/plan_replica.h"
#include "servers/http/http_client.h"
#include "servers/settings/settings.h"

namespace firefly {

class PlanFetcher
{
public:
  // The admin path under which each entry serves its plan.
  static constexpr const char* kPlanName = "plan";

  struct Options
  {
    const Settings* settings = nullptr;
    Duration interval = std::chrono::milliseconds(500);
    Duration timeout = std::chrono::seconds(1);
    std::size_t maxPlanBytes = 4U << 20U;
  };

  // All must outlive the borrower.
  PlanFetcher(const Options& aOptions,
              Executor& aExecutor,
              HttpClient& aClient,
              PlanReplica& aReplica);

  // Gives the log an interval, then asks all peers at each interval until the
  // log told the plan.
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

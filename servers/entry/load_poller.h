#pragma once

// Polls the engines' load reports, with at most one open call per engine.

#include <set>

#include "policy/request_router.h"
#include "servers/http/http_client.h"
#include "servers/settings/settings.h"

namespace firefly {

class LoadPoller
{
public:
  struct Options
  {
    const Settings* settings = nullptr;
    Duration interval = std::chrono::milliseconds(500);
  };

  // All arguments must outlive the poller.
  LoadPoller(const Options& aOptions,
             Executor& aExecutor,
             HttpClient& aClient,
             policy::RequestRouter& aRouter);

  // Starts polling. Call it once.
  void Start();

private:
  void RequestReport(const BackendSettings& aBackend);
  void HandleReport(const BackendId& aBackend, const std::string& aBody);

  Options mOptions;
  Executor& mExecutor;
  HttpClient& mClient;
  policy::RequestRouter& mRouter;
  std::set<BackendId> mPending; // engines that have not answered yet
  Timer mTimer;
};

} // namespace firefly

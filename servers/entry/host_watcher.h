#pragma once

// Reads the platform's list of hosts now and then. It lags, so it only adds:
// more peers to ask, and backend servers that are said to leave.

#include <functional>
#include <set>
#include <vector>

#include "core/executor.h"
#include "servers/platform/host_list_client.h"
#include "servers/settings/settings.h"

namespace firefly {

class HostWatcher
{
public:
  struct Handlers
  {
    std::function<void(std::set<BackendId>)> onLeaving;
    // Addresses of hosts that are no backend servers'.
    std::function<void(const std::vector<std::string>&)> onHostAddresses;
  };

  struct Options
  {
    const Settings* settings = nullptr;
    Duration interval = std::chrono::seconds(1);
  };

  // All must outlive the watcher.
  HostWatcher(const Options& aOptions,
              Executor& aExecutor,
              HostListClient& aClient,
              Handlers aHandlers);

  // Begins to read; call it once.
  void Start();

private:
  void HandleHostList(const std::vector<ListedHost>& aHosts);
  [[nodiscard]] std::vector<BackendId> BackendsOf(
    const ListedHost& aHost) const;

  Options mOptions;
  Executor& mExecutor;
  HostListClient& mClient;
  Handlers mHandlers;
  Timer mTimer;
};

} // namespace firefly

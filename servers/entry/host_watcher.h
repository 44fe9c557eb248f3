#pragma once

// Reads the platform's host list periodically. The list lags, so it is used
// only for additional membership seeds and to find backend servers that leave.
// While it cannot be read, the result of the last read stays in force.

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
    // Receives the addresses of hosts that have no backend server and do not
    // leave.
    std::function<void(const std::vector<std::string>&)> onHostAddresses;
  };

  struct Options
  {
    const Settings* settings = nullptr;
    Duration interval = std::chrono::seconds(1);
  };

  // All arguments must outlive the watcher.
  HostWatcher(const Options& aOptions,
              Executor& aExecutor,
              HostListClient& aClient,
              Handlers aHandlers);

  // Starts reading the list. Call it once.
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

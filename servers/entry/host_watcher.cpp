#include "servers/entry/host_watcher.h"

#include <utility>

namespace firefly {

namespace {

// Returns the host part of a URL, such as "10.0.0.1" for
// "http://10.0.0.1:8000".
std::string
AddressOf(const std::string& aUrl)
{
  const auto scheme = aUrl.find("://");
  const auto begin = scheme == std::string::npos ? 0 : scheme + 3;
  const auto end = aUrl.find_first_of(":/", begin);
  return aUrl.substr(begin, end == std::string::npos ? end : end - begin);
}

} // namespace

HostWatcher::HostWatcher(const Options& aOptions,
                         Executor& aExecutor,
                         HostListClient& aClient,
                         Handlers aHandlers)
  : mOptions(aOptions)
  , mExecutor(aExecutor)
  , mClient(aClient)
  , mHandlers(std::move(aHandlers))
{
}

void
HostWatcher::Start()
{
  mClient.Fetch(
    [this](const tl::expected<std::vector<ListedHost>, PlatformError>& aList) {
      if (aList) {
        HandleHostList(*aList);
      }
      mTimer = mExecutor.RunAfter(mOptions.interval, [this] { Start(); });
    });
}

// The list names a backend server by its own id or by its host's address.
std::vector<BackendId>
HostWatcher::BackendsOf(const ListedHost& aHost) const
{
  std::vector<BackendId> byAddress;
  for (const auto& it : mOptions.settings->backends) {
    if (it.id.Value() == aHost.id.Value()) {
      return { it.id };
    }
    if (AddressOf(it.url) == aHost.address) {
      byAddress.push_back(it.id);
    }
  }
  return byAddress;
}

void
HostWatcher::HandleHostList(const std::vector<ListedHost>& aHosts)
{
  std::set<BackendId> leaving;
  std::vector<std::string> otherAddresses;
  for (const auto& host : aHosts) {
    const auto backends = BackendsOf(host);
    if (backends.empty() && !host.leaving) {
      otherAddresses.push_back(host.address);
    }
    if (host.leaving) {
      leaving.insert(backends.begin(), backends.end());
    }
  }
  mHandlers.onLeaving(std::move(leaving));
  mHandlers.onHostAddresses(otherAddresses);
}

} // namespace firefly

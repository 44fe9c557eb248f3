#pragma once

// The client of the platform's list of hosts. The list is updated with a delay,
// so it may lack new hosts and still contain hosts that are gone.

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "core/ids.h"
#include "servers/http/http_client.h"

namespace firefly {

enum class PlatformErrorKind
{
  kUnavailable, // no response, or the platform refused the call
  kLimited,     // over the platform's rate limit; retry after retryAfter
  kMalformed,   // the response cannot be decoded
};

// Why a call to the platform failed.
struct PlatformError
{
  PlatformErrorKind kind = PlatformErrorKind::kUnavailable;
  std::string message;
  Duration retryAfter = Duration::zero(); // minimum delay before a retry
};

// One entry of the host list.
struct ListedHost
{
  HostId id;
  std::string address;
  DomainId domain;
  bool leaving = false;
};

// Fetches the host list.
class HostListClient
{
public:
  using Callback =
    std::function<void(tl::expected<std::vector<ListedHost>, PlatformError>)>;

  struct Options
  {
    std::string url; // such as "http://10.0.0.1:9000/hosts"
    Duration requestTimeout = std::chrono::seconds(5);
  };

  // The HTTP client must outlive this object.
  HostListClient(HttpClient& aClient, Options aOptions);

  // Fetches the platform's current list. The callback is dropped if this object
  // is destroyed first.
  void Fetch(Callback aCallback);

private:
  HttpClient& mClient;
  Options mOptions;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace firefly

#pragma once

// The platform's list of hosts, which lags behind the truth.

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
  kUnavailable, // no answer, or the platform refuses
  kLimited,     // the platform's rate limit; try again later
  kMalformed,   // the answer can't be read
};

// Why a call to the platform failed.
struct PlatformError
{
  PlatformErrorKind kind = PlatformErrorKind::kUnavailable;
  std::string message;
  Duration retryAfter = Duration::zero(); // for kLimited
};

// One host of the list.
struct ListedHost
{
  HostId id;
  std::string address;
  DomainId domain;
  bool leaving = false;
};

// Reads the list.
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

  // The client must outlive this one.
  HostListClient(HttpClient& aClient, Options aOptions);

  // The list as the platform knows it now.
  void Fetch(Callback aCallback);

private:
  HttpClient& mClient;
  Options mOptions;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace firefly

#include "servers/platform/platform_options.h"

namespace firefly {

HttpLogClient::Options
LogOptionsOf(const PlatformSettings& aSettings)
{
  return { .url = aSettings.logUrl,
           .streamPrefix = aSettings.logPrefix + "-",
           .requestTimeout = aSettings.requestTimeout };
}

HostListClient::Options
HostListOptionsOf(const PlatformSettings& aSettings)
{
  return { .url = aSettings.hostsUrl,
           .requestTimeout = aSettings.requestTimeout };
}

WeightStoreClient::Options
WeightStoreOptionsOf(const PlatformSettings& aSettings)
{
  return { .url = aSettings.storeUrl,
           .requestTimeout = aSettings.requestTimeout };
}

} // namespace firefly

#pragma once

// Creates the options of the platform clients from the settings, for all
// programs.

#include "servers/platform/host_list_client.h"
#include "servers/platform/http_log_client.h"
#include "servers/platform/weight_store_client.h"
#include "servers/settings/settings.h"

namespace firefly {

HttpLogClient::Options
LogOptionsOf(const PlatformSettings& aSettings);
HostListClient::Options
HostListOptionsOf(const PlatformSettings& aSettings);
WeightStoreClient::Options
WeightStoreOptionsOf(const PlatformSettings& aSettings);

} // namespace firefly

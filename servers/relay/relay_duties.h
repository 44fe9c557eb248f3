#pragma once

// The duties of a relay: the lease, and the usage reports with the messages
// that they need.

#include "servers/duties/usage_reporter.h"
#include "servers/relay/peer_group.h"
#include "servers/relay/peer_update_channel.h"
#include "servers/relay/relay_metrics.h"
#include "servers/relay/relay_settings.h"

namespace firefly {

class RelayDuties
{
public:
  struct Options
  {
    HostId host;
    Incarnation incarnation;
    DutySettings settings;
    // State charts of the lease and of the backend servers; must outlive this
    // object.
    const StateChart* authorityChart = nullptr;
    const StateChart* backendChart = nullptr;
    std::uint64_t seed = 1;
  };

  // All of these must outlive this object.
  struct Parts
  {
    Executor* executor = nullptr;
    coord::LogClient* log = nullptr;
    DutyClient* client = nullptr;
    const PeerGroup* peers = nullptr;
    PeerUpdateChannel* peerUpdates = nullptr;
    RelayMetrics* metrics = nullptr;
  };

  RelayDuties(const Options& aOptions, const Parts& aParts);

  void Start();
  void Stop();

  // The log was restored from a copy.
  void OnLogRestored();

  [[nodiscard]] UsageReporter& Usage() { return mUsage; }

  void SetGauges();

private:
  UsageReporter::Parts UsageParts();

  Parts mParts;
  DutyHolder mHolder;
  UsageReporter mUsage;
};

} // namespace firefly

#include "servers/relay/relay_duties.h"

namespace firefly {

RelayDuties::RelayDuties(const Options& aOptions, const Parts& aParts)
  : mParts(aParts)
  , mHolder({ .host = aOptions.host,
              .incarnation = aOptions.incarnation,
              .lease = aOptions.settings.lease,
              .authorityChart = aOptions.authorityChart,
              .backendChart = aOptions.backendChart,
              .seed = aOptions.seed },
            { .executor = aParts.executor,
              .log = aParts.log,
              .rank = [this] { return mParts.peers->Rank(); } })
  , mUsage({ .host = aOptions.host,
             .incarnation = aOptions.incarnation,
             .windowLength = aOptions.settings.usageWindow,
             .maxCallsPerSecond = aOptions.settings.maxCallsPerSecond,
             .seed = aOptions.seed + 1 },
           UsageParts())
{
}

UsageReporter::Parts
RelayDuties::UsageParts()
{
  return { .executor = mParts.executor,
           .log = mParts.log,
           .client = mParts.client,
           .holder = &mHolder,
           .liveHosts = [this] { return mParts.peers->LiveHosts(); },
           .sendUsage =
             [this](const policy::HostUsage& aUsage,
                    const std::vector<HostId>& aReceivers) {
               mParts.peerUpdates->Send(
                 aUsage, { .direct = mParts.peers->AddressesOf(aReceivers) });
             },
           .sendTime =
             [this](const TimeMessage& aMessage,
                    const std::vector<HostId>& aReceivers) {
               mParts.peerUpdates->Send(
                 aMessage, { .direct = mParts.peers->AddressesOf(aReceivers) });
             },
           .onOutcome =
             [this](DutyOutcome aOutcome) {
               mParts.metrics->dutyCalls
                 .With({ "usage", std::string(ToString(aOutcome)) })
                 .Add();
             } };
}

void
RelayDuties::Start()
{
  mHolder.Start();
  mUsage.Start();
}

void
RelayDuties::Stop()
{
  mUsage.Stop();
  mHolder.Stop();
}

void
RelayDuties::OnLogRestored()
{
  mUsage.OnLogRestored();
  mHolder.OnLogRestored();
}

void
RelayDuties::SetGauges()
{
  auto& metrics = *mParts.metrics;
  const auto& sender = mUsage.Sender();
  const auto token = mHolder.Held().value_or(DutyToken(0));
  metrics.dutyToken.With({}).Set(static_cast<double>(token.Value()));
  metrics.usageUnanswered.With({}).Set(
    static_cast<double>(sender.Unanswered()));
  if (const auto& last = sender.LastAnswered()) {
    metrics.usageWindow.With({}).Set(static_cast<double>(last->window.Value()));
    metrics.usageAge.With({}).Set(
      ToSeconds(mParts.executor->Now() - last->when));
  }
}

} // namespace firefly

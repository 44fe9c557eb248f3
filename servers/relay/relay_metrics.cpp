#include "servers/relay/relay_metrics.h"

namespace firefly {

RelayMetrics::RelayMetrics(MetricRegistry& aRegistry)
  : requests(aRegistry.Counters({ .name = "firefly_relay_requests_total",
                                  .help = "Ended requests",
                                  .labelNames = { "service", "outcome" } }))
  , refusals(aRegistry.Counters({ .name = "firefly_relay_refusals_total",
                                  .help = "Requests refused and not run",
                                  .labelNames = { "service", "reason" } }))
  , attempts(aRegistry.Counters({ .name = "firefly_relay_attempts_total",
                                  .help = "Sends to backend servers",
                                  .labelNames = { "service", "outcome" } }))
  , crashedAttempts(aRegistry.Counters(
      { .name = "firefly_relay_crashed_attempts_total",
        .help = "Attempts that ran on a backend server when it crashed",
        .labelNames = { "service", "has_output" } }))
  , rejectedInput(
      aRegistry.Counters({ .name = "firefly_relay_rejected_input_total",
                           .help = "Bytes that are no request",
                           .labelNames = { "status" } }))
  , firstAnswer(
      aRegistry.Histograms({ .name = "firefly_relay_first_answer_seconds",
                             .help = "From arrival to the first event "
                                     "or the whole plain answer",
                             .labelNames = { "service" },
                             .bounds = FirstTokenBounds() }))
  , requestSeconds(
      aRegistry.Summaries({ .name = "firefly_relay_request_seconds",
                            .help = "From arrival to the end",
                            .labelNames = { "service" } }))
  , live(aRegistry.Gauges({ .name = "firefly_relay_live_requests",
                            .help = "Requests that have not ended" }))
  , queued(aRegistry.Gauges({ .name = "firefly_relay_queued_requests",
                              .help = "Requests that wait for room" }))
  , heldSuspicions(aRegistry.Gauges(
      { .name = "firefly_relay_held_crash_suspicions",
        .help = "Crash suspicions for which requests are held back" }))
  , connections(
      aRegistry.Gauges({ .name = "firefly_relay_connections",
                         .help = "Connections to callers and backend servers",
                         .labelNames = { "side" } }))
  , backends(aRegistry.Gauges({ .name = "firefly_relay_backends",
                                .help = "Backend servers that are known" }))
  , routingVersion(aRegistry.Gauges({ .name = "firefly_relay_routing_version",
                                      .help = "Routing table in force" }))
  , feedAge(aRegistry.Gauges({ .name = "firefly_relay_feed_age_seconds",
                               .help = "Since the log last answered",
                               .labelNames = { "feed" } }))
  , confirmationAge(aRegistry.Gauges(
      { .name = "firefly_relay_confirmation_age_seconds",
        .help = "Since this relay is known to have had the newest records",
        .labelNames = { "feed" } }))
  , ready(aRegistry.Gauges(
      { .name = "firefly_relay_ready", .help = "Whether it takes requests" }))
{
}

} // namespace firefly

#include "servers/relay/relay_metrics.h"

namespace firefly {

namespace {

// Customers with a series of their own. The others share one; a busy customer
// is rarely among them, since series go to the customers that are seen first.
constexpr std::size_t kMaxCustomerSeries = 128;

} // namespace

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
  , callerRejections(aRegistry.Counters(
      { .name = "firefly_relay_caller_rejections_total",
        .help = "Requests and connections of callers that were rejected",
        .labelNames = { "cause" } }))
  , accessDecisions(aRegistry.Counters(
      { .name = "firefly_relay_access_decisions_total",
        .help = "Requests by access decision, if the table has customers",
        .labelNames = { "decision" } }))
  , customerRequests(
      aRegistry.Counters({ .name = "firefly_relay_customer_requests_total",
                           .help = "Admitted requests of known customers",
                           .labelNames = { "customer" },
                           .maxSeries = kMaxCustomerSeries }))
  , doubtfulRefusals(
      aRegistry.Counters({ .name = "firefly_relay_doubtful_refusals_total",
                           .help = "Requests that a routing table refuses of "
                                   "which it isn't known that it is in force",
                           .labelNames = { "decision" } }))
  , streamResumptions(aRegistry.Counters(
      { .name = "firefly_relay_stream_resumptions_total",
        .help = "Requests that resume a stream, by how the version that began "
                "it is known",
        .labelNames = { "service", "origin" } }))
  , recordedStreams(
      aRegistry.Gauges({ .name = "firefly_relay_recorded_streams",
                         .help = "Streams whose version is recorded" }))
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
  , rateLimitedBackends(aRegistry.Gauges(
      { .name = "firefly_relay_rate_limited_backends",
        .help = "Backend servers that limit the rate of requests" }))
  , limitWaits(aRegistry.Counters(
      { .name = "firefly_relay_limit_waits_total",
        .help = "Attempts that waited for a backend server's rate limit",
        .labelNames = { "service" } }))
  , sentAttempts(
      aRegistry.Counters({ .name = "firefly_relay_sent_attempts_total",
                           .help = "Attempts sent to backend servers, by cause",
                           .labelNames = { "service", "cause" } }))
  , connections(
      aRegistry.Gauges({ .name = "firefly_relay_connections",
                         .help = "Connections to callers and backend servers",
                         .labelNames = { "side" } }))
  , connectionLimit(
      aRegistry.Gauges({ .name = "firefly_relay_caller_connection_limit",
                         .help = "Maximum number of callers' connections" }))
  , callerMemory(aRegistry.Gauges({ .name = "firefly_relay_caller_memory_bytes",
                                    .help = "Memory held for callers",
                                    .labelNames = { "use" } }))
  , callerMemoryLimit(
      aRegistry.Gauges({ .name = "firefly_relay_caller_memory_limit_bytes",
                         .help = "Maximum memory held for callers" }))
  , backends(aRegistry.Gauges({ .name = "firefly_relay_backends",
                                .help = "Backend servers that are known" }))
  , routingVersion(aRegistry.Gauges({ .name = "firefly_relay_routing_version",
                                      .help = "Routing table in force" }))
  , customers(
      aRegistry.Gauges({ .name = "firefly_relay_customers",
                         .help = "Customers in the routing table in force" }))
  , customerKeys(aRegistry.Gauges(
      { .name = "firefly_relay_customer_keys",
        .help = "Keys of customers in the routing table in force" }))
  , feedAge(aRegistry.Gauges({ .name = "firefly_relay_feed_age_seconds",
                               .help = "Since the log last answered",
                               .labelNames = { "feed" } }))
  , confirmationAge(aRegistry.Gauges(
      { .name = "firefly_relay_confirmation_age_seconds",
        .help = "Since this relay is known to have had the newest records",
        .labelNames = { "feed" } }))
  , feedCatchUps(aRegistry.Counters(
      { .name = "firefly_relay_feed_catch_ups_total",
        .help = "Reads whose answer ended before the end of the stream",
        .labelNames = { "feed" } }))
  , logRestores(aRegistry.Counters(
      { .name = "firefly_relay_log_restores_total",
        .help = "Times that a feed found the log restored from a copy",
        .labelNames = { "feed" } }))
  , tableDecodeSeconds(
      aRegistry.Summaries({ .name = "firefly_relay_table_decode_seconds",
                            .help = "Time to decode a routing table's record",
                            .labelNames = { "source" } }))
  , tableBehind(aRegistry.Gauges(
      { .name = "firefly_relay_table_behind_seconds",
        .help = "Since this relay learned of a newer routing table that it "
                "does not have yet" }))
  , tableUpdateSeconds(aRegistry.Summaries(
      { .name = "firefly_relay_table_update_seconds",
        .help = "From learning of a newer routing table to its use" }))
  , ready(aRegistry.Gauges(
      { .name = "firefly_relay_ready", .help = "Whether it takes requests" }))
  , dutyCalls(aRegistry.Counters({ .name = "firefly_relay_duty_calls_total",
                                   .help = "Calls to the platform's API",
                                   .labelNames = { "duty", "outcome" } }))
  , dutyToken(aRegistry.Gauges(
      { .name = "firefly_relay_duty_token",
        .help = "Fencing token of the duties, 0 if not held here" }))
  , usageWindow(
      aRegistry.Gauges({ .name = "firefly_relay_usage_window",
                         .help = "Last window reported by this relay" }))
  , usageAge(aRegistry.Gauges(
      { .name = "firefly_relay_usage_report_age_seconds",
        .help = "Since this relay's last report was answered" }))
  , usageUnanswered(aRegistry.Gauges(
      { .name = "firefly_relay_usage_unanswered_reports",
        .help = "Recorded reports that may not have arrived" }))
{
}

} // namespace firefly

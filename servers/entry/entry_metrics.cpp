#include "servers/entry/entry_metrics.h"

namespace firefly {

namespace {

const std::vector<std::string> kByType{ "service", "request_type" };
const std::vector<std::string> kByOutcome{ "service",
                                           "request_type",
                                           "outcome" };

} // namespace

EntryMetrics::EntryMetrics(MetricRegistry& aRegistry)
  : requests(aRegistry.Counters({ .name = "firefly_requests_total",
                                  .help = "Ended requests",
                                  .labelNames = kByOutcome }))
  , worth(aRegistry.Counters({ .name = "firefly_worth_total",
                               .help = "Worth of ended requests",
                               .labelNames = kByOutcome }))
  , refunds(aRegistry.Counters({ .name = "firefly_refunds_total",
                                 .help = "Refunds owed for late answers",
                                 .labelNames = kByType }))
  , firstToken(aRegistry.Histograms({ .name = "firefly_first_token_seconds",
                                      .help = "From arrival to first token",
                                      .labelNames = kByType,
                                      .bounds = FirstTokenBounds() }))
  , tokenGap(aRegistry.Histograms({ .name = "firefly_token_gap_seconds",
                                    .help = "Mean time between tokens",
                                    .labelNames = kByType,
                                    .bounds = TokenGapBounds() }))
  , requestSeconds(aRegistry.Summaries({ .name = "firefly_request_seconds",
                                         .help = "From arrival to the end",
                                         .labelNames = kByType }))
  , refusals(aRegistry.Counters(
      { .name = "firefly_refusals_total",
        .help = "Requests that were refused and not run",
        .labelNames = { "service", "request_type", "reason" } }))
  , retries(aRegistry.Counters({ .name = "firefly_retries_total",
                                 .help = "Attempts after a failed one",
                                 .labelNames = { "service" } }))
  , hedges(aRegistry.Counters({ .name = "firefly_hedges_total",
                                .help = "Second attempts beside the first",
                                .labelNames = { "service" } }))
  , resumes(aRegistry.Counters({ .name = "firefly_resumes_total",
                                 .help = "Answers continued elsewhere",
                                 .labelNames = { "service" } }))
  , droppedChunks(aRegistry.Counters({ .name = "firefly_dropped_pieces_total",
                                       .help = "Late or crossed pieces",
                                       .labelNames = { "reason" } }))
  , queueLength(aRegistry.Gauges({ .name = "firefly_queue_length",
                                   .help = "Requests that wait",
                                   .labelNames = kByType }))
  , running(aRegistry.Gauges({ .name = "firefly_running",
                               .help = "Requests that run",
                               .labelNames = kByType }))
  , backendOutstanding(
      aRegistry.Gauges({ .name = "firefly_backend_outstanding",
                         .help = "Own attempts at a backend server",
                         .labelNames = { "backend" } }))
  , backendWeight(aRegistry.Gauges({ .name = "firefly_backend_weight",
                                     .help = "Speed that it has shown",
                                     .labelNames = { "backend" } }))
  , members(aRegistry.Gauges({ .name = "firefly_members",
                               .help = "Entries by state",
                               .labelNames = { "state" } }))
  , tableVersion(aRegistry.Gauges(
      { .name = "firefly_table_version", .help = "The table in force here" }))
  , planVersion(aRegistry.Gauges(
      { .name = "firefly_plan_version", .help = "The plan known here" }))
  , ready(aRegistry.Gauges(
      { .name = "firefly_ready", .help = "Whether this entry takes requests" }))
  , quarantined(aRegistry.Gauges({ .name = "firefly_quarantined_requests",
                                   .help = "Fingerprints refused everywhere" }))
  , bookings(aRegistry.Counters({ .name = "firefly_bookings_total",
                                  .help = "Ended requests that must run once",
                                  .labelNames = kByOutcome }))
  , rejectedInput(aRegistry.Counters({ .name = "firefly_rejected_input_total",
                                       .help = "Requests with wrong input",
                                       .labelNames = { "status" } }))
  , wrongTransitions(
      aRegistry.Counters({ .name = "firefly_wrong_transitions_total",
                           .help = "Events that the state chart lacks",
                           .labelNames = { "chart" } }))
{
}

} // namespace firefly

#pragma once

// The entry's counters, gauges and histograms; docs/OPERATIONS.md lists them.

#include <string>

#include "servers/metrics/metrics.h"

namespace firefly {

struct EntryMetrics
{
  explicit EntryMetrics(MetricRegistry& aRegistry);

  MetricFamily<Counter>& requests;
  MetricFamily<Counter>& worth;
  MetricFamily<Counter>& refunds;
  MetricFamily<Histogram>& firstToken;
  MetricFamily<Histogram>& tokenGap;
  MetricFamily<Summary>& requestSeconds;
  MetricFamily<Counter>& refusals;
  MetricFamily<Counter>& retries;
  MetricFamily<Counter>& hedges;
  MetricFamily<Counter>& resumes;
  MetricFamily<Counter>& droppedChunks;
  MetricFamily<Gauge>& queueLength;
  MetricFamily<Gauge>& running;
  MetricFamily<Gauge>& backendOutstanding;
  MetricFamily<Gauge>& backendWeight;
  MetricFamily<Gauge>& members;
  MetricFamily<Gauge>& tableVersion;
  MetricFamily<Gauge>& planVersion;
  MetricFamily<Gauge>& ready;
  MetricFamily<Gauge>& quarantined;
  MetricFamily<Counter>& bookings;
  MetricFamily<Counter>& rejectedInput;    // before dispatch, by status
  MetricFamily<Counter>& wrongTransitions; // events without a transition
};

} // namespace firefly

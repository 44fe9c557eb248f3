#pragma once

// The metrics of a relay; docs/OPERATIONS.md describes them.

#include "servers/metrics/metrics.h"

namespace firefly {

struct RelayMetrics
{
  explicit RelayMetrics(MetricRegistry& aRegistry);

  MetricFamily<Counter>& requests;
  MetricFamily<Counter>& refusals;
  MetricFamily<Counter>& attempts;
  MetricFamily<Counter>& crashedAttempts;
  MetricFamily<Counter>& rejectedInput;
  MetricFamily<Counter>& callerRejections;
  MetricFamily<Counter>& accessDecisions;
  MetricFamily<Counter>& customerRequests;
  MetricFamily<Counter>& doubtfulRefusals;
  MetricFamily<Counter>& streamResumptions;
  MetricFamily<Gauge>& recordedStreams;
  MetricFamily<Histogram>& firstAnswer;
  MetricFamily<Summary>& requestSeconds;
  MetricFamily<Gauge>& live;
  MetricFamily<Gauge>& queued;
  MetricFamily<Gauge>& heldSuspicions;
  MetricFamily<Gauge>& rateLimitedBackends;
  MetricFamily<Counter>& limitWaits;
  MetricFamily<Counter>& sentAttempts;
  MetricFamily<Gauge>& connections;
  MetricFamily<Gauge>& connectionLimit;
  MetricFamily<Gauge>& callerMemory;
  MetricFamily<Gauge>& callerMemoryLimit;
  MetricFamily<Gauge>& backends;
  MetricFamily<Gauge>& routingVersion;
  MetricFamily<Gauge>& customers;
  MetricFamily<Gauge>& customerKeys;
  MetricFamily<Gauge>& feedAge;
  MetricFamily<Gauge>& confirmationAge;
  MetricFamily<Counter>& feedCatchUps;
  MetricFamily<Counter>& logRestores;
  MetricFamily<Summary>& tableDecodeSeconds;
  MetricFamily<Gauge>& tableBehind;
  MetricFamily<Summary>& tableUpdateSeconds;
  MetricFamily<Gauge>& ready;
  MetricFamily<Counter>& dutyCalls;
  MetricFamily<Gauge>& dutyToken;
  MetricFamily<Gauge>& usageWindow;
  MetricFamily<Gauge>& usageAge;
  MetricFamily<Gauge>& usageUnanswered;
};

} // namespace firefly

#include "servers/burn/burn_sample.h"

#include <charconv>
#include <limits>

namespace firefly {

namespace {

void
AddScaled(OutcomeAmounts& aSum, const OutcomeAmounts& aAmounts, double aFactor)
{
  aSum.inTime += aAmounts.inTime * aFactor;
  aSum.late += aAmounts.late * aFactor;
  aSum.refused += aAmounts.refused * aFactor;
  aSum.failed += aAmounts.failed * aFactor;
}

void
AddScaled(BucketCounts& aSum, const BucketCounts& aCounts, double aFactor)
{
  for (const auto& [bound, count] : aCounts) {
    aSum[bound] += count * aFactor;
  }
}

std::string
LabelOf(const MetricSample& aSample, const std::string& aName)
{
  for (const auto& it : aSample.labels) {
    if (it.name == aName) {
      return it.value;
    }
  }
  return "";
}

void
SetOutcome(OutcomeAmounts& aAmounts, const MetricSample& aSample)
{
  const std::string outcome = LabelOf(aSample, "outcome");
  if (outcome == "in_time") {
    aAmounts.inTime = aSample.value;
  } else if (outcome == "late") {
    aAmounts.late = aSample.value;
  } else if (outcome == "refused") {
    aAmounts.refused = aSample.value;
  } else if (outcome == "failed") {
    aAmounts.failed = aSample.value;
  }
}

void
SetBucket(BucketCounts& aCounts, const MetricSample& aSample)
{
  const std::string text = LabelOf(aSample, "le");
  if (text == "+Inf") {
    aCounts[std::numeric_limits<double>::infinity()] = aSample.value;
    return;
  }
  double bound = 0;
  const auto ec =
    std::from_chars(text.data(), text.data() + text.size(), bound).ec;
  if (ec == std::errc{}) {
    aCounts[bound] = aSample.value;
  }
}

void
SetCounter(BurnCounters& aCounters, const MetricSample& aSample)
{
  if (aSample.name == "firefly_requests_total") {
    SetOutcome(aCounters.requests, aSample);
  } else if (aSample.name == "firefly_worth_total") {
    SetOutcome(aCounters.worth, aSample);
  } else if (aSample.name == "firefly_refunds_total") {
    aCounters.refunds = aSample.value;
  } else if (aSample.name == "firefly_first_token_seconds_bucket") {
    SetBucket(aCounters.firstToken, aSample);
  } else if (aSample.name == "firefly_token_gap_seconds_bucket") {
    SetBucket(aCounters.tokenGap, aSample);
  }
}

bool
IsBurnMetric(const std::string& aName)
{
  return aName == "firefly_requests_total" || aName == "firefly_worth_total" ||
         aName == "firefly_refunds_total" ||
         aName == "firefly_first_token_seconds_bucket" ||
         aName == "firefly_token_gap_seconds_bucket";
}

} // namespace

void
AddScaled(BurnCounters& aSum, const BurnCounters& aAmounts, double aFactor)
{
  AddScaled(aSum.requests, aAmounts.requests, aFactor);
  AddScaled(aSum.worth, aAmounts.worth, aFactor);
  aSum.refunds += aAmounts.refunds * aFactor;
  AddScaled(aSum.firstToken, aAmounts.firstToken, aFactor);
  AddScaled(aSum.tokenGap, aAmounts.tokenGap, aFactor);
}

EntrySample
MakeEntrySample(std::string aUrl, const std::vector<MetricSample>& aSamples)
{
  EntrySample sample{ .url = std::move(aUrl), .error = "", .counters = {} };
  for (const auto& it : aSamples) {
    if (it.name == "process_start_time_seconds") {
      sample.startTime = it.value;
    } else if (IsBurnMetric(it.name)) {
      const BurnKey key{ ServiceId(LabelOf(it, "service")),
                         RequestType(LabelOf(it, "request_type")) };
      SetCounter(sample.counters[key], it);
    }
  }
  return sample;
}

} // namespace firefly

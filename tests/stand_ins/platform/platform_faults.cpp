#include "tests/stand_ins/platform/platform_faults.h"

#include <nlohmann/json.hpp>

namespace firefly::stand_ins {

namespace {

using nlohmann::json;

Duration
Millis(const json& aSwitches, const char* aKey, Duration aPresent)
{
  if (!aSwitches.contains(aKey)) {
    return aPresent;
  }
  return std::chrono::milliseconds(aSwitches[aKey].get<std::int64_t>());
}

} // namespace

bool
PlatformFaults::Apply(const std::string& aBody)
{
  try {
    const json switches = json::parse(aBody);
    mOutage = switches.value("outage", mOutage);
    mDelay = Millis(switches, "delay_ms", mDelay);
    mLoseNext = switches.value("lose_next", mLoseNext);
    mLoseProbability = switches.value("lose_probability", mLoseProbability);
    mLoseStream = switches.value("lose_stream", mLoseStream);
    if (switches.contains("lose_seed")) {
      mRandom = Random(switches["lose_seed"].get<std::uint64_t>());
    }
    mRefuseNext = switches.value("refuse_next", mRefuseNext);
    mRetention.maxRecords =
      switches.value("retention_records", mRetention.maxRecords);
    mRetention.maxAge = Millis(switches, "retention_ms", mRetention.maxAge);
    mLoadsPerSecond = switches.value("loads_per_second", mLoadsPerSecond);
    mHostsLag = Millis(switches, "hosts_lag_ms", mHostsLag);
    return true;
  } catch (const json::exception&) {
    return false;
  }
}

bool
PlatformFaults::ShouldRefuse()
{
  if (mOutage) {
    return true;
  }
  if (mRefuseNext == 0) {
    return false;
  }
  --mRefuseNext;
  return true;
}

bool
PlatformFaults::ShouldLoseAnswer(const std::string& aStream)
{
  if (!aStream.starts_with(mLoseStream)) {
    return false;
  }
  if (mLoseNext > 0) {
    --mLoseNext;
    return true;
  }
  return mLoseProbability > 0 && mRandom.Chance(mLoseProbability);
}

} // namespace firefly::stand_ins

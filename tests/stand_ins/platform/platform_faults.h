#pragma once

// The fault switches of the platform's stand-in. POST /control sets them from a
// JSON object; an absent key leaves its switch unchanged:
//
//   outage              bool: the log and the weight store answer 503
//   delay_ms            delay of each call to the log
//   lose_next           the next N appends take effect without an answer
//   lose_probability    probability that the answer to an append is lost
//   lose_seed           seed of the random generator for lose_probability
//   lose_stream         answers are lost only for streams with this prefix
//   refuse_next         the next N calls to the log are answered 503
//   retention_records   maximum records of each stream; 0 keeps all
//   retention_ms        maximum age of records; 0 keeps all
//   loads_per_second    rate limit of the weight store; 0 is unlimited
//   hosts_lag_ms        age of the host list that is returned

#include <cstdint>
#include <string>

#include "core/random.h"
#include "tests/stand_ins/platform/platform_log.h"

namespace firefly::stand_ins {

class PlatformFaults
{
public:
  // Sets the switches from a JSON object. Returns false if it is malformed;
  // some switches may have been set then.
  bool Apply(const std::string& aBody);

  // Whether to refuse this call to the log. Counts the call for refuse_next.
  bool ShouldRefuse();

  // Whether to drop the answer to this append. Counts the append for lose_next.
  bool ShouldLoseAnswer(const std::string& aStream);

  [[nodiscard]] bool Outage() const { return mOutage; }
  [[nodiscard]] Duration Delay() const { return mDelay; }
  [[nodiscard]] Duration HostsLag() const { return mHostsLag; }
  [[nodiscard]] double LoadsPerSecond() const { return mLoadsPerSecond; }
  [[nodiscard]] const Retention& GetRetention() const { return mRetention; }

private:
  bool mOutage = false;
  Duration mDelay{};
  std::uint64_t mLoseNext = 0;
  double mLoseProbability = 0;
  std::string mLoseStream;
  Random mRandom{ 1 };
  std::uint64_t mRefuseNext = 0;
  Retention mRetention;
  double mLoadsPerSecond = 0;
  Duration mHostsLag{};
};

} // namespace firefly::stand_ins

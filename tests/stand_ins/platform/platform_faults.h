#pragma once

// The switches of the platform's stand-in, as POST /control sets them. Keys
// that are absent leave their switch as it is:
//
//   outage              bool: the log and the weight store refuse with 503
//   delay_ms            each answer of the log waits so long
//   lose_next           the next N appends take effect, their answers are lost
//   lose_probability    of losing an append's answer, with lose_seed
//   lose_stream         loses answers of streams that begin so only
//   refuse_next         the next N calls to the log are refused
//   retention_records   of each stream; 0 keeps all
//   retention_ms        age; 0 keeps all
//   loads_per_second    of the weight store; 0 does not limit
//   hosts_lag_ms        of the host list

#include <cstdint>
#include <string>

#include "core/random.h"
#include "tests/stand_ins/platform/platform_log.h"

namespace firefly::stand_ins {

class PlatformFaults
{
public:
  // Takes the switches of a JSON object; false if it is malformed.
  bool Apply(const std::string& aBody);

  // Whether this call to the log is to be refused.
  bool Refuse();

  // Whether the answer to this append is to be lost.
  bool Lose(const std::string& aStream);

  [[nodiscard]] bool Outage() const { return mOutage; }
  [[nodiscard]] Duration Delay() const { return mDelay; }
  [[nodiscard]] Duration HostsLag() const { return mHostsLag; }
  [[nodiscard]] double LoadsPerSecond() const { return mLoadsPerSecond; }
  [[nodiscard]] const Retention& Kept() const { return mRetention; }

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

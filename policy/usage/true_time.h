#pragma once

// Estimates the true time of day. The wall clock is read once, at the start;
// the monotonic clock is used from then on, so that a wall clock that is set
// has no effect. If the estimate differs from the median of the other hosts'
// estimates, it is corrected.

#include <map>
#include <optional>

#include "core/clock.h"
#include "core/ids.h"

namespace firefly::policy {

class TrueTime
{
public:
  TrueTime(WallTime aWallNow, Instant aNow);

  [[nodiscard]] WallTime At(Instant aNow) const;

  // Processes another host's estimate, received at aNow.
  void AddSample(const HostId& aHost, WallTime aTheirs, Instant aNow);

  // Discards the samples: this process was stopped, so messages that waited
  // for it state the time at which they arrived, not the present one.
  void OnPause(Instant aNow);

  // Corrects the estimate if it differs by over 0.5 s from the median of all
  // hosts', including this one. Returns the correction if there was one.
  std::optional<Duration> Correct(Instant aNow);

  // Whether the estimate has been compared with others since the start, or no
  // comparison was possible within 5 s.
  [[nodiscard]] bool IsSettled(Instant aNow) const;

private:
  struct Sample
  {
    Duration offset{}; // of the other host's estimate
    Instant received{};
  };

  // Of the true time from the monotonic time.
  Duration mOffset{};
  Instant mStart{};
  Instant mIgnoreUntil{};
  std::map<HostId, Sample> mSamples;
  bool mIsCompared = false;
};

} // namespace firefly::policy

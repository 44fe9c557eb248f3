#pragma once

// Estimates the true time of day. The wall clock is read once, at the start;
// the monotonic clock is used from then on, so that a wall clock that is set
// has no effect. If the estimate differs from the median of the hosts' clocks,
// it is corrected. Hosts tell each other the uncorrected time: if they told the
// corrected one, an error that a few hosts had in common for a moment would
// remain after the hosts with the right time are back.

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

  // The time of this host's clock, which the other hosts are told.
  [[nodiscard]] WallTime Uncorrected(Instant aNow) const;

  // Processes another host's uncorrected time, received at aNow.
  void AddSample(const HostId& aHost, WallTime aTheirs, Instant aNow);

  // Discards the samples: this process was stopped, so messages that waited
  // for it state the time at which they arrived, not the present one.
  void OnPause(Instant aNow);

  // Corrects the estimate if it differs by over 0.5 s from the median of the
  // uncorrected times of all hosts, including this one. Returns the change if
  // there was one.
  std::optional<Duration> Correct(Instant aNow);

  // Whether the estimate has been compared with others since the start, or no
  // comparison was possible within 5 s.
  [[nodiscard]] bool IsSettled(Instant aNow) const;

private:
  struct Sample
  {
    Duration offset{}; // of the other host's clock from this one's
    Instant received{};
  };

  // Of this host's clock from the monotonic time.
  Duration mOffset{};
  // Of the estimate from this host's clock.
  Duration mCorrection{};
  Instant mStart{};
  Instant mIgnoreUntil{};
  std::map<HostId, Sample> mSamples;
  bool mIsCompared = false;
};

} // namespace firefly::policy

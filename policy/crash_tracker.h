#pragma once

// Remembers which backend servers have just crashed: until its record says so,
// a crashed backend server looks open, and attempts that are sent to it fail as
// if it crashed again.

#include <vector>

#include "policy/fleet_view.h"

namespace firefly::policy {

class CrashTracker
{
public:
  struct Options
  {
    // After this time, a backend server is assumed to have been restarted or
    // removed from the fleet view.
    Duration memory = std::chrono::seconds(5);
  };

  CrashTracker() = default;
  explicit CrashTracker(Options aOptions);

  // The backend server crashed, or the connection to it broke, while an attempt
  // ran that was sent at aSentAt. Returns whether this is a crash that was not
  // known: the attempt was sent before it, or the backend server has been alive
  // since the last one.
  bool OnCrash(BackendSlot aSlot, Instant aSentAt, Instant aNow);

  // The backend server has answered an attempt that was sent at aSentAt.
  void OnSignOfLife(BackendSlot aSlot, Instant aSentAt);

  // Whether it crashed within the memory and has not been alive since.
  [[nodiscard]] bool HasCrashed(BackendSlot aSlot, Instant aNow) const;

private:
  Options mOptions;
  // The last crash of each backend server; the epoch if there is none.
  std::vector<Instant> mCrashedAt;
};

} // namespace firefly::policy

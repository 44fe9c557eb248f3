#include "policy/crash_tracker.h"

namespace firefly::policy {

CrashTracker::CrashTracker(Options aOptions)
  : mOptions(aOptions)
{
}

bool
CrashTracker::OnCrash(BackendSlot aSlot, Instant aSentAt, Instant aNow)
{
  if (HasCrashed(aSlot, aNow) && aSentAt >= mCrashedAt[aSlot.Value()]) {
    return false;
  }
  if (mCrashedAt.size() <= aSlot.Value()) {
    mCrashedAt.resize(aSlot.Value() + 1);
  }
  mCrashedAt[aSlot.Value()] = aNow;
  return true;
}

void
CrashTracker::OnSignOfLife(BackendSlot aSlot, Instant aSentAt)
{
  if (aSlot.Value() < mCrashedAt.size() &&
      aSentAt >= mCrashedAt[aSlot.Value()]) {
    mCrashedAt[aSlot.Value()] = {};
  }
}

bool
CrashTracker::HasCrashed(BackendSlot aSlot, Instant aNow) const
{
  if (aSlot.Value() >= mCrashedAt.size()) {
    return false;
  }
  const auto at = mCrashedAt[aSlot.Value()];
  return at != Instant{} && aNow - at < mOptions.memory;
}

} // namespace firefly::policy

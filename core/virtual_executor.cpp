#include "core/virtual_executor.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace firefly {

namespace {

// The wall-clock time at the zero of the virtual clock.
constexpr WallTime kVirtualEpoch{ std::chrono::hours(24 * 365 * 50) };

} // namespace

bool
VirtualExecutor::IsDueLater::operator()(const ScheduledCallback& aLeft,
                                        const ScheduledCallback& aRight) const
{
  return std::tie(aLeft.due, aLeft.sequence) >
         std::tie(aRight.due, aRight.sequence);
}

WallTime
VirtualExecutor::WallNow() const
{
  return kVirtualEpoch + std::chrono::duration_cast<std::chrono::milliseconds>(
                           mNow.time_since_epoch());
}

void
VirtualExecutor::Post(std::function<void()> aCallback)
{
  Schedule(Duration::zero(), std::move(aCallback));
}

bool
VirtualExecutor::RunOne()
{
  if (mCallbacks.empty()) {
    return false;
  }
  auto next = mCallbacks.top();
  mCallbacks.pop();
  mNow = std::max(mNow, next.due);
  next.callback();
  return true;
}

void
VirtualExecutor::RunUntil(Instant aEnd)
{
  while (!mCallbacks.empty() && mCallbacks.top().due <= aEnd) {
    RunOne();
  }
  mNow = std::max(mNow, aEnd);
}

void
VirtualExecutor::Schedule(Duration aDelay, std::function<void()> aCallback)
{
  mCallbacks.push({ .due = mNow + std::max(aDelay, Duration::zero()),
                    .sequence = mSequence++,
                    .callback = std::move(aCallback) });
}

} // namespace firefly

#include "core/virtual_executor.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace firefly {

namespace {

// The wall clock's reading when the virtual clock is at zero.
constexpr WallTime kVirtualEpoch{ std::chrono::hours(24 * 365 * 50) };

} // namespace

bool
VirtualExecutor::Later::operator()(const Event& aLeft,
                                   const Event& aRight) const
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
  if (mEvents.empty()) {
    return false;
  }
  auto event = mEvents.top();
  mEvents.pop();
  mNow = std::max(mNow, event.due);
  event.callback();
  return true;
}

void
VirtualExecutor::RunUntil(Instant aEnd)
{
  while (!mEvents.empty() && mEvents.top().due <= aEnd) {
    RunOne();
  }
  mNow = std::max(mNow, aEnd);
}

void
VirtualExecutor::Schedule(Duration aDelay, std::function<void()> aCallback)
{
  mEvents.push({ .due = mNow + std::max(aDelay, Duration::zero()),
                 .sequence = mSequence++,
                 .callback = std::move(aCallback) });
}

} // namespace firefly

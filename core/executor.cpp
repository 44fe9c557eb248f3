#include "core/executor.h"

#include <utility>

namespace firefly {

Timer::Timer(std::shared_ptr<bool> aPending)
  : mPending(std::move(aPending))
{
}

Timer&
Timer::operator=(Timer&& aOther) noexcept
{
  if (this != &aOther) {
    Cancel();
    mPending = std::move(aOther.mPending);
  }
  return *this;
}

Timer::~Timer()
{
  Cancel();
}

void
Timer::Cancel()
{
  if (mPending) {
    *mPending = false;
  }
  mPending.reset();
}

bool
Timer::IsPending() const
{
  return mPending && *mPending;
}

Timer
Executor::RunAfter(Duration aDelay, std::function<void()> aCallback)
{
  auto pending = std::make_shared<bool>(true);
  Schedule(aDelay, [pending, callback = std::move(aCallback)] {
    if (!*pending) {
      return;
    }
    *pending = false;
    callback();
  });
  return Timer(pending);
}

} // namespace firefly

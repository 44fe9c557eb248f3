#include "core/executor.h"

#include <utility>

namespace firefly {

Timer::Timer(std::shared_ptr<bool> aAlive)
  : mAlive(std::move(aAlive))
{
}

Timer&
Timer::operator=(Timer&& aOther) noexcept
{
  if (this != &aOther) {
    Cancel();
    mAlive = std::move(aOther.mAlive);
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
  if (mAlive) {
    *mAlive = false;
  }
  mAlive.reset();
}

bool
Timer::Pending() const
{
  return mAlive && *mAlive;
}

Timer
Executor::RunAfter(Duration aDelay, std::function<void()> aCallback)
{
  auto alive = std::make_shared<bool>(true);
  Schedule(aDelay, [alive, callback = std::move(aCallback)] {
    if (!*alive) {
      return;
    }
    *alive = false;
    callback();
  });
  return Timer(alive);
}

} // namespace firefly

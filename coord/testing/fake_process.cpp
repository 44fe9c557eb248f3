#include "coord/testing/fake_process.h"

#include <memory>
#include <utility>

namespace firefly::coord {

FakeProcess::FakeProcess(VirtualExecutor& aExecutor)
  : mExecutor(aExecutor)
{
}

FakeProcess::~FakeProcess()
{
  Kill();
}

void
FakeProcess::Post(std::function<void()> aCallback)
{
  Schedule(Duration::zero(), std::move(aCallback));
}

void
FakeProcess::Schedule(Duration aDelay, std::function<void()> aCallback)
{
  // Destroying the timer would cancel the call, so the callback owns the timer.
  auto timer = std::make_shared<Timer>();
  *timer = mExecutor.RunAfter(
    aDelay, [timer, state = mState, callback = std::move(aCallback)]() mutable {
      Run(state, std::move(callback));
    });
}

void
FakeProcess::Run(const std::shared_ptr<State>& aState,
                 std::function<void()> aCallback)
{
  if (aState->isDead) {
    return;
  }
  if (aState->isPaused) {
    aState->waiting.push_back(std::move(aCallback));
    return;
  }
  aCallback();
}

void
FakeProcess::Pause()
{
  mState->isPaused = true;
}

void
FakeProcess::Resume()
{
  mState->isPaused = false;
  auto waiting = std::exchange(mState->waiting, {});
  for (auto& it : waiting) {
    Schedule(Duration::zero(), std::move(it));
  }
}

void
FakeProcess::Kill()
{
  mState->isDead = true;
  mState->waiting.clear();
}

bool
FakeProcess::Running() const
{
  return !mState->isPaused && !mState->isDead;
}

} // namespace firefly::coord

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
  // The timer may not cancel the call, so the call keeps it.
  auto timer = std::make_shared<Timer>();
  *timer = mExecutor.RunAfter(
    aDelay, [timer, life = mLife, callback = std::move(aCallback)]() mutable {
      Run(life, std::move(callback));
    });
}

void
FakeProcess::Run(const std::shared_ptr<Life>& aLife,
                 std::function<void()> aCallback)
{
  if (aLife->dead) {
    return;
  }
  if (aLife->paused) {
    aLife->waiting.push_back(std::move(aCallback));
    return;
  }
  aCallback();
}

void
FakeProcess::Pause()
{
  mLife->paused = true;
}

void
FakeProcess::Resume()
{
  mLife->paused = false;
  auto waiting = std::exchange(mLife->waiting, {});
  for (auto& it : waiting) {
    Schedule(Duration::zero(), std::move(it));
  }
}

void
FakeProcess::Kill()
{
  mLife->dead = true;
  mLife->waiting.clear();
}

bool
FakeProcess::Running() const
{
  return !mLife->paused && !mLife->dead;
}

} // namespace firefly::coord

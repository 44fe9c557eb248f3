#pragma once

// A simulated process on the virtual clock that tests can pause and kill.

#include <deque>
#include <functional>
#include <memory>

#include "core/virtual_executor.h"

namespace firefly::coord {

// The executor of one process. While the process is paused, due callbacks are
// queued until it resumes; after Kill() no callback runs.
class FakeProcess : public Executor
{
public:
  explicit FakeProcess(VirtualExecutor& aExecutor);
  FakeProcess(const FakeProcess&) = delete;
  FakeProcess& operator=(const FakeProcess&) = delete;
  ~FakeProcess() override;

  [[nodiscard]] Instant Now() const override { return mExecutor.Now(); }
  [[nodiscard]] WallTime WallNow() const override
  {
    return mExecutor.WallNow();
  }
  void Post(std::function<void()> aCallback) override;

  void Pause();
  void Resume();
  void Kill();
  [[nodiscard]] bool Running() const;

protected:
  void Schedule(Duration aDelay, std::function<void()> aCallback) override;

private:
  struct State
  {
    bool isPaused = false;
    bool isDead = false;
    std::deque<std::function<void()>> waiting;
  };

  static void Run(const std::shared_ptr<State>& aState,
                  std::function<void()> aCallback);

  VirtualExecutor& mExecutor;
  std::shared_ptr<State> mState = std::make_shared<State>();
};

} // namespace firefly::coord

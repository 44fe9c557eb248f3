#pragma once

// A process for tests on the virtual clock: it may be paused and killed.

#include <deque>
#include <functional>
#include <memory>

#include "core/virtual_executor.h"

namespace firefly::coord {

// The executor of one process. While it is paused, callbacks that are due
// wait; after a kill none runs again.
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
  struct Life
  {
    bool paused = false;
    bool dead = false;
    std::deque<std::function<void()>> waiting;
  };

  static void Run(const std::shared_ptr<Life>& aLife,
                  std::function<void()> aCallback);

  VirtualExecutor& mExecutor;
  std::shared_ptr<Life> mLife = std::make_shared<Life>();
};

} // namespace firefly::coord

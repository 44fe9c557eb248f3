#pragma once

// The executor interface: time, timers and messages between tasks. Daemons run
// on an asio executor, tests and the bench on a virtual one.

#include <functional>
#include <memory>

#include "core/clock.h"

namespace firefly {

// Cancels its timer when destroyed, so that a task's timers end with the task.
class Timer
{
public:
  Timer() = default;
  explicit Timer(std::shared_ptr<bool> aAlive);
  Timer(Timer&&) noexcept = default;
  Timer& operator=(Timer&& aOther) noexcept;
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  ~Timer();

  // Stops the timer; a timer that has fired is left alone.
  void Cancel();

  // Whether the timer is set and has not fired.
  [[nodiscard]] bool Pending() const;

private:
  std::shared_ptr<bool> mAlive;
};

// Runs the callbacks of a single-threaded task one after the other.
class Executor
{
public:
  virtual ~Executor() = default;

  // The monotonic time now.
  [[nodiscard]] virtual Instant Now() const = 0;

  // The wall-clock time now; it may jump.
  [[nodiscard]] virtual WallTime WallNow() const = 0;

  // Runs the callback soon, never inside this call.
  virtual void Post(std::function<void()> aCallback) = 0;

  // Runs the callback once after the delay, unless the timer is destroyed.
  [[nodiscard]] Timer RunAfter(Duration aDelay,
                               std::function<void()> aCallback);

protected:
  // Runs the callback after the delay, whatever becomes of any timer.
  virtual void Schedule(Duration aDelay, std::function<void()> aCallback) = 0;
};

} // namespace firefly

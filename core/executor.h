#pragma once

// The executor interface, through which tasks read the time, set timers and
// post callbacks. Daemons run on an asio executor, tests and the bench on a
// virtual one.

#include <functional>
#include <memory>

#include "core/clock.h"

namespace firefly {

// Handle of a timer. Its destructor cancels the timer, so that no timer of a
// task fires after the task is destroyed.
class Timer
{
public:
  Timer() = default;
  // Shares the flag with the scheduled callback, which runs only while the flag
  // is true.
  explicit Timer(std::shared_ptr<bool> aPending);
  Timer(Timer&&) noexcept = default;
  Timer& operator=(Timer&& aOther) noexcept;
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  ~Timer();

  // Cancels the timer. Has no effect if it has fired already.
  void Cancel();

  // Whether the timer is set and has neither fired nor been cancelled.
  [[nodiscard]] bool IsPending() const;

private:
  std::shared_ptr<bool> mPending;
};

// Runs callbacks one at a time on a single thread.
class Executor
{
public:
  virtual ~Executor() = default;

  // The current monotonic time.
  [[nodiscard]] virtual Instant Now() const = 0;

  // The current wall-clock time. It jumps when the host's clock is adjusted.
  [[nodiscard]] virtual WallTime WallNow() const = 0;

  // Queues the callback to run as soon as possible, but after this call has
  // returned.
  virtual void Post(std::function<void()> aCallback) = 0;

  // Runs the callback once after the delay, unless the returned timer is
  // cancelled or destroyed first.
  [[nodiscard]] Timer RunAfter(Duration aDelay,
                               std::function<void()> aCallback);

protected:
  // Runs the callback after the delay. It can't be cancelled; RunAfter makes
  // the callback check its timer.
  virtual void Schedule(Duration aDelay, std::function<void()> aCallback) = 0;
};

} // namespace firefly

#pragma once

// Ends this process when its lease is over, whatever the process is doing. A
// process that is stopped until after the end of its lease is killed when it
// resumes, before it executes another instruction. It therefore cannot send an
// order that it had decided on earlier. This is guaranteed only for a process
// with a single thread.

#include <ctime>
#include <string>

#include <tl/expected.hpp>

#include "core/clock.h"

namespace firefly {

// Why the watchdog cannot be used in this process.
struct WatchdogError
{
  std::string message;
};

// A timer that ends the process; an interface so that tests can replace it.
class Watchdog
{
public:
  virtual ~Watchdog() = default;

  // Makes the process end at this time, in place of any time set before.
  // Returns false if the timer cannot be set.
  [[nodiscard]] virtual bool Arm(Instant aEnd) = 0;

  // Stops the timer, so that it does not end the process.
  virtual void Disarm() = 0;
};

// A kernel timer that raises SIGALRM, whose default action ends the process. It
// is set to an absolute time on CLOCK_BOOTTIME, the executor's clock. An
// absolute time leaves no gap between reading the clock and setting the timer,
// and this clock includes the time that the host is suspended.
class LeaseWatchdog : public Watchdog
{
public:
  LeaseWatchdog() = default;
  ~LeaseWatchdog() override;
  LeaseWatchdog(const LeaseWatchdog&) = delete;
  LeaseWatchdog& operator=(const LeaseWatchdog&) = delete;

  // Checks that the process has exactly one thread, restores the signal's
  // default action and creates the timer. Call it before Arm.
  tl::expected<void, WatchdogError> Prepare();

  [[nodiscard]] bool Arm(Instant aEnd) override;
  void Disarm() override;

private:
  [[nodiscard]] bool SetTimer(Duration aEnd);

  timer_t mTimer{};
  bool mPrepared = false;
};

} // namespace firefly

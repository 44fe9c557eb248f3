#pragma once

// Ends this process when its lease is over, whatever state it is in. A process
// that was stopped past the end of its lease and is resumed dies before its
// next instruction, so that it can't send an order that it had decided on.
// This holds for a process with a single thread only.

#include <ctime>
#include <string>

#include <tl/expected.hpp>

#include "core/clock.h"

namespace firefly {

// Why a watchdog can't be used here.
struct WatchdogError
{
  std::string message;
};

// The timer that ends the process, as an interface for tests.
class Watchdog
{
public:
  virtual ~Watchdog() = default;

  // From now on the process ends at that time, and not at the one set before.
  // False if the timer can't be set.
  [[nodiscard]] virtual bool Arm(Instant aEnd) = 0;

  // The process lives on.
  virtual void Disarm() = 0;
};

// A kernel timer at an absolute time of CLOCK_BOOTTIME, the executor's clock,
// whose signal has its default action. An absolute time leaves no gap between
// reading the clock and setting the timer; it also counts a host's suspension.
class LeaseWatchdog : public Watchdog
{
public:
  LeaseWatchdog() = default;
  ~LeaseWatchdog() override;
  LeaseWatchdog(const LeaseWatchdog&) = delete;
  LeaseWatchdog& operator=(const LeaseWatchdog&) = delete;

  // Checks that the process has exactly one thread, gives the signal its
  // default action, and makes the timer.
  tl::expected<void, WatchdogError> Prepare();

  [[nodiscard]] bool Arm(Instant aEnd) override;
  void Disarm() override;

private:
  [[nodiscard]] bool Set(Duration aEnd);

  timer_t mTimer{};
  bool mPrepared = false;
};

} // namespace firefly

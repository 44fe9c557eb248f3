#include "servers/steward/lease_watchdog.h"

#include <csignal>
#include <filesystem>
#include <tuple>

namespace firefly {

namespace {

std::size_t
CountThreads()
{
  std::error_code ec;
  std::size_t count = 0;
  for (auto it = std::filesystem::directory_iterator("/proc/self/task", ec);
       it != std::filesystem::directory_iterator();
       it.increment(ec)) {
    ++count;
  }
  return count;
}

// The parent process may have left the signal ignored or blocked.
bool
RestoreDefaultAction()
{
  struct sigaction action
  {};
  action.sa_handler = SIG_DFL;
  sigset_t alarm;
  sigemptyset(&alarm);
  sigaddset(&alarm, SIGALRM);
  return sigaction(SIGALRM, &action, nullptr) == 0 &&
         sigprocmask(SIG_UNBLOCK, &alarm, nullptr) == 0;
}

timespec
ToTimespec(Duration aTime)
{
  const auto seconds = std::chrono::floor<std::chrono::seconds>(aTime);
  timespec time{};
  time.tv_sec = seconds.count();
  time.tv_nsec = (aTime - seconds).count();
  return time;
}

} // namespace

LeaseWatchdog::~LeaseWatchdog()
{
  if (mPrepared) {
    timer_delete(mTimer);
  }
}

tl::expected<void, WatchdogError>
LeaseWatchdog::Prepare()
{
  if (CountThreads() != 1) {
    return tl::make_unexpected(
      WatchdogError{ .message = "the process must have exactly one thread" });
  }
  if (!RestoreDefaultAction()) {
    return tl::make_unexpected(WatchdogError{
      .message = "the default action of SIGALRM could not be restored" });
  }
  sigevent event{};
  event.sigev_notify = SIGEV_SIGNAL;
  event.sigev_signo = SIGALRM;
  if (timer_create(CLOCK_BOOTTIME, &event, &mTimer) != 0) {
    return tl::make_unexpected(
      WatchdogError{ .message = "timer_create on CLOCK_BOOTTIME failed" });
  }
  mPrepared = true;
  return {};
}

bool
LeaseWatchdog::Arm(Instant aEnd)
{
  // A time of zero would disarm the timer.
  return aEnd > Instant{} && SetTimer(aEnd.time_since_epoch());
}

void
LeaseWatchdog::Disarm()
{
  std::ignore = SetTimer(Duration::zero());
}

bool
LeaseWatchdog::SetTimer(Duration aEnd)
{
  itimerspec time{};
  time.it_value = ToTimespec(aEnd);
  return mPrepared && timer_settime(mTimer, TIMER_ABSTIME, &time, nullptr) == 0;
}

} // namespace firefly

#include "servers/relay/staleness_monitor.h"

#include <string>
#include <utility>

namespace firefly {

StalenessMonitor::StalenessMonitor(Options aOptions,
                                   Executor& aExecutor,
                                   ConfirmedAt aConfirmedAt)
  : mOptions(aOptions)
  , mExecutor(aExecutor)
  , mConfirmedAt(std::move(aConfirmedAt))
{
}

void
StalenessMonitor::Start()
{
  if (mOptions.bound) {
    mStartedAt = mExecutor.Now();
    Check();
  }
}

void
StalenessMonitor::Check()
{
  const auto now = mExecutor.Now();
  const auto age = now - mConfirmedAt().value_or(mStartedAt);
  const bool isExceeded = age > *mOptions.bound;
  if (isExceeded && !mIsExceeded) {
    mExceededAt = now;
    mLog.Warning("staleness bound exceeded",
                 { { "age_s", std::to_string(ToSeconds(age)) },
                   { "bound_s", std::to_string(ToSeconds(*mOptions.bound)) } });
  } else if (!isExceeded && mIsExceeded) {
    mLog.Info("staleness bound met again",
              { { "age_s", std::to_string(ToSeconds(age)) },
                { "after_s", std::to_string(ToSeconds(now - mExceededAt)) } });
  }
  mIsExceeded = isExceeded;
  mTimer = mExecutor.RunAfter(mOptions.checkInterval, [this] { Check(); });
}

} // namespace firefly

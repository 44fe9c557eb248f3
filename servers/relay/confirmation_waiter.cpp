#include "servers/relay/confirmation_waiter.h"

#include <utility>

namespace firefly {

ConfirmationWaiter::ConfirmationWaiter(Options aOptions, Parts aParts)
  : mOptions(aOptions)
  , mParts(std::move(aParts))
  , mRandom(aOptions.seed)
{
}

void
ConfirmationWaiter::Await(Instant aAsOf, std::function<void()> aDone)
{
  mEntries.push_back({ .asOf = aAsOf,
                       .dueAt = mParts.executor->Now() + mOptions.maxWait,
                       .done = std::move(aDone) });
  OnRead();
}

void
ConfirmationWaiter::OnRead()
{
  if (!mEntries.empty() && !mCheckTimer.IsPending()) {
    // Not at once: the reader of the log is in the middle of its own work.
    mCheckTimer =
      mParts.executor->RunAfter(Duration::zero(), [this] { Check(); });
  }
}

void
ConfirmationWaiter::Check()
{
  const auto now = mParts.executor->Now();
  const auto confirmedAt = mParts.confirmedAt();
  const bool isLost = mParts.isLost();
  while (!mEntries.empty()) {
    const auto& first = mEntries.front();
    const bool isConfirmed = confirmedAt && *confirmedAt >= first.asOf;
    if (!isConfirmed && !isLost && now < first.dueAt) {
      break;
    }
    const auto done = std::move(mEntries.front().done);
    mEntries.pop_front();
    done();
  }
  if (mEntries.empty()) {
    mReadTimer.Cancel();
    mDueTimer.Cancel();
    return;
  }
  if (!mReadTimer.IsPending()) {
    mReadTimer = mParts.executor->RunAfter(
      FromSeconds(ToSeconds(mOptions.maxReadDelay) * mRandom.Uniform()),
      mParts.read);
  }
  mDueTimer = mParts.executor->RunAfter(mEntries.front().dueAt - now,
                                        [this] { Check(); });
}

} // namespace firefly

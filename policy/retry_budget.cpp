#include "policy/retry_budget.h"

#include <algorithm>

namespace firefly::policy {

ProportionalRetryBudget::ProportionalRetryBudget(Options aOptions)
  : mOptions(aOptions)
{
}

void
ProportionalRetryBudget::OnFirstAttempt()
{
  mCredit =
    std::min(mOptions.maxCredit, mCredit + mOptions.retriesPerFirstAttempt);
}

bool
ProportionalRetryBudget::TrySpend()
{
  if (mCredit < 1) {
    return false;
  }
  mCredit -= 1;
  return true;
}

void
UnboundedRetryBudget::OnFirstAttempt()
{
}

bool
UnboundedRetryBudget::TrySpend()
{
  return true;
}

} // namespace firefly::policy

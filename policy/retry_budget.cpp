#include "policy/retry_budget.h"

#include <algorithm>

namespace firefly::policy {

ShareRetryBudget::ShareRetryBudget(Options aOptions)
  : mOptions(aOptions)
{
}

void
ShareRetryBudget::OnFirstAttempt()
{
  mCredit = std::min(mOptions.most, mCredit + mOptions.share);
}

bool
ShareRetryBudget::TrySpend()
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

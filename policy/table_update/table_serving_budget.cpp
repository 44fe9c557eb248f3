#include "policy/table_update/table_serving_budget.h"

#include <algorithm>

namespace firefly::policy {

TableServingBudget::TableServingBudget(Options aOptions)
  : mOptions(aOptions)
  , mAvailable(aOptions.burstBytes)
{
}

bool
TableServingBudget::TrySend(std::uint64_t aBytes, Instant aNow)
{
  const auto earned = ToSeconds(aNow - mUpdatedAt) * mOptions.bytesPerSecond;
  mAvailable = std::min(mOptions.burstBytes, mAvailable + earned);
  mUpdatedAt = aNow;
  const auto bytes = static_cast<double>(aBytes);
  if (mAvailable < std::min(bytes, mOptions.burstBytes)) {
    return false;
  }
  mAvailable -= bytes;
  return true;
}

} // namespace firefly::policy

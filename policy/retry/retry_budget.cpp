#include "policy/retry/retry_budget.h"

#include <algorithm>

namespace firefly::policy {

namespace {

// What a service's budget can always hold: with less, a host with few requests
// could never repeat one.
constexpr double kMinCredit = 1;

} // namespace

ProportionalRetryBudget::ProportionalRetryBudget(Options aOptions)
  : mOptions(aOptions)
{
}

void
ProportionalRetryBudget::OnFirstAttempt(const ServiceId& /*aService*/)
{
  mCredit =
    std::min(mOptions.maxCredit, mCredit + mOptions.retriesPerFirstAttempt);
}

bool
ProportionalRetryBudget::TrySpend(const ServiceId& /*aService*/)
{
  if (mCredit < 1) {
    return false;
  }
  mCredit -= 1;
  return true;
}

SharedRetryBudget::SharedRetryBudget(Options aOptions)
  : mOptions(aOptions)
{
}

double
SharedRetryBudget::MaxCredit() const
{
  std::size_t hosts = 1;
  for (const auto& it : mHostCounts) {
    hosts = std::max(hosts, it.count);
  }
  return std::max(kMinCredit,
                  mOptions.usedPart * mOptions.allowance.burst /
                    static_cast<double>(hosts));
}

double&
SharedRetryBudget::CreditOf(const ServiceId& aService)
{
  return mCredits.try_emplace(aService, MaxCredit()).first->second;
}

void
SharedRetryBudget::OnFirstAttempt(const ServiceId& aService)
{
  auto& credit = CreditOf(aService);
  credit = std::min(MaxCredit(),
                    credit + mOptions.usedPart * mOptions.allowance.ratio);
}

bool
SharedRetryBudget::TrySpend(const ServiceId& aService)
{
  auto& credit = CreditOf(aService);
  if (credit < 1) {
    return false;
  }
  credit -= 1;
  return true;
}

void
SharedRetryBudget::SetHostCount(std::size_t aCount, Instant aNow)
{
  // The count before the change was valid until now.
  if (!mHostCounts.empty()) {
    mHostCounts.back().at = aNow;
  }
  std::erase_if(mHostCounts, [&](const HostCount& aIt) {
    return aIt.at + mOptions.hostMemory < aNow;
  });
  mHostCounts.push_back({ .at = aNow, .count = aCount });
  const auto most = MaxCredit();
  for (auto& [service, credit] : mCredits) {
    credit = std::min(credit, most);
  }
}

void
UnboundedRetryBudget::OnFirstAttempt(const ServiceId& /*aService*/)
{
}

bool
UnboundedRetryBudget::TrySpend(const ServiceId& /*aService*/)
{
  return true;
}

} // namespace firefly::policy

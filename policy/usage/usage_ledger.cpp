#include "policy/usage/usage_ledger.h"

#include <algorithm>

namespace firefly::policy {

namespace {

// A host whose clock is further ahead is wrong.
constexpr std::uint64_t kMaxWindowsAhead = 2;

} // namespace

UsageLedger::UsageLedger(Options aOptions, WallTime aNow)
  : mOptions(aOptions)
  , mNext(WindowAt(aNow, aOptions.windowLength) + 1)
{
}

void
UsageLedger::Apply(const HostUsage& aUsage, WallTime aNow)
{
  const auto last = WindowAt(aNow, mOptions.windowLength) + kMaxWindowsAhead;
  auto& [incarnation, completeBefore] = mProgress[aUsage.host];
  if (aUsage.incarnation != incarnation) {
    // Not compared by size: it is made from the wall clock, which may have been
    // set back before the process restarted.
    incarnation = aUsage.incarnation;
    completeBefore = {};
  }
  if (aUsage.completeBefore <= last + 1) {
    completeBefore = std::max(completeBefore, aUsage.completeBefore);
  }
  for (const auto& it : aUsage.windows) {
    if (it.window >= mNext && it.window <= last) {
      ApplyWindow({ aUsage.host, aUsage.incarnation }, it);
    }
  }
}

void
UsageLedger::ApplyWindow(const Source& aSource,
                         const HostUsage::Window& aWindow)
{
  auto& known = mOpen[aWindow.window][aSource];
  known.total = std::max(known.total, aWindow.total);
  for (const auto& [customer, count] : aWindow.counts) {
    const auto index = IndexOf(customer);
    if (known.counts.size() <= index) {
      known.counts.resize(mCustomers.size());
    }
    auto& entry = known.counts[index];
    const auto grown = std::max(entry, static_cast<std::uint32_t>(count));
    known.received += grown - entry;
    entry = grown;
  }
}

std::size_t
UsageLedger::IndexOf(const CustomerId& aCustomer)
{
  const auto [it, isNew] = mIndexes.try_emplace(aCustomer, mCustomers.size());
  if (isNew) {
    mCustomers.push_back(aCustomer);
  }
  return it->second;
}

bool
UsageLedger::IsComplete(UsageWindow aWindow, const HostId& aHost) const
{
  const auto progress = mProgress.find(aHost);
  if (progress == mProgress.end() || progress->second.second <= aWindow) {
    return false;
  }
  const auto window = mOpen.find(aWindow);
  if (window == mOpen.end()) {
    return true;
  }
  const auto it = window->second.find({ aHost, progress->second.first });
  return it == window->second.end() || it->second.received == it->second.total;
}

void
UsageLedger::Close(WallTime aNow, const std::vector<HostId>& aLiveHosts)
{
  for (;;) {
    const auto end = EndOf(mNext, mOptions.windowLength);
    if (aNow < end) {
      return;
    }
    std::vector<HostId> missing;
    std::ranges::copy_if(
      aLiveHosts, std::back_inserter(missing), [this](const HostId& aHost) {
        return !IsComplete(mNext, aHost);
      });
    if (!missing.empty() && aNow < end + mOptions.closeAfter) {
      return;
    }
    if (!missing.empty()) {
      mIncomplete++;
      mMissingHosts = std::move(missing);
    }
    CloseNext();
  }
}

void
UsageLedger::CloseNext()
{
  UsageReport report{ .window = mNext, .counts = {} };
  for (const auto& [source, known] : mOpen[mNext]) {
    for (std::size_t i = 0; i < known.counts.size(); ++i) {
      if (known.counts[i] > 0) {
        report.counts[mCustomers[i]] += known.counts[i];
      }
    }
  }
  mOpen.erase(mNext);
  mClosed.emplace(mNext, std::move(report));
  if (mClosed.size() > mOptions.keptWindows) {
    mClosed.erase(mClosed.begin());
  }
  mNext = mNext + 1;
}

const UsageReport*
UsageLedger::FirstAfter(std::optional<UsageWindow> aWindow) const
{
  const auto it = aWindow ? mClosed.upper_bound(*aWindow) : mClosed.begin();
  return it == mClosed.end() ? nullptr : &it->second;
}

} // namespace firefly::policy

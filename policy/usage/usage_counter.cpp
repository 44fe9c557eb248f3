#include "policy/usage/usage_counter.h"

#include <algorithm>
#include <utility>

namespace firefly::policy {

namespace {

// Approximate sizes in a message: the host, the windows and their totals, and
// an entry in addition to its customer's name.
constexpr std::size_t kHeadBytes = 80;
constexpr std::size_t kEntryBytes = 4;
// All changes are sent within this many calls.
constexpr std::size_t kCallsPerRound = 3;

} // namespace

UsageCounter::UsageCounter(Options aOptions)
  : mOptions(std::move(aOptions))
{
}

void
UsageCounter::Advance(UsageWindow aCurrent)
{
  if (aCurrent < mCurrent && aCurrent + kSentPastWindows >= mCurrent) {
    return;
  }
  mCurrent = aCurrent;
  mWindows[mCurrent];
  std::erase_if(mWindows, [this](const auto& aWindow) {
    return aWindow.first + kSentPastWindows < mCurrent ||
           aWindow.first > mCurrent;
  });
}

void
UsageCounter::Count(const CustomerId& aCustomer)
{
  auto& window = mWindows[mCurrent];
  auto& entry = window.entries[aCustomer];
  window.total++;
  entry.count++;
  entry.sends = 0;
}

void
UsageCounter::Resend()
{
  for (auto& [number, window] : mWindows) {
    for (auto& [customer, entry] : window.entries) {
      entry.sends = 0;
    }
  }
}

HostUsage
UsageCounter::EmptyMessage() const
{
  HostUsage message{ .host = mOptions.host,
                     .incarnation = mOptions.incarnation,
                     .completeBefore = mCurrent,
                     .windows = {} };
  for (const auto& [number, window] : mWindows) {
    message.windows.push_back({ .window = number, .total = window.total });
  }
  return message;
}

std::vector<UsageCounter::Pending>
UsageCounter::PendingEntries() const
{
  std::vector<Pending> pending;
  for (const auto& [number, window] : mWindows) {
    for (const auto& [customer, entry] : window.entries) {
      if (entry.sends < mOptions.sends) {
        pending.push_back({ .window = number,
                            .customer = customer,
                            .sends = entry.sends,
                            .bytes = customer.Value().size() + kEntryBytes });
      }
    }
  }
  // Stable, so that counts of older windows precede others.
  std::ranges::stable_sort(pending, {}, &Pending::sends);
  return pending;
}

std::vector<HostUsage>
UsageCounter::TakeMessages()
{
  const auto pending = PendingEntries();
  std::size_t changedBytes = 0;
  for (const auto& it : pending) {
    changedBytes += it.sends == 0 ? it.bytes : 0;
  }
  // The budget must not shrink with the rest while changes wait.
  const auto needed = changedBytes / kCallsPerRound +
                      changedBytes / mOptions.maxMessageBytes * kHeadBytes +
                      kHeadBytes;
  mBudget = changedBytes + kHeadBytes <= mOptions.bytesPerCall
              ? mOptions.bytesPerCall
              : std::max({ mBudget, mOptions.bytesPerCall, needed });
  std::vector<HostUsage> messages{ EmptyMessage() };
  std::size_t sum = kHeadBytes;
  std::size_t size = kHeadBytes;
  for (const auto& it : pending) {
    if (sum + it.bytes > mBudget) {
      break;
    }
    if (size + it.bytes > mOptions.maxMessageBytes) {
      messages.push_back(EmptyMessage());
      size = kHeadBytes;
      sum += kHeadBytes;
    }
    auto& entry = mWindows[it.window].entries[it.customer];
    const auto window = std::ranges::find(
      messages.back().windows, it.window, &HostUsage::Window::window);
    window->counts[it.customer] = entry.count;
    entry.sends++;
    size += it.bytes;
    sum += it.bytes;
  }
  return messages;
}

HostUsage
UsageCounter::All() const
{
  auto message = EmptyMessage();
  for (auto& it : message.windows) {
    for (const auto& [customer, entry] : mWindows.at(it.window).entries) {
      it.counts[customer] = entry.count;
    }
  }
  return message;
}

} // namespace firefly::policy

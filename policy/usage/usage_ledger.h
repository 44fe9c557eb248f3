#pragma once

// Merges the counts of all hosts and decides when a window is closed. The
// report of a closed window does not change any more.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "policy/usage/usage_counter.h"

namespace firefly::policy {

class UsageLedger
{
public:
  struct Options
  {
    Duration windowLength = std::chrono::seconds(5);
    // A window closes this long after its end, whoever has not reported.
    Duration closeAfter = std::chrono::seconds(6);
    // Closed windows that are kept, so that they can be reported after an
    // outage of the log: ten minutes of windows of 5 s.
    std::size_t keptWindows = 120;
  };

  // Windows that began before aNow, the true time, are not reported, since
  // hosts may have sent their counts to others.
  UsageLedger(Options aOptions, WallTime aNow);

  // Each count only grows. Counts of closed windows, and those of windows that
  // have not begun long after the current one, are ignored.
  void Apply(const HostUsage& aUsage, WallTime aNow);

  // Closes the windows that are due, in order. A window closes once the counts
  // of all live hosts are complete.
  void Close(WallTime aNow, const std::vector<HostId>& aLiveHosts);

  // The first closed window after aWindow, or the first one that is kept if
  // that is later; null if there is none.
  [[nodiscard]] const UsageReport* FirstAfter(
    std::optional<UsageWindow> aWindow) const;

  // How many windows were closed without the counts of all live hosts.
  [[nodiscard]] std::uint64_t IncompleteWindows() const { return mIncomplete; }
  // Hosts whose counts were missing when the last such window closed.
  [[nodiscard]] const std::vector<HostId>& MissingHosts() const
  {
    return mMissingHosts;
  }

private:
  // One process on a host. A process that restarted counts from zero.
  using Source = std::pair<HostId, Incarnation>;
  struct SourceCounts
  {
    std::uint64_t total = 0;    // as the source states it
    std::uint64_t received = 0; // sum of the counts
    // By index of the customer.
    std::vector<std::uint32_t> counts;
  };

  void ApplyWindow(const Source& aSource, const HostUsage::Window& aWindow);
  [[nodiscard]] std::size_t IndexOf(const CustomerId& aCustomer);
  [[nodiscard]] bool IsComplete(UsageWindow aWindow, const HostId& aHost) const;
  void CloseNext();

  Options mOptions;
  UsageWindow mNext; // the first window that is not closed
  std::map<UsageWindow, std::map<Source, SourceCounts>> mOpen;
  // The newest incarnation of each host, and the window before which its counts
  // are complete.
  std::map<HostId, std::pair<Incarnation, UsageWindow>> mProgress;
  std::vector<CustomerId> mCustomers;
  std::unordered_map<CustomerId, std::size_t> mIndexes;
  std::map<UsageWindow, UsageReport> mClosed;
  std::uint64_t mIncomplete = 0;
  std::vector<HostId> mMissingHosts;
};

} // namespace firefly::policy

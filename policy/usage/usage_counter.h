#pragma once

// Counts the requests of each customer that backend servers began to run, by
// window, and composes the messages that tell the candidates for the duties.

#include <cstdint>
#include <map>
#include <vector>

#include "policy/usage/usage_report.h"

namespace firefly::policy {

// A part of one host's counts.
struct HostUsage
{
  struct Window
  {
    UsageWindow window;
    // Of all customers, so that a receiver knows whether it has all counts.
    std::uint64_t total = 0;
    UsageCounts counts{};

    bool operator==(const Window&) const = default;
  };

  HostId host;
  Incarnation incarnation;
  // The counts of earlier windows no longer change.
  UsageWindow completeBefore;
  std::vector<Window> windows;

  bool operator==(const HostUsage&) const = default;
};

// Windows before the current one whose counts are still sent.
constexpr std::uint64_t kSentPastWindows = 2;

class UsageCounter
{
public:
  struct Options
  {
    HostId host;
    Incarnation incarnation;
    // Approximate maximum size of a message.
    std::size_t maxMessageBytes = 1100;
    // Approximate number of bytes that one call of TakeMessages() composes,
    // unless more are needed to send all changes within three calls. Twice a
    // second to two candidates, it leads to less than 3 KB/s with the headers
    // of UDP and IP.
    std::size_t bytesPerCall = 640;
    // How often a count is sent after its last change, since messages may be
    // lost.
    std::uint32_t sends = 3;
  };

  explicit UsageCounter(Options aOptions);

  // The windows before aCurrent are complete, and old ones are forgotten.
  // Windows do not go back unless by over two, since the complete ones have
  // been announced.
  void Advance(UsageWindow aCurrent);

  // Counts a request in the current window.
  void Count(const CustomerId& aCustomer);

  // Sends all counts again, since the receivers have changed.
  void Resend();

  // Returns the changes to send, those first that were never sent.
  std::vector<HostUsage> TakeMessages();

  // All counts of the current and the last windows.
  [[nodiscard]] HostUsage All() const;

private:
  struct Entry
  {
    std::uint64_t count = 0;
    std::uint32_t sends = 0; // since the last change
  };
  struct Window
  {
    std::uint64_t total = 0;
    std::map<CustomerId, Entry> entries;
  };
  struct Pending
  {
    UsageWindow window;
    CustomerId customer;
    std::uint32_t sends = 0;
    std::size_t bytes = 0;
  };

  [[nodiscard]] HostUsage EmptyMessage() const;
  [[nodiscard]] std::vector<Pending> PendingEntries() const;

  Options mOptions;
  UsageWindow mCurrent;
  std::size_t mBudget = 0; // bytes of one call
  std::map<UsageWindow, Window> mWindows;
};

} // namespace firefly::policy

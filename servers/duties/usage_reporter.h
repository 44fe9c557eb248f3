#pragma once

// Counts the requests that backend servers begin to run for each customer,
// tells the candidates for the duties, and reports the counts of all hosts to
// the platform while this relay holds the duties.

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "core/random.h"
#include "policy/usage/true_time.h"
#include "policy/usage/usage_ledger.h"
#include "servers/duties/duty_holder.h"
#include "servers/duties/usage_messages.h"
#include "servers/duties/usage_report_sender.h"

namespace firefly {

class UsageReporter
{
public:
  struct Options
  {
    HostId host;
    Incarnation incarnation;
    Duration windowLength = std::chrono::seconds(5);
    double maxCallsPerSecond = 50;
    std::uint64_t seed = 1;
  };

  // All of these must outlive the reporter.
  struct Parts
  {
    Executor* executor = nullptr;
    coord::LogClient* log = nullptr;
    DutyClient* client = nullptr;
    DutyHolder* holder = nullptr;
    // Returns the live relays including this one, by increasing host id.
    std::function<std::vector<HostId>()> liveHosts;
    // Send a message to other relays.
    std::function<void(const policy::HostUsage&, const std::vector<HostId>&)>
      sendUsage;
    std::function<void(const TimeMessage&, const std::vector<HostId>&)>
      sendTime;
    // Called with the outcome of each call to the API.
    std::function<void(DutyOutcome)> onOutcome;
  };

  UsageReporter(Options aOptions, Parts aParts);

  // Must be called once.
  void Start();

  // Sends the last counts; nothing is reported any more.
  void Stop();

  // The log was restored from a copy.
  void OnLogRestored()
  {
    mSender.OnLogRestored(mParts.holder->WasLastHolder());
  }

  // A backend server began to run a request of the customer.
  void OnRequestStarted(const CustomerId& aCustomer);

  // Messages of other relays.
  void OnHostUsage(const policy::HostUsage& aUsage);
  void OnTime(const TimeMessage& aMessage);

  [[nodiscard]] const UsageReportSender& Sender() const { return mSender; }
  [[nodiscard]] WallTime TrueNow() const;
  // Null if this relay is not a candidate.
  [[nodiscard]] const policy::UsageLedger* Ledger() const
  {
    return mLedger ? &*mLedger : nullptr;
  }

private:
  void Tick();
  void CorrectTime();
  void SendTime();
  void SendCounts();
  // Updates the relays that receive the counts. Returns whether one was added.
  bool UpdateReceivers();
  void UpdateLedger();
  void AdvanceCounter();

  Options mOptions;
  Parts mParts;
  Log mLog{ "usage" };
  policy::TrueTime mTrueTime;
  policy::UsageCounter mCounter;
  std::vector<HostId> mLiveHosts;
  // Relays that receive the counts, and when each last was a candidate by its
  // rank.
  std::map<HostId, Instant> mReceivers;
  std::optional<policy::UsageLedger> mLedger;
  std::uint64_t mIncompleteWindows = 0;
  UsageReportSender mSender;
  Random mRandom;
  Instant mLastTick{};
  Instant mLastTimeSent{};
  Timer mTimer;
};

} // namespace firefly

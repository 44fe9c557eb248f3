#pragma once

// Sends the usage reports while this relay holds the duties. Each report is
// first recorded in the log (policy/usage/usage_journal.h), so that a later
// holder repeats it unchanged if it may not have arrived.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "coord/callback_guard.h"
#include "coord/log_client.h"
#include "core/executor.h"
#include "policy/usage/usage_journal.h"
#include "servers/duties/duty_client.h"
#include "servers/log/log.h"

namespace firefly {

class UsageReportSender
{
public:
  struct Options
  {
    HostId host;
    coord::StreamName stream{ "usage" };
    // Of all duties together; the reports use a quarter of it.
    double maxCallsPerSecond = 50;
  };

  // All of these must outlive the sender.
  struct Parts
  {
    Executor* executor = nullptr;
    coord::LogClient* log = nullptr;
    DutyClient* client = nullptr;
    // Returns the token while this relay holds the duties.
    std::function<std::optional<DutyToken>()> held;
    // Called when the token has been rejected.
    std::function<void()> onRejected;
    // Returns the first closed window after another one, or null.
    std::function<const policy::UsageReport*(
      std::optional<policy::UsageWindow>)>
      firstAfter;
    // Called with the outcome of each call.
    std::function<void(DutyOutcome)> onOutcome;
  };

  // An answered report.
  struct Answered
  {
    policy::UsageWindow window;
    Instant when{};
  };

  UsageReportSender(Options aOptions, Parts aParts);

  // Does what is due; call it at least once a second.
  void Tick();

  // The log was restored from a copy that may lack the newest records. Reports
  // that this relay knows of are recorded again with the same counts. If
  // another relay held the duties, the windows that it may have reported are
  // left out: a window must not be reported with different counts.
  void OnLogRestored(bool aWasLastHolder);

  [[nodiscard]] const std::optional<Answered>& LastAnswered() const
  {
    return mLastAnswered;
  }
  [[nodiscard]] std::size_t Unanswered() const { return mJournal.Unanswered(); }

private:
  enum class Phase : std::uint8_t
  {
    kFindingEnd, // the end of the stream is not known
    kReading,    // reading the last records
    kReady,
  };

  void Restart();
  void StartLogCall();
  void FindEnd();
  void Read();
  void OnBatch(const coord::LogBatch& aBatch);
  void OnCaughtUp();
  // Leaves out the windows that have been closed by now.
  void MarkUncertain();
  void Record(const std::vector<policy::UsageReport>& aReports);
  void OnRecorded(const std::vector<policy::UsageJournal::Record>& aRecords,
                  coord::LogOffset aFirst);
  void OnLogError(const char* aCall, const coord::LogError& aError);
  void LimitUnanswered();
  void Remember(const policy::UsageReport& aReport);
  // The next reports to record. Those that this relay knows to have been
  // recorded are recorded again at once: if only some of them were, another
  // relay could report the others with different counts.
  [[nodiscard]] std::vector<policy::UsageReport> NextReports() const;
  void Send();
  void OnOutcome(policy::UsageWindow aWindow,
                 DutyToken aToken,
                 DutyOutcome aOutcome);

  Options mOptions;
  Parts mParts;
  Log mLog{ "usage" };
  // The token under which the state below was read.
  std::optional<DutyToken> mToken;
  // Increases with each restart; callbacks of former ones are ignored.
  std::uint64_t mGeneration = 0;
  Phase mPhase = Phase::kFindingEnd;
  policy::UsageJournal mJournal;
  coord::LogOffset mFirst; // the oldest kept record
  coord::LogOffset mNext;  // the first record that has not been read
  // The end of the stream up to which this relay last knew all records.
  std::optional<coord::LogOffset> mFormerEnd;
  // Whether others may have written records that the log has removed and this
  // relay has not read.
  bool mMayHideRecords = false;
  // Where the records read so far begin.
  coord::LogOffset mReadFrom;
  // Records that this relay has not read may precede the next append.
  bool mMustRead = false;
  bool mIsLogBusy = false;
  bool mIsClientBusy = false;
  Instant mLogNotBefore{};
  Instant mClientNotBefore{};
  Duration mBackoff{};
  std::optional<Answered> mLastAnswered;
  // The newest reports with valid records, as this relay wrote or read them.
  std::map<policy::UsageWindow, policy::UsageReport> mValid;
  // Windows up to this one may have been reported by another relay.
  std::optional<policy::UsageWindow> mUncertainThrough;
  Timer mTimer; // of the next call
  coord::CallbackGuard mGuard;
};

} // namespace firefly

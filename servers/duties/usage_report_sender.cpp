#include "servers/duties/usage_report_sender.h"

#include <algorithm>
#include <utility>

#include "servers/duties/usage_messages.h"

namespace firefly {

namespace {

using policy::JournalOffset;
using policy::UsageReport;
using policy::UsageWindow;

// A new holder reads this many records to find the newest valid one. The
// records after that one are late appends of former holders, each of which has
// at most one append in progress.
constexpr std::uint64_t kTailRecords = 64;
constexpr std::size_t kReadLimit = 256;
// Valid records that are kept to be written again after a restore of the log.
constexpr std::size_t kMaxRemembered = 16;
constexpr Duration kLogRetryDelay = std::chrono::seconds(1);
// While the API does not answer, it gets one call a second.
constexpr Duration kProbeInterval = std::chrono::seconds(1);
constexpr Duration kMaxBackoff = std::chrono::seconds(8);
constexpr double kShareOfCalls = 0.25;
// Counts in the reports that are recorded again in one append, unless a single
// report has more.
constexpr std::size_t kMaxCountsPerAppend = 10'000;
// Counts in reports that wait for the API, about 15 MB.
constexpr std::size_t kMaxUnansweredCounts = 200'000;

JournalOffset
ToJournal(coord::LogOffset aOffset)
{
  return JournalOffset(aOffset.Value());
}

} // namespace

UsageReportSender::UsageReportSender(Options aOptions, Parts aParts)
  : mOptions(std::move(aOptions))
  , mParts(std::move(aParts))
{
}

void
UsageReportSender::Tick()
{
  const auto token = mParts.held();
  if (token != mToken) {
    mToken = token;
    Restart();
  }
  if (!mToken) {
    return;
  }
  if (!mIsLogBusy && mParts.executor->Now() >= mLogNotBefore) {
    StartLogCall();
  }
  if (mPhase == Phase::kReady) {
    Send();
  }
}

// Forgets what has been read: another holder may have written since.
void
UsageReportSender::Restart()
{
  mGeneration++;
  mPhase = Phase::kFindingEnd;
  mJournal = {};
  mMustRead = false;
  mIsLogBusy = false;
  mIsClientBusy = false;
}

void
UsageReportSender::StartLogCall()
{
  if (mPhase == Phase::kFindingEnd) {
    FindEnd();
  } else if (mPhase == Phase::kReading || mMustRead) {
    Read();
  } else if (const auto reports = NextReports(); !reports.empty()) {
    Record(reports);
  }
}

void
UsageReportSender::OnLogRestored(bool aWasLastHolder)
{
  if (aWasLastHolder) {
    return; // this relay recorded what the copy may lack
  }
  MarkUncertain();
}

void
UsageReportSender::MarkUncertain()
{
  auto newest = mUncertainThrough;
  while (const auto* report = mParts.firstAfter(newest)) {
    newest = report->window;
  }
  mUncertainThrough = newest;
}

void
UsageReportSender::Remember(const UsageReport& aReport)
{
  mValid[aReport.window] = aReport;
  while (mValid.size() > kMaxRemembered) {
    mValid.erase(mValid.begin());
  }
}

std::vector<UsageReport>
UsageReportSender::NextReports() const
{
  std::vector<UsageReport> reports;
  std::size_t counts = 0;
  const auto newest = mJournal.Newest();
  auto known = newest ? mValid.upper_bound(*newest) : mValid.begin();
  for (; known != mValid.end(); ++known) {
    counts += known->second.counts.size();
    if (!reports.empty() && counts > kMaxCountsPerAppend) {
      break;
    }
    reports.push_back(known->second);
  }
  if (!reports.empty()) {
    return reports;
  }
  if (const auto* report =
        mParts.firstAfter(std::max(newest, mUncertainThrough))) {
    reports.push_back(*report);
  }
  return reports;
}

void
UsageReportSender::FindEnd()
{
  mIsLogBusy = true;
  mParts.log->Read(
    mOptions.stream,
    coord::LogOffset(0),
    1,
    mGuard.Wrap([this, generation = mGeneration](
                  const tl::expected<coord::LogBatch, coord::LogError>& aIt) {
      if (generation != mGeneration) {
        return;
      }
      mIsLogBusy = false;
      if (!aIt) {
        OnLogError("find end", aIt.error());
        return;
      }
      const auto end = aIt->end.Value();
      mFirst = aIt->first;
      mMayHideRecords = coord::PositionOf(mFirst) > 0 && aIt->end != mFormerEnd;
      mReadFrom = coord::LogOffset(
        std::max(mFirst.Value(), end < kTailRecords ? 0 : end - kTailRecords));
      mNext = mReadFrom;
      mPhase = Phase::kReading;
      Tick();
    }));
}

void
UsageReportSender::Read()
{
  mIsLogBusy = true;
  mParts.log->Read(
    mOptions.stream,
    mNext,
    kReadLimit,
    mGuard.Wrap([this, generation = mGeneration](
                  const tl::expected<coord::LogBatch, coord::LogError>& aIt) {
      if (generation != mGeneration) {
        return;
      }
      mIsLogBusy = false;
      if (!aIt) {
        OnLogError("read", aIt.error());
        return;
      }
      OnBatch(*aIt);
    }));
}

void
UsageReportSender::OnBatch(const coord::LogBatch& aBatch)
{
  if (aBatch.end < mNext || aBatch.first > mNext) {
    mLog.Warning("usage stream restarted",
                 { { "next", std::to_string(mNext.Value()) },
                   { "first", std::to_string(aBatch.first.Value()) },
                   { "end", std::to_string(aBatch.end.Value()) } });
    Restart();
    return;
  }
  for (const auto& it : aBatch.records) {
    if (it.offset != mNext) {
      continue;
    }
    mNext = coord::LogOffset(mNext.Value() + 1);
    const auto record = DecodeUsageRecord(it.payload);
    if (!record) {
      continue;
    }
    if (mJournal.Apply(ToJournal(it.offset), *record)) {
      Remember(record->report);
    } else {
      mLog.Info(
        "late record of a window ignored",
        { { "window", std::to_string(record->report.window.Value()) } });
    }
  }
  LimitUnanswered();
  if (mNext >= aBatch.end) {
    OnCaughtUp();
  }
  Tick();
}

void
UsageReportSender::OnCaughtUp()
{
  mMustRead = false;
  mFormerEnd = mNext;
  if (mPhase == Phase::kReady) {
    return;
  }
  const auto start = mJournal.StartOfUnanswered();
  if (start && start->Value() < mReadFrom.Value() && mFirst < mReadFrom) {
    // More reports may not have arrived than the last records contain.
    mJournal = {};
    mReadFrom = coord::LogOffset(std::max(start->Value(), mFirst.Value()));
    mNext = mReadFrom;
    return;
  }
  mPhase = Phase::kReady;
  if (mMayHideRecords && !mJournal.Newest()) {
    mLog.Warning("usage windows left out",
                 { { "why", "their records may have expired" } });
    MarkUncertain();
  }
  mLog.Info(
    "usage reports resumed",
    { { "token", std::to_string(mToken->Value()) },
      { "newest",
        std::to_string(mJournal.Newest().value_or(UsageWindow(0)).Value()) },
      { "unanswered", std::to_string(mJournal.Unanswered()) } });
}

void
UsageReportSender::Record(const std::vector<UsageReport>& aReports)
{
  const auto newest = mJournal.Newest();
  const auto first = aReports.front().window;
  if (newest && *newest + 1 != first) {
    mLog.Warning("usage windows not reported",
                 { { "after", std::to_string(newest->Value()) },
                   { "before", std::to_string(first.Value()) } });
  }
  const auto oldest =
    mJournal.OldestUnansweredOffset().value_or(ToJournal(mNext));
  std::vector<policy::UsageJournal::Record> records;
  std::vector<std::string> payloads;
  for (const auto& it : aReports) {
    records.push_back({ .report = it, .oldestUnanswered = oldest });
    payloads.push_back(EncodeUsageRecord(records.back()));
  }
  mIsLogBusy = true;
  mParts.log->Append(
    mOptions.stream,
    std::move(payloads),
    mGuard.Wrap([this, generation = mGeneration, records = std::move(records)](
                  const tl::expected<coord::LogOffset, coord::LogError>& aIt) {
      if (generation != mGeneration) {
        return;
      }
      mIsLogBusy = false;
      if (!aIt) {
        // The records may be in the stream, or be added to it later.
        mMustRead = true;
        OnLogError("record", aIt.error());
        return;
      }
      OnRecorded(records, *aIt);
    }));
}

void
UsageReportSender::OnRecorded(
  const std::vector<policy::UsageJournal::Record>& aRecords,
  coord::LogOffset aFirst)
{
  if (aFirst != mNext) {
    // Another record precedes them, which may be of the same window.
    mMustRead = true;
    Tick();
    return;
  }
  for (const auto& it : aRecords) {
    if (mJournal.Apply(ToJournal(mNext), it)) {
      Remember(it.report);
    }
    mNext = coord::LogOffset(mNext.Value() + 1);
  }
  mFormerEnd = mNext;
  LimitUnanswered();
  Tick();
}

void
UsageReportSender::OnLogError(const char* aCall, const coord::LogError& aError)
{
  mLog.Warning("usage stream failed",
               { { "call", aCall }, { "why", aError.message } });
  mLogNotBefore = mParts.executor->Now() + kLogRetryDelay;
  if (aError.kind == coord::LogErrorKind::kTrimmed) {
    Restart();
  }
}

void
UsageReportSender::LimitUnanswered()
{
  while (mJournal.Unanswered() > 1 &&
         mJournal.UnansweredCounts() > kMaxUnansweredCounts) {
    mLog.Warning(
      "usage report given up",
      { { "window",
          std::to_string(mJournal.OldestUnanswered()->window.Value()) },
        { "why", "too many unanswered reports" } });
    mJournal.Answered();
  }
}

void
UsageReportSender::Send()
{
  const auto* report = mJournal.OldestUnanswered();
  if (report == nullptr || mIsClientBusy ||
      mParts.executor->Now() < mClientNotBefore) {
    return;
  }
  // Checked before each call: the lease may have expired while the process was
  // suspended.
  const auto token = mParts.held();
  if (!token || token != mToken) {
    return;
  }
  mIsClientBusy = true;
  mParts.client->ReportUsage(
    { .host = mOptions.host, .token = *token },
    *report,
    mGuard.Wrap(
      [this, generation = mGeneration, window = report->window, token = *token](
        DutyOutcome aOutcome) {
        mParts.onOutcome(aOutcome);
        if (generation == mGeneration) {
          OnOutcome(window, token, aOutcome);
        }
      }));
}

void
UsageReportSender::OnOutcome(UsageWindow aWindow,
                             DutyToken aToken,
                             DutyOutcome aOutcome)
{
  mIsClientBusy = false;
  const auto now = mParts.executor->Now();
  const LogFields fields{ { "window", std::to_string(aWindow.Value()) },
                          { "token", std::to_string(aToken.Value()) },
                          { "outcome", std::string(ToString(aOutcome)) } };
  const auto* oldest = mJournal.OldestUnanswered();
  const bool isOldest = oldest != nullptr && oldest->window == aWindow;
  switch (aOutcome) {
    case DutyOutcome::kAnswered:
      mLog.Info("usage reported", fields);
      mLastAnswered = { .window = aWindow, .when = now };
      mBackoff = Duration::zero();
      mClientNotBefore =
        now + FromSeconds(1 / (mOptions.maxCallsPerSecond * kShareOfCalls));
      mTimer =
        mParts.executor->RunAfter(mClientNotBefore - now, [this] { Tick(); });
      break;
    case DutyOutcome::kNoneAvailable:
    case DutyOutcome::kInvalid:
      mLog.Error("usage report given up", fields);
      mClientNotBefore = now + kProbeInterval;
      break;
    case DutyOutcome::kTooManyCalls:
      mLog.Warning("usage report delayed", fields);
      mBackoff = std::clamp(mBackoff * 2, kProbeInterval, kMaxBackoff);
      mClientNotBefore = now + mBackoff;
      return;
    case DutyOutcome::kNoResponse:
      mLog.Warning("usage report delayed", fields);
      mClientNotBefore = now + kProbeInterval;
      return;
    case DutyOutcome::kRejectedForToken:
      mLog.Warning("usage report rejected", fields);
      mParts.onRejected();
      Tick();
      return;
  }
  if (isOldest) {
    mJournal.Answered();
  }
  Tick();
}

} // namespace firefly

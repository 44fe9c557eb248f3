#include "servers/duties/usage_reporter.h"

#include <algorithm>
#include <utility>

namespace firefly {

namespace {

constexpr std::size_t kCandidates = 2;
constexpr Duration kTickInterval = std::chrono::milliseconds(500);
// A later tick means that the process was stopped.
constexpr Duration kMaxTickDelay = std::chrono::milliseconds(250);
// Each relay sends its time to a few others. Each of them then has more than
// ten samples that are not too old.
constexpr Duration kTimeInterval = std::chrono::seconds(2);
constexpr std::size_t kTimeReceivers = 3;
// A relay whose rank changes may hold the duties for a while.
constexpr Duration kReceiverLinger = std::chrono::seconds(20);

} // namespace

UsageReporter::UsageReporter(Options aOptions, Parts aParts)
  : mOptions(std::move(aOptions))
  , mParts(std::move(aParts))
  , mTrueTime(mParts.executor->WallNow(), mParts.executor->Now())
  , mCounter({ .host = mOptions.host, .incarnation = mOptions.incarnation })
  , mSender({ .host = mOptions.host,
              .maxCallsPerSecond = mOptions.maxCallsPerSecond },
            { .executor = mParts.executor,
              .log = mParts.log,
              .client = mParts.client,
              .held = [this] { return mParts.holder->Held(); },
              .onRejected = [this] { mParts.holder->Abandon(); },
              .firstAfter =
                [this](std::optional<policy::UsageWindow> aWindow) {
                  return mLedger ? mLedger->FirstAfter(aWindow) : nullptr;
                },
              .onOutcome = mParts.onOutcome })
  , mRandom(mOptions.seed)
{
}

void
UsageReporter::Start()
{
  mLastTick = mParts.executor->Now();
  Tick();
}

void
UsageReporter::Stop()
{
  mTimer.Cancel();
  SendCounts();
}

WallTime
UsageReporter::TrueNow() const
{
  return mTrueTime.At(mParts.executor->Now());
}

void
UsageReporter::OnRequestStarted(const CustomerId& aCustomer)
{
  if (aCustomer.Value().empty()) {
    return;
  }
  AdvanceCounter();
  mCounter.Count(aCustomer);
}

void
UsageReporter::OnHostUsage(const policy::HostUsage& aUsage)
{
  if (mLedger) {
    mLedger->Apply(aUsage, TrueNow());
  }
}

void
UsageReporter::OnTime(const TimeMessage& aMessage)
{
  mTrueTime.AddSample(aMessage.host, aMessage.time, mParts.executor->Now());
}

void
UsageReporter::Tick()
{
  mTimer = mParts.executor->RunAfter(kTickInterval, [this] { Tick(); });
  mLiveHosts = mParts.liveHosts();
  CorrectTime();
  SendTime();
  AdvanceCounter();
  UpdateLedger();
  SendCounts();
  mSender.Tick();
}

void
UsageReporter::CorrectTime()
{
  const auto now = mParts.executor->Now();
  if (now - mLastTick > kTickInterval + kMaxTickDelay) {
    mTrueTime.OnPause(now);
  }
  mLastTick = now;
  if (const auto correction = mTrueTime.Correct(now)) {
    mLog.Warning("true time corrected",
                 { { "s", std::to_string(ToSeconds(*correction)) } });
  }
}

void
UsageReporter::SendTime()
{
  const auto now = mParts.executor->Now();
  if (now - mLastTimeSent < kTimeInterval) {
    return;
  }
  mLastTimeSent = now;
  std::vector<HostId> others;
  std::ranges::copy_if(
    mLiveHosts, std::back_inserter(others), [this](const HostId& aHost) {
      return aHost != mOptions.host;
    });
  std::vector<HostId> receivers;
  while (!others.empty() && receivers.size() < kTimeReceivers) {
    std::swap(others[mRandom.Below(others.size())], others.back());
    receivers.push_back(std::move(others.back()));
    others.pop_back();
  }
  mParts.sendTime({ .host = mOptions.host, .time = mTrueTime.Uncorrected(now) },
                  receivers);
}

void
UsageReporter::AdvanceCounter()
{
  mCounter.Advance(policy::WindowAt(TrueNow(), mOptions.windowLength));
}

bool
UsageReporter::UpdateReceivers()
{
  const auto now = mParts.executor->Now();
  bool isAdded = false;
  const auto n = std::min(kCandidates, mLiveHosts.size());
  for (std::size_t i = 0; i < n; ++i) {
    isAdded = mReceivers.insert_or_assign(mLiveHosts[i], now).second || isAdded;
  }
  std::erase_if(mReceivers, [&](const auto& aReceiver) {
    return now - aReceiver.second > kReceiverLinger ||
           !std::ranges::binary_search(mLiveHosts, aReceiver.first);
  });
  return isAdded;
}

void
UsageReporter::SendCounts()
{
  if (UpdateReceivers()) {
    mCounter.Resend();
  }
  std::vector<HostId> receivers;
  for (const auto& [host, since] : mReceivers) {
    if (host != mOptions.host) {
      receivers.push_back(host);
    }
  }
  if (receivers.empty()) {
    return;
  }
  for (const auto& it : mCounter.TakeMessages()) {
    mParts.sendUsage(it, receivers);
  }
}

void
UsageReporter::UpdateLedger()
{
  const auto n = std::min(kCandidates, mLiveHosts.size());
  const auto end = mLiveHosts.begin() + static_cast<std::ptrdiff_t>(n);
  const bool hasRank = std::find(mLiveHosts.begin(), end, mOptions.host) != end;
  if (!hasRank && !mParts.holder->IsCandidate()) {
    mLedger.reset();
    return;
  }
  if (!mLedger) {
    if (!mTrueTime.IsSettled(mParts.executor->Now())) {
      return;
    }
    mLedger.emplace(
      policy::UsageLedger::Options{ .windowLength = mOptions.windowLength },
      TrueNow());
    mIncompleteWindows = 0;
  }
  mLedger->Apply(mCounter.All(), TrueNow());
  mLedger->Close(TrueNow(), mLiveHosts);
  if (mLedger->IncompleteWindows() != mIncompleteWindows) {
    mIncompleteWindows = mLedger->IncompleteWindows();
    std::string hosts;
    for (const auto& it : mLedger->MissingHosts()) {
      hosts += (hosts.empty() ? "" : ",") + it.Value();
    }
    mLog.Warning("usage window closed without the counts of all hosts",
                 { { "hosts", hosts } });
  }
}

} // namespace firefly

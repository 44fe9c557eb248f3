#include "tests/soak/relay_host.h"

#include <csignal>
#include <fstream>
#include <sstream>
#include <utility>

#include <unistd.h>

namespace firefly::soak {

namespace {

// The stop grace of the users' deployments.
constexpr Duration kStopGrace = std::chrono::seconds(8);
constexpr Duration kRestartDelay = std::chrono::milliseconds(300);
constexpr Duration kExitCheckInterval = std::chrono::milliseconds(50);
constexpr Duration kReadinessInterval = std::chrono::milliseconds(250);
constexpr Duration kPollTimeout = std::chrono::milliseconds(700);
constexpr int kMaxFailedPolls = 2;
// The maximum clock error, ahead or behind.
constexpr double kMaxClockShiftSeconds = 3600;
// The mean time between clock steps, similar to that between relay restarts.
constexpr double kMeanClockStepSeconds = 4;
// The share of clock steps that set the correct time.
constexpr double kCorrectClockShare = 0.4;

} // namespace

std::string
RelayHost::AddressOf(RelayIndex aIndex)
{
  // The network part comes from the process id, because several soaks may run
  // at once.
  constexpr int kOctetValues = 250;
  const auto processId = getpid();
  return "127." + std::to_string(1 + processId / kOctetValues % kOctetValues) +
         "." + std::to_string(1 + processId % kOctetValues) + "." +
         std::to_string(1 + aIndex.Value() % kOctetValues);
}

RelayHost::RelayHost(AsioExecutor& aExecutor,
                     HttpClient& aClient,
                     Options aOptions,
                     PromiseChecker& aChecker)
  : mExecutor(aExecutor)
  , mClient(aClient)
  , mOptions(std::move(aOptions))
  , mChecker(aChecker)
  , mCallerProxy(aExecutor,
                 AddressOf(mOptions.index),
                 mOptions.ports.callers,
                 mOptions.seed)
  , mStoreProxy(aExecutor, "127.0.0.1", mOptions.storePort, mOptions.seed + 1)
  , mClock(mOptions.directory / "clock")
  , mClockRandom(mOptions.seed + 2)
{
  CheckForExit();
  PollReadiness();
  StepClock();
}

void
RelayHost::WriteSettings()
{
  const auto address = AddressOf(mOptions.index);
  const auto& ports = mOptions.ports;
  std::ostringstream seeds;
  for (std::size_t i = 0; i < mOptions.seeds.size(); ++i) {
    seeds << (i == 0 ? "" : ", ") << '"' << mOptions.seeds[i] << '"';
  }
  // Alternates between two values, so that each reload has a changed setting.
  const auto unreadyGraceMs = 3000 - mReloads % 2 * 200;
  std::ofstream(mOptions.directory / "relay.toml")
    << "[host]\nid = \"relay-" << mOptions.index.Value() << "\"\ndomain = \""
    << mOptions.zone << "\"\ncallers = \"" << address << ":" << ports.callers
    << "\"\nstatus = \"" << address << ":" << ports.status
    << "\"\n[peers]\nport = " << ports.peers
    << "\nfact_port = " << ports.updates << "\nseeds = [" << seeds.str()
    << "]\n[log_service]\nurl = \"http://127.0.0.1:" << mStoreProxy.Port()
    << "\"\n[relay]\nmemory_mb = 64\nstop_grace_ms = 8000\nunready_grace_ms = "
    << unreadyGraceMs
    << "\n[engines]\nprompt_share = 0.5\n[engines.prefill]\n"
       "prompt_tokens_per_s = 61800\ncopy_tokens_per_s = 1400000\n"
       "[engines.decode]\nprompt_tokens_per_s = 26000\n"
       "[charts]\ndirectory = \"" FIREFLY_SOURCE_DIR "/charts\"\n"
       "[log]\nlevel = \"info\"\nlayout = \"json\"\n";
}

void
RelayHost::Start()
{
  if (mShutDown) {
    return;
  }
  WriteSettings();
  mProcess =
    std::make_unique<testing::ChildProcess>(testing::ChildProcess::Options{
      .program = "main/firefly-relay",
      .arguments = { "--settings",
                     (mOptions.directory / "relay.toml").string() },
      .output = mOptions.directory / "relay.log",
      .environment = mClock.Environment() });
  mExitExpected = false;
  mChecker.OnRelayStarted(mOptions.index, mExecutor.Now());
}

void
RelayHost::StartLater(Duration aDelay)
{
  mStartTimer = mExecutor.RunAfter(aDelay, [this] {
    if (!mProcess) {
      Start();
    }
  });
}

void
RelayHost::Stop()
{
  if (!mProcess || mExitExpected) {
    return;
  }
  mExitExpected = true;
  mChecker.OnStopSignal(mOptions.index, mExecutor.Now());
  mProcess->Terminate();
  mKillTimer = mExecutor.RunAfter(kStopGrace, [this] { Kill(); });
}

void
RelayHost::Kill()
{
  if (mProcess) {
    mExitExpected = true;
    mProcess->Kill();
  }
}

void
RelayHost::Freeze(Duration aDuration)
{
  if (!mProcess) {
    return;
  }
  mProcess->Freeze();
  mResumeTimer = mExecutor.RunAfter(aDuration, [this] {
    if (mProcess) {
      mProcess->Resume();
    }
  });
}

void
RelayHost::Reload()
{
  if (!mProcess || mExitExpected) {
    return;
  }
  mReloads++;
  WriteSettings();
  kill(mProcess->Id(), SIGHUP);
}

void
RelayHost::CheckForExit()
{
  mExitCheckTimer =
    mExecutor.RunAfter(kExitCheckInterval, [this] { CheckForExit(); });
  if (!mProcess || mProcess->IsRunning()) {
    return;
  }
  if (!mExitExpected) {
    mChecker.OnUnexpectedRelayExit(
      mOptions.index,
      "wait status " + std::to_string(mProcess->WaitStatus().value_or(-1)),
      mExecutor.Now());
  }
  mKillTimer.Cancel();
  mResumeTimer.Cancel();
  mProcess.reset();
  mReady = false;
  StartLater(kRestartDelay);
}

void
RelayHost::StepClock()
{
  const auto wait = 2 * kMeanClockStepSeconds * mClockRandom.Uniform();
  mClockTimer = mExecutor.RunAfter(FromSeconds(wait), [this] {
    const bool isCorrect = mClockRandom.Chance(kCorrectClockShare);
    const auto shift = (2 * mClockRandom.Uniform() - 1) * kMaxClockShiftSeconds;
    mClock.Set(isCorrect ? std::chrono::nanoseconds::zero()
                         : std::chrono::duration_cast<std::chrono::nanoseconds>(
                             FromSeconds(shift)));
    StepClock();
  });
}

void
RelayHost::PollReadiness()
{
  mPollTimer =
    mExecutor.RunAfter(kReadinessInterval, [this] { PollReadiness(); });
  if (!mProcess) {
    return;
  }
  HttpCall call;
  call.url = "http://" + AddressOf(mOptions.index) + ":" +
             std::to_string(mOptions.ports.status) + "/readyz";
  call.connectTimeout = kPollTimeout;
  call.totalTimeout = kPollTimeout;
  mClient.Fetch(std::move(call),
                [this, alive = std::weak_ptr<bool>(mAlive)](
                  const tl::expected<HttpResult, HttpError>& aResult) {
                  if (alive.expired()) {
                    return;
                  }
                  if (aResult && aResult->status == 200) {
                    mFailedPolls = 0;
                    mReady = true;
                  } else if (++mFailedPolls >= kMaxFailedPolls) {
                    mReady = false;
                  }
                });
}

void
RelayHost::ShutDown()
{
  mShutDown = true;
  Kill();
}

} // namespace firefly::soak

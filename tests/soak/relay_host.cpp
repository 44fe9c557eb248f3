#include "tests/soak/relay_host.h"

#include <csignal>
#include <fstream>
#include <sstream>
#include <utility>

#include <unistd.h>

namespace firefly::soak {

namespace {

// Of the users' deployments.
constexpr Duration kStopGrace = std::chrono::seconds(8);
constexpr Duration kRestart = std::chrono::milliseconds(300);
constexpr Duration kWatch = std::chrono::milliseconds(50);
constexpr Duration kPoll = std::chrono::milliseconds(250);
constexpr Duration kPollTimeout = std::chrono::milliseconds(700);
constexpr int kMissesUntilOut = 2;
// Clocks are set wrong by up to that, to either side ...
constexpr double kLargestClockShift = 3600; // seconds
// ... about as often as relays are restarted.
constexpr double kClockStepEvery = 4; // seconds
constexpr double kClockIsRight = 0.4;

} // namespace

std::string
RelayHost::AddressOf(RelayIndex aIndex)
{
  // A net of its own for each soak, as several may run at once.
  constexpr int kNumbers = 250;
  const auto net = getpid();
  return "127." + std::to_string(1 + net / kNumbers % kNumbers) + "." +
         std::to_string(1 + net % kNumbers) + "." +
         std::to_string(1 + aIndex.Value() % kNumbers);
}

RelayHost::RelayHost(AsioExecutor& aExecutor,
                     HttpClient& aClient,
                     Options aOptions,
                     Witness& aWitness)
  : mExecutor(aExecutor)
  , mClient(aClient)
  , mOptions(std::move(aOptions))
  , mWitness(aWitness)
  , mCallers(aExecutor,
             AddressOf(mOptions.index),
             mOptions.ports.callers,
             mOptions.seed)
  , mStoreWay(aExecutor, "127.0.0.1", mOptions.storePort, mOptions.seed + 1)
  , mClock(mOptions.directory / "clock")
  , mClockRandom(mOptions.seed + 2)
{
  Watch();
  Poll();
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
  // What a reload changes, so that each one finds something new.
  const auto notice = 3000 - mReloads % 2 * 200;
  std::ofstream(mOptions.directory / "relay.toml")
    << "[host]\nid = \"relay-" << mOptions.index.Value() << "\"\ndomain = \""
    << mOptions.zone << "\"\ncallers = \"" << address << ":" << ports.callers
    << "\"\nstatus = \"" << address << ":" << ports.status
    << "\"\n[peers]\nport = " << ports.peers << "\nfact_port = " << ports.facts
    << "\nseeds = [" << seeds.str()
    << "]\n[log_service]\nurl = \"http://127.0.0.1:" << mStoreWay.Port()
    << "\"\n[relay]\nstop_grace_ms = 8000\nunready_grace_ms = " << notice
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
  mEnding = false;
  mWitness.OnRelayStarted(mOptions.index, mExecutor.Now());
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
  if (!mProcess || mEnding) {
    return;
  }
  mEnding = true;
  mWitness.OnStopSignal(mOptions.index, mExecutor.Now());
  mProcess->Terminate();
  mKillTimer = mExecutor.RunAfter(kStopGrace, [this] { Kill(); });
}

void
RelayHost::Kill()
{
  if (mProcess) {
    mEnding = true;
    mProcess->Kill();
  }
}

void
RelayHost::Freeze(Duration aFor)
{
  if (!mProcess) {
    return;
  }
  mProcess->Freeze();
  mThawTimer = mExecutor.RunAfter(aFor, [this] {
    if (mProcess) {
      mProcess->Resume();
    }
  });
}

void
RelayHost::Reload()
{
  if (!mProcess || mEnding) {
    return;
  }
  mReloads++;
  WriteSettings();
  kill(mProcess->Id(), SIGHUP);
}

void
RelayHost::Watch()
{
  mWatchTimer = mExecutor.RunAfter(kWatch, [this] { Watch(); });
  if (!mProcess || mProcess->Running()) {
    return;
  }
  if (!mEnding) {
    mWitness.OnRelayEndedByItself(
      mOptions.index,
      "wait status " + std::to_string(mProcess->Status().value_or(-1)),
      mExecutor.Now());
  }
  mKillTimer.Cancel();
  mThawTimer.Cancel();
  mProcess.reset();
  mReady = false;
  StartLater(kRestart);
}

void
RelayHost::StepClock()
{
  const auto wait = 2 * kClockStepEvery * mClockRandom.Uniform();
  mClockTimer = mExecutor.RunAfter(FromSeconds(wait), [this] {
    const bool right = mClockRandom.Chance(kClockIsRight);
    const auto shift = (2 * mClockRandom.Uniform() - 1) * kLargestClockShift;
    mClock.Set(right ? std::chrono::nanoseconds::zero()
                     : std::chrono::duration_cast<std::chrono::nanoseconds>(
                         FromSeconds(shift)));
    StepClock();
  });
}

void
RelayHost::Poll()
{
  mPollTimer = mExecutor.RunAfter(kPoll, [this] { Poll(); });
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
                    mMisses = 0;
                    mReady = true;
                  } else if (++mMisses >= kMissesUntilOut) {
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

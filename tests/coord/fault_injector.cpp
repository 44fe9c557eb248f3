#include "tests/coord/fault_injector.h"

#include <cstdio>
#include <cstdlib>
#include <map>
#include <utility>

#include "core/state_chart_loader.h"

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

namespace firefly::coord {

namespace {

using namespace std::chrono_literals;

std::map<std::string, StateChart>
LoadCharts()
{
  std::map<std::string, StateChart> charts;
  for (const auto* name : { "authority", "backend", "booking", "request" }) {
    const auto path =
      std::string(FIREFLY_SOURCE_DIR) + "/charts/" + name + ".toml";
    charts.emplace(name, LoadStateChart(path).value());
  }
  return charts;
}

// Loaded before the tests start, so that the leak check does not report it.
const std::map<std::string, StateChart> kCharts = LoadCharts();

constexpr Duration kMinGap = 300ms;
constexpr Duration kMaxGap = 4s;

} // namespace

const StateChart&
TestChart(const std::string& aName)
{
  return kCharts.at(aName);
}

FaultInjector::FaultInjector(std::uint64_t aSeed,
                             VirtualExecutor& aExecutor,
                             FakeLog& aLog,
                             std::vector<FaultTarget> aTargets)
  : mExecutor(aExecutor)
  , mLog(aLog)
  , mTargets(std::move(aTargets))
  , mRandom(aSeed * 7919)
{
}

void
FaultInjector::Run(Duration aSpan)
{
  const auto end = mExecutor.Now() + aSpan;
  ScheduleFault(end);
  mExecutor.RunUntil(end);
  mHasEnded = true;
  mTimers.clear();
  mLog.SetFaults(0, 0, 0);
  mLog.SetDown(false);
  for (const auto& it : mTargets) {
    mLog.SetPartitioned(it.logClient, false);
    it.resume();
  }
}

void
FaultInjector::ScheduleFault(Instant aEnd)
{
  After(RandomDuration(kMinGap, kMaxGap), [this, aEnd] {
    if (mExecutor.Now() < aEnd) {
      InjectFault();
      ScheduleFault(aEnd);
    }
  });
}

void
FaultInjector::InjectFault()
{
  const auto target = mRandom.Below(mTargets.size());
  const auto span = RandomDuration(100ms, 12s);
  switch (mRandom.Below(6)) {
    case 0:
      mLog.SetDown(true);
      After(span, [this] { mLog.SetDown(false); });
      break;
    case 1:
      mLog.SetFaults(0.2 * mRandom.Uniform(),
                     0.4 * mRandom.Uniform(),
                     0.3 * mRandom.Uniform());
      After(span, [this] { mLog.SetFaults(0, 0, 0); });
      break;
    case 2:
      mLog.SetPartitioned(mTargets[target].logClient, true);
      After(span, [this, target] {
        mLog.SetPartitioned(mTargets[target].logClient, false);
      });
      break;
    case 3:
      if (mTargets[target].restart) {
        mTargets[target].restart();
      }
      break;
    default:
      PauseRandomTarget(span);
      break;
  }
}

void
FaultInjector::PauseRandomTarget(Duration aSpan)
{
  const auto target = mRandom.Below(mTargets.size());
  mTargets[target].pause();
  After(aSpan, [this, target] { mTargets[target].resume(); });
}

void
FaultInjector::After(Duration aDelay, std::function<void()> aCallback)
{
  mTimers.push_back(mExecutor.RunAfter(aDelay, std::move(aCallback)));
}

Duration
FaultInjector::RandomDuration(Duration aMin, Duration aMax)
{
  return aMin + FromSeconds(ToSeconds(aMax - aMin) * mRandom.Uniform());
}

WithoutLeakCheck::WithoutLeakCheck()
{
  MemoryLeakWarningPlugin::saveAndDisableNewDeleteOverloads();
}

WithoutLeakCheck::~WithoutLeakCheck()
{
  MemoryLeakWarningPlugin::restoreNewDeleteOverloads();
}

int
CountSchedules(const char* aName,
               int aSchedules,
               const std::function<bool(std::uint64_t)>& aFails)
{
  const char* environment = std::getenv("FIREFLY_SCHEDULES");
  const int schedules =
    environment == nullptr ? aSchedules : std::atoi(environment);
  const WithoutLeakCheck fast;
  int failed = 0;
  for (int n = 1; n <= schedules; ++n) {
    if (aFails(static_cast<std::uint64_t>(n)) && failed++ == 0) {
      std::printf("%s: first failing seed %d\n", aName, n);
    }
  }
  std::printf("%s: %d of %d schedules fail\n", aName, failed, schedules);
  return failed;
}

} // namespace firefly::coord

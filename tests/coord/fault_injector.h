#pragma once

// Injects seeded faults into the simulated processes of the fault tests.

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "coord/testing/fake_log.h"
#include "core/random.h"
#include "core/state_chart.h"
#include "core/virtual_executor.h"

namespace firefly::coord {

// Returns the state chart of the file charts/<aName>.toml.
const StateChart&
TestChart(const std::string& aName);

// A process into which faults are injected.
struct FaultTarget
{
  std::string logClient; // the name of its client at the log
  std::function<void()> pause;
  std::function<void()> resume;
  std::function<void()> restart; // kills and restarts it; null to never do so
};

// Injects random faults for a time and then ends all of them.
class FaultInjector
{
public:
  FaultInjector(std::uint64_t aSeed,
                VirtualExecutor& aExecutor,
                FakeLog& aLog,
                std::vector<FaultTarget> aTargets);

  // Runs the executor with faults for the given time, then ends all faults.
  void Run(Duration aSpan);

private:
  void ScheduleFault(Instant aEnd);
  void InjectFault();
  void PauseRandomTarget(Duration aSpan);
  void After(Duration aDelay, std::function<void()> aCallback);
  Duration RandomDuration(Duration aMin, Duration aMax);

  VirtualExecutor& mExecutor;
  FakeLog& mLog;
  std::vector<FaultTarget> mTargets;
  Random mRandom;
  std::vector<Timer> mTimers;
  bool mHasEnded = false;
};

// Disables CppUTest's tracking of allocations, whose time grows with the square
// of the number of live allocations. Everything that is allocated during the
// lifetime of this object must be freed before its end.
class WithoutLeakCheck
{
public:
  WithoutLeakCheck();
  WithoutLeakCheck(const WithoutLeakCheck&) = delete;
  WithoutLeakCheck& operator=(const WithoutLeakCheck&) = delete;
  ~WithoutLeakCheck();
};

// Runs the callback for each seed and returns how often it returned true, which
// means a failure. The environment variable FIREFLY_SCHEDULES overrides the
// number of seeds, aSchedules. Prints the first failing seed with aName.
int
CountSchedules(const char* aName,
               int aSchedules,
               const std::function<bool(std::uint64_t)>& aFails);

} // namespace firefly::coord

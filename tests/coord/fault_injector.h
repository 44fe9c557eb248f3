#pragma once

// Seeded faults for the schedules of this folder.

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "coord/testing/fake_log.h"
#include "core/random.h"
#include "core/state_chart.h"
#include "core/virtual_executor.h"

namespace firefly::coord {

// The chart of that name from charts/.
const StateChart&
TestChart(const std::string& aName);

// A process that a schedule may hurt.
struct FaultTarget
{
  std::string logClient; // its name at the log
  std::function<void()> pause;
  std::function<void()> resume;
  std::function<void()> restart; // kill and start anew; null if never
};

// Draws faults until its end and then heals all of them.
class FaultInjector
{
public:
  FaultInjector(std::uint64_t aSeed,
                VirtualExecutor& aExecutor,
                FakeLog& aLog,
                std::vector<FaultTarget> aTargets);

  // Runs the executor with faults for the span, then heals.
  void Run(Duration aSpan);

private:
  void Next(Instant aEnd);
  void Inject();
  void PauseSome(Duration aSpan);
  void After(Duration aDelay, std::function<void()> aCallback);
  Duration Between(Duration aLeast, Duration aMost);

  VirtualExecutor& mExecutor;
  FakeLog& mLog;
  std::vector<FaultTarget> mTargets;
  Random mRandom;
  std::vector<Timer> mTimers;
  bool mHealed = false;
};

// Turns CppUTest's bookkeeping of allocations off: its time grows with the
// square of the live ones. All that is allocated meanwhile must be freed
// before.
class WithoutLeakCheck
{
public:
  WithoutLeakCheck();
  WithoutLeakCheck(const WithoutLeakCheck&) = delete;
  WithoutLeakCheck& operator=(const WithoutLeakCheck&) = delete;
  ~WithoutLeakCheck();
};

// Runs the callback for each seed and returns how many times it said true. The
// number of seeds is FIREFLY_SCHEDULES in the environment, else aSchedules;
// the first one that says true is printed with aName.
int
CountSchedules(const char* aName,
               int aSchedules,
               const std::function<bool(std::uint64_t)>& aFails);

} // namespace firefly::coord

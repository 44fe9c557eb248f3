#include "servers/relay/staleness_monitor.h"

#include "core/virtual_executor.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::Instant;
using firefly::StalenessMonitor;
using firefly::VirtualExecutor;

TEST_GROUP(StalenessMonitorTest)
{
  VirtualExecutor executor;
  std::optional<Instant> confirmedAt;
};

// Operators have to see since when requests are rejected, also if a process has
// never loaded a table.
TEST(StalenessMonitorTest, NoticesThatTheBoundIsExceededAndMetAgain)
{
  StalenessMonitor monitor(
    { .bound = 4500ms }, executor, [this] { return confirmedAt; });
  executor.RunFor(10s);
  monitor.Start();
  CHECK_FALSE(monitor.IsExceeded());
  executor.RunFor(4500ms);
  CHECK_FALSE(monitor.IsExceeded());
  executor.RunFor(100ms);
  CHECK_TRUE(monitor.IsExceeded());
  confirmedAt = executor.Now() - 2s;
  executor.RunFor(100ms);
  CHECK_FALSE(monitor.IsExceeded());
  executor.RunFor(2500ms);
  CHECK_TRUE(monitor.IsExceeded());
}

TEST(StalenessMonitorTest, ChecksNothingWithoutABound)
{
  StalenessMonitor monitor({}, executor, [this] { return confirmedAt; });
  monitor.Start();
  CHECK_FALSE(executor.RunOne());
}

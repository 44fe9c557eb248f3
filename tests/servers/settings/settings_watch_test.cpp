#include "servers/settings/settings_watch.h"

#include <fstream>

#include "core/virtual_executor.h"
#include "tests/process/process_harness.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::SettingsWatch;
using firefly::VirtualExecutor;
using firefly::testing::TemporaryDirectory;

TEST_GROUP(SettingsWatchTest)
{
  VirtualExecutor executor;
  TemporaryDirectory directory;
};

TEST(SettingsWatchTest, AChangeIsNoticedOnce)
{
  const auto file = directory.Write("a.toml", "a = 1");
  int changes = 0;
  const SettingsWatch watch(
    { .file = file, .interval = 1s }, executor, [&] { changes++; });
  executor.RunFor(5s);
  LONGS_EQUAL(0, changes);
  // The same size, within the same second.
  (void)directory.Write("a.toml", "a = 2");
  executor.RunFor(1s);
  LONGS_EQUAL(1, changes);
  executor.RunFor(5s);
  LONGS_EQUAL(1, changes);
}

TEST(SettingsWatchTest, AFileThatIsAwayHasNotChanged)
{
  const auto file = directory.Write("a.toml", "a = 1");
  int changes = 0;
  const SettingsWatch watch(
    { .file = file, .interval = 1s }, executor, [&] { changes++; });
  std::filesystem::remove(file);
  executor.RunFor(3s);
  LONGS_EQUAL(0, changes);
  (void)directory.Write("a.toml", "a = 1");
  executor.RunFor(3s);
  LONGS_EQUAL(0, changes);
}

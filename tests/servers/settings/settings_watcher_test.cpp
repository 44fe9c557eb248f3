#include "servers/settings/settings_watcher.h"

#include <fstream>

#include "core/virtual_executor.h"
#include "tests/process/process_harness.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::SettingsWatcher;
using firefly::VirtualExecutor;
using firefly::testing::TemporaryDirectory;

TEST_GROUP(SettingsWatcherTest)
{
  VirtualExecutor executor;
  TemporaryDirectory directory;
};

TEST(SettingsWatcherTest, ReportsEachChangeOnce)
{
  const auto file = directory.Write("a.toml", "a = 1");
  int changes = 0;
  const SettingsWatcher watch(
    { .file = file, .interval = 1s }, executor, [&] { changes++; });
  executor.RunFor(5s);
  LONGS_EQUAL(0, changes);
  // The size stays the same and the change falls into the same second, so that
  // neither size nor modification time would reveal it.
  (void)directory.Write("a.toml", "a = 2");
  executor.RunFor(1s);
  LONGS_EQUAL(1, changes);
  executor.RunFor(5s);
  LONGS_EQUAL(1, changes);
}

TEST(SettingsWatcherTest, AMissingFileDoesNotCountAsChanged)
{
  const auto file = directory.Write("a.toml", "a = 1");
  int changes = 0;
  const SettingsWatcher watch(
    { .file = file, .interval = 1s }, executor, [&] { changes++; });
  std::filesystem::remove(file);
  executor.RunFor(3s);
  LONGS_EQUAL(0, changes);
  (void)directory.Write("a.toml", "a = 1");
  executor.RunFor(3s);
  LONGS_EQUAL(0, changes);
}

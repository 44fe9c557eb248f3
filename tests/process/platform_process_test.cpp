#include <csignal>

#include "tests/process/process_harness.h"

#include <CppUTest/TestHarness.h>

using firefly::testing::BlockingHttp;
using firefly::testing::ChildProcess;
using firefly::testing::FindFreePort;
using firefly::testing::LoopbackUrl;
using firefly::testing::WaitFor;

TEST_GROUP(PlatformProcessTest){};

TEST(PlatformProcessTest, StandInKeepsItsLogWhileFrozenAndEndsWhenKilled)
{
  const std::uint16_t port = FindFreePort();
  ChildProcess platform(
    { .program = "tests/stand_ins/platform/firefly-standin-platform",
      .arguments = { "--port=" + std::to_string(port) } });
  BlockingHttp http;
  const std::string url = LoopbackUrl(port);
  CHECK_TRUE(WaitFor([&] { return http.Succeeds(url + "/control"); }));
  LONGS_EQUAL(200,
              http.SendRequest("POST", url + "/log/s", R"(["YQ=="])").status);
  platform.Freeze();
  platform.Resume();
  const auto records = http.SendRequest("GET", url + "/log/s?from=0");
  STRCMP_CONTAINS(R"("payload":"YQ==")", records.body.c_str());
  platform.Kill();
  CHECK_TRUE(platform.WasKilledBySignal(SIGKILL));
  LONGS_EQUAL(0, http.SendRequest("GET", url + "/control").status);
}

#pragma once

// One host of a soak. It runs the real relay program as a process, with one
// proxy between callers and the relay and another between the relay and the
// store. It polls the relay's readiness as a load balancer does.

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "core/random.h"
#include "servers/http/http_client.h"
#include "tests/process/process_harness.h"
#include "tests/soak/promise_checker.h"
#include "tests/soak/shifted_clock.h"
#include "tests/soak/tcp_proxy.h"

namespace firefly::soak {

// Port numbers that all hosts share; each host has an IP address of its own.
struct HostPorts
{
  std::uint16_t callers = 0;
  std::uint16_t status = 0;
  std::uint16_t peers = 0;
  std::uint16_t updates = 0;
};

class RelayHost
{
public:
  struct Options
  {
    RelayIndex index;
    std::string zone;
    HostPorts ports;
    std::vector<std::string> seeds;
    std::uint16_t storePort = 0;
    // Receives the settings and the output of the process.
    std::filesystem::path directory;
    std::uint64_t seed = 1;
  };

  // The loopback address of the host with that index.
  static std::string AddressOf(RelayIndex aIndex);

  RelayHost(AsioExecutor& aExecutor,
            HttpClient& aClient,
            Options aOptions,
            PromiseChecker& aChecker);

  // Writes the settings and starts the program. Does nothing after ShutDown().
  void Start();

  // Starts the program after the delay unless it is running by then.
  void StartLater(Duration aDelay);

  // Sends SIGTERM, and SIGKILL if the process still runs after the stop grace.
  void Stop();
  void Kill();
  // Sends SIGSTOP, and SIGCONT after the given time. A second call replaces the
  // time of the first one.
  void Freeze(Duration aDuration);
  // Writes changed settings and sends SIGHUP.
  void Reload();

  [[nodiscard]] bool IsReady() const { return mReady; }
  [[nodiscard]] RelayIndex Index() const { return mOptions.index; }
  // The port of the proxy through which callers reach the relay.
  [[nodiscard]] std::uint16_t CallerPort() const { return mCallerProxy.Port(); }
  [[nodiscard]] TcpProxy& CallerProxy() { return mCallerProxy; }
  [[nodiscard]] TcpProxy& StoreProxy() { return mStoreProxy; }

  // Kills the process and starts no other.
  void ShutDown();

private:
  void WriteSettings();
  void CheckForExit();
  void PollReadiness();
  // Repeatedly sets the relay's wall clock to a wrong or the correct time.
  void StepClock();

  AsioExecutor& mExecutor;
  HttpClient& mClient;
  Options mOptions;
  PromiseChecker& mChecker;
  TcpProxy mCallerProxy;
  TcpProxy mStoreProxy;
  ShiftedClock mClock;
  // A separate generator, so that clock steps do not change the fault plan of a
  // seed.
  Random mClockRandom;
  std::unique_ptr<testing::ChildProcess> mProcess;
  // Whether the process was asked to end or was killed.
  bool mExitExpected = false;
  bool mReady = false;
  bool mShutDown = false;
  int mFailedPolls = 0;
  std::uint32_t mReloads = 0;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
  Timer mExitCheckTimer;
  Timer mPollTimer;
  Timer mClockTimer;
  Timer mStartTimer;
  Timer mKillTimer;
  Timer mResumeTimer;
};

} // namespace firefly::soak

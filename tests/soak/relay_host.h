#pragma once

// One host of a soak: the real relay program as a process, with proxies between
// it and its callers and between it and the store, and the balancer's view of
// whether it is ready.

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "core/random.h"
#include "servers/http/http_client.h"
#include "tests/process/process_harness.h"
#include "tests/soak/shifted_clock.h"
#include "tests/soak/tcp_proxy.h"
#include "tests/soak/witness.h"

namespace firefly::soak {

// Ports that all hosts share, each on an address of its own.
struct HostPorts
{
  std::uint16_t callers = 0;
  std::uint16_t status = 0;
  std::uint16_t peers = 0;
  std::uint16_t facts = 0;
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
    // For the settings and the output of the process.
    std::filesystem::path directory;
    std::uint64_t seed = 1;
  };

  // The address of the host of that number.
  static std::string AddressOf(RelayIndex aIndex);

  RelayHost(AsioExecutor& aExecutor,
            HttpClient& aClient,
            Options aOptions,
            Witness& aWitness);

  void Start();

  // Starts the program again after a while, if it is not running.
  void StartLater(Duration aDelay);

  // SIGTERM; SIGKILL if it has not ended within the grace.
  void Stop();
  void Kill();
  // SIGSTOP, and SIGCONT after that time.
  void Freeze(Duration aFor);
  // Writes its settings anew and sends SIGHUP.
  void Reload();

  [[nodiscard]] bool IsReady() const { return mReady; }
  [[nodiscard]] RelayIndex Index() const { return mOptions.index; }
  // Where callers reach it.
  [[nodiscard]] std::uint16_t CallersPort() const { return mCallers.Port(); }
  [[nodiscard]] TcpProxy& Callers() { return mCallers; }
  [[nodiscard]] TcpProxy& StoreWay() { return mStoreWay; }

  // No process any more; none is started again.
  void ShutDown();

private:
  void WriteSettings();
  void Watch();
  void Poll();
  // Sets the wall clock wrong, or right again, from time to time.
  void StepClock();

  AsioExecutor& mExecutor;
  HttpClient& mClient;
  Options mOptions;
  Witness& mWitness;
  TcpProxy mCallers;
  TcpProxy mStoreWay;
  ShiftedClock mClock;
  // Apart from the plan's, so that clocks change no seed's plan.
  Random mClockRandom;
  std::unique_ptr<testing::ChildProcess> mProcess;
  // The process was asked to end, or was killed.
  bool mEnding = false;
  bool mReady = false;
  bool mShutDown = false;
  int mMisses = 0;
  std::uint32_t mReloads = 0;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
  Timer mWatchTimer;
  Timer mPollTimer;
  Timer mClockTimer;
  Timer mStartTimer;
  Timer mKillTimer;
  Timer mThawTimer;
};

} // namespace firefly::soak

#pragma once

// Simulated callers of a soak. Each caller sends all its requests to one relay
// while its connection is open, even while that relay is stopping. After a
// failure it stays if the relay is still ready, or chooses a random ready one.

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "core/random.h"
#include "servers/http1/backend_pool.h"
#include "tests/soak/promise_checker.h"
#include "tests/soak/relay_host.h"
#include "tests/soak/routing_table_writer.h"

namespace firefly::soak {

using RelayHosts = std::vector<std::unique_ptr<RelayHost>>;

class SimulatedCallers
{
public:
  struct Options
  {
    std::size_t count = 40;
    // The mean time between two requests of one caller.
    Duration pause = std::chrono::milliseconds(250);
    // The share of requests, 0 to 1, whose caller closes the connection after
    // 20 to 219 ms if the answer has not ended by then.
    double leaveRate = 0.05;
    std::uint64_t seed = 1;
  };

  SimulatedCallers(AsioExecutor& aExecutor,
                   Options aOptions,
                   RelayHosts& aHosts,
                   const RoutingTableWriter& aTableWriter,
                   PromiseChecker& aChecker);
  ~SimulatedCallers();
  SimulatedCallers(const SimulatedCallers&) = delete;
  SimulatedCallers& operator=(const SimulatedCallers&) = delete;

  void Start();
  // Callers start no further requests; running ones continue.
  void Stop() { mStopped = true; }

private:
  class Caller;

  AsioExecutor& mExecutor;
  Options mOptions;
  RelayHosts& mHosts;
  const RoutingTableWriter& mTableWriter;
  PromiseChecker& mChecker;
  std::vector<std::unique_ptr<Caller>> mCallers;
  bool mStopped = false;
};

} // namespace firefly::soak

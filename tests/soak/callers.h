#pragma once

// The callers of a soak. Each keeps to one relay while its connection lives,
// also while that relay stops, and goes to another ready one after a failure.

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "core/random.h"
#include "servers/http1/backend_pool.h"
#include "tests/soak/operators.h"
#include "tests/soak/relay_host.h"
#include "tests/soak/witness.h"

namespace firefly::soak {

using RelayHosts = std::vector<std::unique_ptr<RelayHost>>;

class Callers
{
public:
  struct Options
  {
    std::size_t count = 40;
    // Between two requests of one caller, on average.
    Duration pause = std::chrono::milliseconds(250);
    // The part of requests whose caller leaves early.
    double leaving = 0.05;
    std::uint64_t seed = 1;
  };

  Callers(AsioExecutor& aExecutor,
          Options aOptions,
          RelayHosts& aHosts,
          const Operators& aOperators,
          Witness& aWitness);
  ~Callers();
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  void Start();
  // No further requests.
  void Stop() { mStopped = true; }

private:
  class Caller;

  AsioExecutor& mExecutor;
  Options mOptions;
  RelayHosts& mHosts;
  const Operators& mOperators;
  Witness& mWitness;
  std::vector<std::unique_ptr<Caller>> mCallers;
  bool mStopped = false;
};

} // namespace firefly::soak

#pragma once

// Callers of a soak that try to fill the relays: each sends most of a large
// body, announced or chunked, and then nothing more while its connection stays
// open. A caller whose connection was closed starts again at a random relay.

#include <memory>
#include <vector>

#include "core/random.h"
#include "tests/soak/simulated_callers.h"

namespace firefly::soak {

class UntrustedCallers
{
public:
  struct Options
  {
    // Their bodies together exceed the memory that a relay holds for callers.
    std::size_t callersPerRelay = 5;
    std::uint64_t seed = 1;
  };

  UntrustedCallers(AsioExecutor& aExecutor,
                   Options aOptions,
                   RelayHosts& aHosts);
  ~UntrustedCallers();
  UntrustedCallers(const UntrustedCallers&) = delete;
  UntrustedCallers& operator=(const UntrustedCallers&) = delete;

  void Start();
  // Closes all connections.
  void Stop();

private:
  class Caller;

  AsioExecutor& mExecutor;
  Options mOptions;
  RelayHosts& mHosts;
  std::vector<std::shared_ptr<Caller>> mCallers;
};

} // namespace firefly::soak

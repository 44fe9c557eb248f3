#pragma once

// The operators of a soak: they write versions of the routing table to the
// store. Each version adds a route or takes one away, so that callers can tell
// which one is in force.

#include <cstdint>
#include <deque>
#include <set>
#include <string>

#include "core/executor.h"
#include "core/random.h"
#include "tests/soak/store.h"
#include "tests/soak/witness.h"

namespace firefly::soak {

// The routes that every version has.
inline constexpr const char* kOnceRoute = "book";
inline constexpr const char* kIdempotentRoute = "look-up";
inline constexpr const char* kStreamRoute = "ask";
inline constexpr const char* kResumableRoute = "ask-again";

inline constexpr const char* kCallersHost = "soak.example";
inline constexpr const char* kEngineService = "assistant";
inline constexpr const char* kPlainService = "desk";

class Operators
{
public:
  Operators(Executor& aExecutor,
            Store& aStore,
            Witness& aWitness,
            std::uint64_t aSeed);

  // Writes the next version. False while the store is away.
  bool Change();

  // A route that was added or removed of late, to ask for.
  [[nodiscard]] std::string Probe(Random& aRandom) const;

private:
  [[nodiscard]] std::string Compose(const std::set<std::string>& aExtra,
                                    std::uint64_t aVersion) const;

  Executor& mExecutor;
  Store& mStore;
  Witness& mWitness;
  Random mRandom;
  std::uint64_t mVersion = 0;
  std::uint64_t mRoutes = 0;
  std::set<std::string> mExtra;
  std::deque<std::string> mRecent;
};

} // namespace firefly::soak

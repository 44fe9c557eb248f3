#pragma once

// Writes versions of the routing table to the store, as operators do. Each
// version adds or removes one route, so that the answers of a relay show which
// version is in force there.

#include <cstdint>
#include <deque>
#include <set>
#include <string>

#include "core/executor.h"
#include "core/random.h"
#include "tests/soak/fake_store.h"
#include "tests/soak/promise_checker.h"

namespace firefly::soak {

// The routes that every version contains.
inline constexpr const char* kOnceRoute = "book";
inline constexpr const char* kIdempotentRoute = "look-up";
inline constexpr const char* kStreamRoute = "ask";
inline constexpr const char* kResumableRoute = "ask-again";

inline constexpr const char* kCallersHost = "soak.example";
inline constexpr const char* kEngineService = "assistant";
inline constexpr const char* kPlainService = "desk";

class RoutingTableWriter
{
public:
  RoutingTableWriter(Executor& aExecutor,
                     FakeStore& aStore,
                     PromiseChecker& aChecker,
                     std::uint64_t aSeed);

  // Writes the next version. Returns false while the store is unavailable.
  bool WriteNextVersion();

  // Returns one of the routes that were added or removed most recently.
  [[nodiscard]] std::string PickRecentRoute(Random& aRandom) const;

private:
  [[nodiscard]] std::string ComposeTable(
    const std::set<std::string>& aExtraRoutes,
    std::uint64_t aVersion) const;

  Executor& mExecutor;
  FakeStore& mStore;
  PromiseChecker& mChecker;
  Random mRandom;
  std::uint64_t mVersion = 0;
  std::uint64_t mChanges = 0;
  std::set<std::string> mExtraRoutes;
  std::deque<std::string> mRecentRoutes;
};

} // namespace firefly::soak

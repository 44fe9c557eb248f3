#include "tests/soak/operators.h"

#include <nlohmann/json.hpp>

namespace firefly::soak {

namespace {

constexpr std::size_t kMostExtra = 6;
constexpr std::size_t kMostRecent = 4;
constexpr int kPlainTimeoutMs = 2500;
constexpr int kStreamTimeoutMs = 5000;

nlohmann::json
MakeRoute(const std::string& aName,
          const char* aKind,
          const char* aService,
          bool aResumable,
          int aAttempts)
{
  const bool isStream = std::string_view(aKind) == "streaming";
  return { { "name", aName },
           { "host", kCallersHost },
           { "pathPrefix", "/" + aName + "/" },
           { "kind", aKind },
           { "timeoutMs", isStream ? kStreamTimeoutMs : kPlainTimeoutMs },
           { "targetLatencyMs", 600 },
           { "priority", 1 },
           { "service", aService },
           { "maxAttempts", aAttempts },
           { "sticky", isStream },
           { "resumable", aResumable },
           { "targetGapMs", 200 } };
}

} // namespace

Operators::Operators(Executor& aExecutor,
                     Store& aStore,
                     Witness& aWitness,
                     std::uint64_t aSeed)
  : mExecutor(aExecutor)
  , mStore(aStore)
  , mWitness(aWitness)
  , mRandom(aSeed)
{
}

std::string
Operators::Compose(const std::set<std::string>& aExtra,
                   std::uint64_t aVersion) const
{
  auto routes = nlohmann::json::array(
    { MakeRoute(kOnceRoute, "non_idempotent", kPlainService, false, 1),
      MakeRoute(kIdempotentRoute, "idempotent", kPlainService, false, 2),
      MakeRoute(kStreamRoute, "streaming", kEngineService, false, 1),
      MakeRoute(kResumableRoute, "streaming", kEngineService, true, 2) });
  for (const auto& it : aExtra) {
    routes.push_back(MakeRoute(it, "idempotent", kPlainService, false, 2));
  }
  return nlohmann::json{
    { "version", aVersion },
    { "routes", routes },
    { "services",
      { { { "name", kPlainService }, { "maxConns", 100 } },
        { { "name", kEngineService },
          { "maxConns", 300 },
          { "engine", { { "slots", 8 }, { "stride", 12 } } } } } },
    { "limits",
      { { "maxHeaderBytes", 16384 },
        { "maxBodyBytes", 4194304 },
        { "headerTimeoutMs", 3000 },
        { "idleTimeoutMs", 15000 } } }
  }.dump();
}

bool
Operators::Change()
{
  auto extra = mExtra;
  std::string changed;
  if (!extra.empty() && (extra.size() >= kMostExtra || mRandom.Chance(0.4))) {
    const auto it = std::next(
      extra.begin(), static_cast<std::ptrdiff_t>(mRandom.Below(extra.size())));
    changed = *it;
    extra.erase(it);
  } else {
    changed = "extra-" + std::to_string(mRoutes + 1);
    extra.insert(changed);
  }
  // Versions grow in uneven steps.
  const auto version = mVersion + 1 + mRandom.Below(5);
  if (!mStore.Put("keyed.op", "config", Compose(extra, version))) {
    return false;
  }
  mRoutes++;
  mVersion = version;
  mExtra = extra;
  mRecent.push_front(changed);
  if (mRecent.size() > kMostRecent) {
    mRecent.pop_back();
  }
  auto routes = mExtra;
  routes.insert(
    { kOnceRoute, kIdempotentRoute, kStreamRoute, kResumableRoute });
  mWitness.OnConfiguration(mVersion, routes, mExecutor.Now());
  return true;
}

std::string
Operators::Probe(Random& aRandom) const
{
  return mRecent.empty() ? kIdempotentRoute
                         : mRecent[aRandom.Below(mRecent.size())];
}

} // namespace firefly::soak

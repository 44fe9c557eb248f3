#include "tests/soak/routing_table_writer.h"

#include <nlohmann/json.hpp>

namespace firefly::soak {

namespace {

constexpr std::size_t kMaxExtraRoutes = 6;
constexpr std::size_t kMaxRecentRoutes = 4;
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

RoutingTableWriter::RoutingTableWriter(Executor& aExecutor,
                                       FakeStore& aStore,
                                       PromiseChecker& aChecker,
                                       std::uint64_t aSeed)
  : mExecutor(aExecutor)
  , mStore(aStore)
  , mChecker(aChecker)
  , mRandom(aSeed)
{
}

std::string
RoutingTableWriter::ComposeTable(const std::set<std::string>& aExtraRoutes,
                                 std::uint64_t aVersion) const
{
  auto routes = nlohmann::json::array(
    { MakeRoute(kOnceRoute, "non_idempotent", kPlainService, false, 3),
      MakeRoute(kIdempotentRoute, "idempotent", kPlainService, false, 2),
      MakeRoute(kStreamRoute, "streaming", kEngineService, false, 1),
      MakeRoute(kResumableRoute, "streaming", kEngineService, true, 2) });
  for (const auto& it : aExtraRoutes) {
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
RoutingTableWriter::WriteNextVersion()
{
  auto extra = mExtraRoutes;
  std::string changed;
  if (!extra.empty() &&
      (extra.size() >= kMaxExtraRoutes || mRandom.Chance(0.4))) {
    const auto it = std::next(
      extra.begin(), static_cast<std::ptrdiff_t>(mRandom.Below(extra.size())));
    changed = *it;
    extra.erase(it);
  } else {
    changed = "extra-" + std::to_string(mChanges + 1);
    extra.insert(changed);
  }
  // Version numbers may have gaps, so they grow by a random step.
  const auto version = mVersion + 1 + mRandom.Below(5);
  if (!mStore.Put("keyed.op", "config", ComposeTable(extra, version))) {
    return false;
  }
  mChanges++;
  mVersion = version;
  mExtraRoutes = extra;
  mRecentRoutes.push_front(changed);
  if (mRecentRoutes.size() > kMaxRecentRoutes) {
    mRecentRoutes.pop_back();
  }
  auto routes = mExtraRoutes;
  routes.insert(
    { kOnceRoute, kIdempotentRoute, kStreamRoute, kResumableRoute });
  mChecker.OnConfiguration(mVersion, routes, mExecutor.Now());
  return true;
}

std::string
RoutingTableWriter::PickRecentRoute(Random& aRandom) const
{
  return mRecentRoutes.empty()
           ? kIdempotentRoute
           : mRecentRoutes[aRandom.Below(mRecentRoutes.size())];
}

} // namespace firefly::soak

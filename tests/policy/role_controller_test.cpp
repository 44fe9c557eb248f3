#include "policy/role_controller.h"

#include <map>
#include <set>
#include <string>

#include "core/random.h"
#include "tests/policy/fakes.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::BackendId;
using firefly::DomainId;
using firefly::Instant;
using firefly::Random;
using firefly::policy::BackendState;
using firefly::policy::CostRoleController;
using firefly::policy::EngineRole;
using firefly::policy::FleetDemand;
using firefly::policy::FleetView;
using firefly::policy::test::MakeEngine;

namespace {

constexpr int kEngines = 9;

CostRoleController::Options
Options()
{
  CostRoleController::Options options;
  options.capacities.mixed = { 8900, 1070, 24, 0.022 };
  options.capacities.prefill = { 12500, 588, 16, 0.027 };
  options.capacities.decode = { 3000, 3050, 64, 0.021 };
  return options;
}

FleetView
Fleet(EngineRole aRole)
{
  FleetView fleet;
  for (int i = 0; i < kEngines; ++i) {
    fleet.Upsert(
      MakeEngine("e" + std::to_string(i), aRole, "d" + std::to_string(i % 3)));
  }
  return fleet;
}

} // namespace

TEST_GROUP(RoleControllerTest){};

TEST(RoleControllerTest, LeavesAFleetAloneThatServesItsDemand)
{
  CostRoleController controller(Options());
  const auto fleet = Fleet(EngineRole::kMixed);
  for (int second = 0; second < 100; ++second) {
    const Instant now(second * 1s);
    CHECK_TRUE(controller.Decide(fleet, { 50000, 8000 }, now).empty());
  }
}

// A fleet of the wrong roles is changed until it serves its demand, one engine
// at a time in each failure domain.
TEST(RoleControllerTest, MendsAFleetOfTheWrongRolesDomainByDomain)
{
  CostRoleController controller(Options());
  auto fleet = Fleet(EngineRole::kPrefill);
  const FleetDemand demand{ 20000, 14000 };
  std::map<BackendId, Instant> away;
  int changes = 0;
  for (int second = 0; second < 200; ++second) {
    const Instant now(second * 1s);
    for (auto it = away.begin(); it != away.end();) {
      if (now - it->second < 8s) {
        ++it;
        continue;
      }
      fleet.SetRole(it->first,
                    EngineRole::kDecode,
                    Options().capacities.Of(EngineRole::kDecode));
      fleet.SetState(it->first, BackendState::kOpen);
      controller.OnFinished(it->first, now);
      it = away.erase(it);
    }
    for (const auto& change : controller.Decide(fleet, demand, now)) {
      changes++;
      controller.OnStarted(change, now);
      fleet.SetState(change.backend, BackendState::kDraining);
      away[change.backend] = now;
      std::set<DomainId> domains;
      for (const auto& [id, since] : away) {
        CHECK_TRUE(domains.insert(fleet.Find(id)->domain).second);
      }
    }
  }
  // What is left unserved is too little to act on.
  double output = 0;
  for (const auto& engine : fleet.All()) {
    output += Options().capacities.Of(engine.role).decodeTokensPerSecond;
  }
  CHECK(output >= (1 - Options().deadband) * demand.outputTokensPerSecond);
  CHECK(changes <= kEngines);
}

// Whatever the demand does, no engine goes back to its former role before the
// change has paid for itself.
TEST(RoleControllerTest, NeverChangesBackWithinThePaybackTime)
{
  int changes = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Random random(seed);
    CostRoleController controller(Options());
    auto fleet = Fleet(EngineRole::kMixed);
    struct Past
    {
      EngineRole before;
      Instant until;
    };
    std::map<BackendId, Past> past;
    FleetDemand demand{ 50000, 9000 };
    for (int second = 0; second < 600; ++second) {
      const Instant now(second * 1s);
      if (second % 7 == 0) {
        demand.promptTokensPerSecond = 150000 * random.Uniform();
        demand.outputTokensPerSecond = 25000 * random.Uniform();
      }
      for (const auto& change : controller.Decide(fleet, demand, now)) {
        changes++;
        const auto before = fleet.Find(change.backend)->role;
        const auto it = past.find(change.backend);
        if (it != past.end() && it->second.before == change.role) {
          CHECK(now >= it->second.until);
        }
        controller.OnStarted(change, now);
        past[change.backend] = { before, now + controller.Payback() };
        CHECK(controller.Payback() >= Options().leastPayback);
        fleet.SetRole(
          change.backend, change.role, Options().capacities.Of(change.role));
        controller.OnFinished(change.backend, now);
      }
    }
  }
  CHECK(changes > 20);
}

#include "policy/role_controller.h"

#include <map>
#include <set>
#include <string>

#include "core/random.h"
#include "tests/policy/builders.h"

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
MakeOptions()
{
  CostRoleController::Options options;
  options.capacities.mixed = { 8900, 1070, 24, 0.022 };
  options.capacities.prefill = { 12500, 588, 16, 0.027 };
  options.capacities.decode = { 3000, 3050, 64, 0.021 };
  return options;
}

FleetView
MakeFleet(EngineRole aRole)
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

TEST(RoleControllerTest, ChangesNothingWhileTheFleetServesItsDemand)
{
  CostRoleController controller(MakeOptions());
  const auto fleet = MakeFleet(EngineRole::kMixed);
  for (int second = 0; second < 100; ++second) {
    const Instant now(second * 1s);
    CHECK_TRUE(controller.Decide(fleet, { 50000, 8000 }, now).empty());
  }
}

// A fleet whose roles do not match the demand is changed until it serves the
// demand, one engine at a time in each failure domain.
TEST(RoleControllerTest, ChangesUnsuitableRolesOneEnginePerDomainAtATime)
{
  CostRoleController controller(MakeOptions());
  auto fleet = MakeFleet(EngineRole::kPrefill);
  const FleetDemand demand{ 20000, 14000 };
  std::map<BackendId, Instant> outOfService;
  int changes = 0;
  for (int second = 0; second < 200; ++second) {
    const Instant now(second * 1s);
    for (auto it = outOfService.begin(); it != outOfService.end();) {
      if (now - it->second < 8s) {
        ++it;
        continue;
      }
      fleet.SetRole(it->first,
                    EngineRole::kDecode,
                    MakeOptions().capacities.Of(EngineRole::kDecode));
      fleet.SetState(it->first, BackendState::kOpen);
      controller.OnFinished(it->first, now);
      it = outOfService.erase(it);
    }
    for (const auto& change : controller.Decide(fleet, demand, now)) {
      changes++;
      controller.OnStarted(change, now);
      fleet.SetState(change.backend, BackendState::kDraining);
      outOfService[change.backend] = now;
      std::set<DomainId> domains;
      for (const auto& [id, since] : outOfService) {
        CHECK_TRUE(domains.insert(fleet.Find(id)->domain).second);
      }
    }
  }
  // The demand that is still unserved is below the deadband.
  double output = 0;
  for (const auto& engine : fleet.All()) {
    output += MakeOptions().capacities.Of(engine.role).decodeTokensPerSecond;
  }
  CHECK(output >= (1 - MakeOptions().deadband) * demand.outputTokensPerSecond);
  CHECK(changes <= kEngines);
}

// However the demand varies, no engine returns to its former role within the
// payback time of its change.
TEST(RoleControllerTest, NeverChangesBackWithinThePaybackTime)
{
  int changes = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Random random(seed);
    CostRoleController controller(MakeOptions());
    auto fleet = MakeFleet(EngineRole::kMixed);
    struct PastChange
    {
      EngineRole formerRole;
      Instant paidBackAt;
    };
    std::map<BackendId, PastChange> pastChanges;
    FleetDemand demand{ 50000, 9000 };
    for (int second = 0; second < 600; ++second) {
      const Instant now(second * 1s);
      if (second % 7 == 0) {
        demand.promptTokensPerSecond = 150000 * random.Uniform();
        demand.outputTokensPerSecond = 25000 * random.Uniform();
      }
      for (const auto& change : controller.Decide(fleet, demand, now)) {
        changes++;
        const auto formerRole = fleet.Find(change.backend)->role;
        const auto it = pastChanges.find(change.backend);
        if (it != pastChanges.end() && it->second.formerRole == change.role) {
          CHECK(now >= it->second.paidBackAt);
        }
        controller.OnStarted(change, now);
        pastChanges[change.backend] = { formerRole,
                                        now + controller.Payback() };
        CHECK(controller.Payback() >= MakeOptions().minPayback);
        fleet.SetRole(change.backend,
                      change.role,
                      MakeOptions().capacities.Of(change.role));
        controller.OnFinished(change.backend, now);
      }
    }
  }
  CHECK(changes > 20);
}

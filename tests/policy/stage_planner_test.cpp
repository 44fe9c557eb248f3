#include "policy/stage_planner.h"

#include <string>

#include "tests/policy/fakes.h"

#include <CppUTest/TestHarness.h>

using firefly::policy::BackendState;
using firefly::policy::EngineRole;
using firefly::policy::FleetView;
using firefly::policy::StagePlanner;
using firefly::policy::test::MakeEngine;

TEST_GROUP(StagePlannerTest)
{
  FleetView fleet;
  StagePlanner planner{ { .promptShare = 0.72 } };

  void Fill(int aPrompts, int aOutputs)
  {
    for (int i = 0; i < aPrompts + aOutputs; ++i) {
      fleet.Upsert(
        MakeEngine("e" + std::to_string(i),
                   i < aPrompts ? EngineRole::kPrefill : EngineRole::kDecode,
                   "d" + std::to_string(i % 3)));
    }
  }

  int Count(EngineRole aRole, bool aHadTraffic)
  {
    int n = 0;
    for (const auto& it : planner.Plan(fleet, aHadTraffic)) {
      n += it.role == aRole ? 1 : 0;
    }
    return n;
  }
};

TEST(StagePlannerTest, AFreshFleetIsBroughtToItsShare)
{
  Fill(5, 7);
  LONGS_EQUAL(4, Count(EngineRole::kPrefill, false));
  LONGS_EQUAL(0, Count(EngineRole::kDecode, false));
}

TEST(StagePlannerTest, UnderTrafficASmallShortfallIsBorne)
{
  Fill(7, 5);
  LONGS_EQUAL(0, Count(EngineRole::kPrefill, true));
  LONGS_EQUAL(2, Count(EngineRole::kPrefill, false));
}

TEST(StagePlannerTest, UnderTrafficALargeShortfallIsMadeUp)
{
  Fill(4, 8);
  LONGS_EQUAL(5, Count(EngineRole::kPrefill, true));
}

TEST(StagePlannerTest, EnoughEnginesKeepMakingOutputs)
{
  Fill(3, 0);
  LONGS_EQUAL(2, Count(EngineRole::kDecode, true));
}

TEST(StagePlannerTest, EnginesThatLeaveOrDoBothAreLeftAlone)
{
  Fill(5, 7);
  fleet.SetState(firefly::BackendId("e11"), BackendState::kDraining);
  fleet.Upsert(MakeEngine("m", EngineRole::kMixed));
  for (const auto& it : planner.Plan(fleet, false)) {
    CHECK(it.backend.Value() != "e11");
    CHECK(it.backend.Value() != "m");
  }
}

TEST(StagePlannerTest, NoFailureDomainIsLeftWithoutOutputs)
{
  Fill(3, 9);
  const auto changes = planner.Plan(fleet, false);
  LONGS_EQUAL(6, changes.size());
  std::map<std::string, int> taken;
  for (const auto& it : changes) {
    taken[fleet.Find(it.backend)->domain.Value()]++;
  }
  for (const auto& [domain, n] : taken) {
    LONGS_EQUAL(2, n);
  }
}

TEST(StagePlannerTest, WithoutAShareNothingChanges)
{
  Fill(1, 11);
  const StagePlanner off{ {} };
  CHECK_TRUE(off.Plan(fleet, false).empty());
}

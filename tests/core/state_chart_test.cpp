#include "core/state_chart.h"

#include <CppUTest/TestHarness.h>

using firefly::StateChart;
using firefly::StateMachine;

namespace {

StateChart::Options
DoorOptions()
{
  return { .name = "door",
           .initial = "closed",
           .states = { "closed", "open", "gone" },
           .finals = { "gone" },
           .transitions = { { "closed", "pull", "open" },
                            { "open", "push", "closed" },
                            { "open", "remove", "gone" } } };
}

} // namespace

TEST_GROUP(StateChartTest){};

TEST(StateChartTest, MakesOnlyTransitionsOfTheChart)
{
  const auto chart = StateChart::Create(DoorOptions());
  CHECK_TRUE(chart.has_value());
  StateMachine door(*chart);
  CHECK_FALSE(door.Fire("push"));
  CHECK_TRUE(door.Is("closed"));
  CHECK_TRUE(door.Fire("pull"));
  CHECK_TRUE(door.Fire("remove"));
  CHECK_TRUE(door.IsFinal());
}

TEST(StateChartTest, RejectsAnUndeclaredState)
{
  auto options = DoorOptions();
  options.transitions[0].to = "ajar";
  CHECK_FALSE(StateChart::Create(options).has_value());
}

TEST(StateChartTest, RejectsAnUnreachableState)
{
  auto options = DoorOptions();
  options.states.emplace_back("stuck");
  const auto chart = StateChart::Create(options);
  CHECK_FALSE(chart.has_value());
  STRCMP_EQUAL("chart 'door': state 'stuck' can't be reached",
               chart.error().message.c_str());
}

TEST(StateChartTest, RejectsAStateWithNoPathToAFinalState)
{
  auto options = DoorOptions();
  options.states.emplace_back("stuck");
  options.transitions.push_back({ "open", "jam", "stuck" });
  const auto chart = StateChart::Create(options);
  CHECK_FALSE(chart.has_value());
  STRCMP_EQUAL("chart 'door': state 'stuck' has no way to a final state",
               chart.error().message.c_str());
}

TEST(StateChartTest, RejectsTwoTransitionsForOneEvent)
{
  auto options = DoorOptions();
  options.transitions.push_back({ "closed", "pull", "gone" });
  CHECK_FALSE(StateChart::Create(options).has_value());
}

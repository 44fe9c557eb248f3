#pragma once

// State charts: the states, events and transitions of an object with a life
// cycle, such as a request or a booking. The code interprets the chart at run
// time, so that it makes no transition that the chart does not contain.

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace firefly {

// Describes an invalid chart in one line for the operator.
struct ChartError
{
  std::string message;
};

// A validated chart; immutable and shared by all its state machines.
class StateChart
{
public:
  struct Transition
  {
    std::string from;
    std::string event;
    std::string to;
  };

  struct Options
  {
    std::string name;
    std::string initial;
    std::vector<std::string> states;
    std::vector<std::string> finals;
    std::vector<Transition> transitions;
  };

  // Validates the chart. Every state that is referred to must be declared.
  // Every state must be reachable from the initial state and, if the chart has
  // final states, have a path to one of them. A state has at most one
  // transition for each event, and a final state has none.
  static tl::expected<StateChart, ChartError> Create(Options aOptions);

  [[nodiscard]] const std::string& Name() const { return mOptions.name; }
  [[nodiscard]] const std::string& Initial() const { return mOptions.initial; }
  [[nodiscard]] const Options& Definition() const { return mOptions; }
  [[nodiscard]] bool IsFinal(std::string_view aState) const;

  // The state that the event leads to, or null if the chart has no such
  // transition.
  [[nodiscard]] const std::string* Next(const std::string& aState,
                                        const std::string& aEvent) const;

private:
  explicit StateChart(Options aOptions);

  Options mOptions;
  std::map<std::pair<std::string, std::string>, std::string> mNext;
};

// The current state of one object that follows a chart. The chart must outlive
// the machine.
class StateMachine
{
public:
  explicit StateMachine(const StateChart& aChart);

  [[nodiscard]] const std::string& State() const { return *mState; }
  [[nodiscard]] bool Is(std::string_view aState) const
  {
    return *mState == aState;
  }
  [[nodiscard]] bool IsFinal() const { return mChart->IsFinal(*mState); }

  // Makes the event's transition. Returns false and keeps the state if the
  // chart has none.
  bool Fire(const std::string& aEvent);

private:
  const StateChart* mChart;
  const std::string* mState;
};

} // namespace firefly

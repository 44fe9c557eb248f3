#pragma once

// State charts: the states, events and transitions of a thing with a life,
// such as a request or a booking. The code interprets the chart, so that no
// transition happens that the chart does not show.

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace firefly {

// What is wrong with a chart, as a line for the operator.
struct ChartError
{
  std::string message;
};

// A checked chart; immutable and shared by all its machines.
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

  // Checks the chart: each state known, reachable from the initial one, and
  // with a way to a final state if there are final states; at most one
  // transition for each state and event.
  static tl::expected<StateChart, ChartError> Create(Options aOptions);

  [[nodiscard]] const std::string& Name() const { return mOptions.name; }
  [[nodiscard]] const std::string& Initial() const { return mOptions.initial; }
  [[nodiscard]] const Options& Definition() const { return mOptions; }
  [[nodiscard]] bool IsFinal(std::string_view aState) const;

  // The state after the event, or null when the chart has no such transition.
  [[nodiscard]] const std::string* Next(const std::string& aState,
                                        const std::string& aEvent) const;

private:
  explicit StateChart(Options aOptions);

  Options mOptions;
  std::map<std::pair<std::string, std::string>, std::string> mNext;
};

// One instance of a chart. The chart must outlive it.
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

  // Takes the event's transition; false, and no change, if there is none.
  bool Fire(const std::string& aEvent);

private:
  const StateChart* mChart;
  const std::string* mState;
};

} // namespace firefly

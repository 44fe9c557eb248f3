#include "core/state_chart.h"

#include <algorithm>
#include <set>
#include <utility>

namespace firefly {

namespace {

using Options = StateChart::Options;

bool
Contains(const std::vector<std::string>& aNames, std::string_view aName)
{
  return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
}

// The states that can be reached from the given ones by following the
// transitions forwards or backwards, including the given ones.
std::set<std::string>
FindReachable(const Options& aOptions,
              std::set<std::string> aFrom,
              bool aBackwards)
{
  bool changed = true;
  while (changed) {
    changed = false;
    for (const auto& it : aOptions.transitions) {
      const auto& source = aBackwards ? it.to : it.from;
      const auto& target = aBackwards ? it.from : it.to;
      if (aFrom.contains(source) && aFrom.insert(target).second) {
        changed = true;
      }
    }
  }
  return aFrom;
}

std::string
FindUnknownState(const Options& aOptions)
{
  if (!Contains(aOptions.states, aOptions.initial)) {
    return aOptions.initial;
  }
  for (const auto& it : aOptions.finals) {
    if (!Contains(aOptions.states, it)) {
      return it;
    }
  }
  for (const auto& it : aOptions.transitions) {
    if (!Contains(aOptions.states, it.from)) {
      return it.from;
    }
    if (!Contains(aOptions.states, it.to)) {
      return it.to;
    }
  }
  return {};
}

std::string
FindDefect(const Options& aOptions)
{
  if (const auto unknown = FindUnknownState(aOptions); !unknown.empty()) {
    return "unknown state '" + unknown + "'";
  }
  std::set<std::pair<std::string, std::string>> seen;
  for (const auto& it : aOptions.transitions) {
    if (!seen.emplace(it.from, it.event).second) {
      return "two transitions from '" + it.from + "' on '" + it.event + "'";
    }
    if (Contains(aOptions.finals, it.from)) {
      return "final state '" + it.from + "' has a transition";
    }
  }
  const auto reachable = FindReachable(aOptions, { aOptions.initial }, false);
  const auto canReachFinal = FindReachable(
    aOptions, { aOptions.finals.begin(), aOptions.finals.end() }, true);
  for (const auto& it : aOptions.states) {
    if (!reachable.contains(it)) {
      return "state '" + it + "' can't be reached";
    }
    if (!aOptions.finals.empty() && !canReachFinal.contains(it)) {
      return "state '" + it + "' has no way to a final state";
    }
  }
  return {};
}

} // namespace

tl::expected<StateChart, ChartError>
StateChart::Create(Options aOptions)
{
  const auto defect = FindDefect(aOptions);
  if (!defect.empty()) {
    return tl::unexpected(
      ChartError{ "chart '" + aOptions.name + "': " + defect });
  }
  return StateChart(std::move(aOptions));
}

StateChart::StateChart(Options aOptions)
  : mOptions(std::move(aOptions))
{
  for (const auto& it : mOptions.transitions) {
    mNext.emplace(std::pair(it.from, it.event), it.to);
  }
}

bool
StateChart::IsFinal(std::string_view aState) const
{
  return Contains(mOptions.finals, aState);
}

const std::string*
StateChart::Next(const std::string& aState, const std::string& aEvent) const
{
  const auto it = mNext.find(std::pair(aState, aEvent));
  return it == mNext.end() ? nullptr : &it->second;
}

StateMachine::StateMachine(const StateChart& aChart)
  : mChart(&aChart)
  , mState(&aChart.Initial())
{
}

bool
StateMachine::Fire(const std::string& aEvent)
{
  const auto* next = mChart->Next(*mState, aEvent);
  if (next == nullptr) {
    return false;
  }
  mState = next;
  return true;
}

} // namespace firefly

#pragma once

// What the bench offers: the deployments, the scenarios and their requests.

#include <cstdint>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "core/clock.h"
#include "policy/request_info.h"

namespace firefly::bench {

// Where the fleet stands, and what it answers.
struct Deployment
{
  std::string name;
  std::uint32_t domains = 3;
  std::uint32_t engines = 9;
  // One way between entries and engines.
  Duration oneWay{};
  // One way between callers and entries.
  Duration callerOneWay{};
};

// "macaskill" or "hooghly"; null if the name is another.
const Deployment*
FindDeployment(const std::string& aName);
std::vector<std::string>
DeploymentNames();

// The shape of a type of request.
struct TypeShape
{
  std::string name;
  double worth = 1;
  Duration lateAfter{};
  // Tokens of the prompt that a standing document makes up, and the rest.
  std::uint32_t sharedTokens = 0;
  std::uint32_t ownTokens = 0;
  std::uint32_t outputTokens = 0;
  // Standing documents of this type.
  std::uint32_t documents = 0;
};

// A stretch of time with a mix and a load.
struct Phase
{
  Duration length{};
  // Offered work as a part of the fleet's capacity.
  double load = 0;
  // Parts of the types, in the order of RequestTypes().
  std::vector<double> mix;
};

// Engines made slow for a time.
struct Slowdown
{
  Duration from{};
  Duration until{};
  std::uint32_t engines = 0;
  double factor = 1;
};

// A named course of events.
struct Scenario
{
  std::string name;
  std::vector<Phase> phases;
  std::vector<Slowdown> slowdowns;
  // When a caller begins to send a request that crashes engines.
  std::vector<Duration> poisons;
};

// All types of request.
const std::vector<TypeShape>&
RequestTypes();

// The scenario of that name; steady scenarios run at aLoad.
tl::expected<Scenario, std::string>
FindScenario(const std::string& aName, double aLoad);

// The five scenarios that policies are compared on.
std::vector<std::string>
ScenarioNames();

// One request of the run.
struct Arrival
{
  policy::RequestInfo info;
  std::uint32_t outputTokens = 0;
  // Prompt tokens that no other request shares.
  std::uint32_t ownTokens = 0;
  bool poison = false;
};

// Engine seconds that a request takes at the least.
double
LeastEngineSeconds(std::uint32_t aPromptTokens, std::uint32_t aOutputTokens);

// All requests of the run in order of arrival; the same seed gives the same.
std::vector<Arrival>
MakeArrivals(const Deployment& aDeployment,
             const Scenario& aScenario,
             std::uint64_t aSeed);

// When the whole answer is due, counted from the arrival.
Duration
AnswerDue(const Arrival& aArrival);

} // namespace firefly::bench

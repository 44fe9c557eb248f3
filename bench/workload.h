#pragma once

// The workload of the simulation: deployments, scenarios and their requests.

#include <cstdint>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "core/clock.h"
#include "policy/request_info.h"

namespace firefly::bench {

// The size of a fleet and its network delays.
struct Deployment
{
  std::string name;
  std::uint32_t domains = 3;
  std::uint32_t engines = 9;
  // One-way delay between entries and engines.
  Duration oneWayDelay{};
  // One-way delay between callers and entries.
  Duration callerOneWayDelay{};
};

// Finds "macaskill" or "hooghly"; null for any other name.
const Deployment*
FindDeployment(const std::string& aName);
std::vector<std::string>
DeploymentNames();

// The worth, latency target and sizes of a request type.
struct RequestTypeSpec
{
  std::string name;
  double worth = 1;
  // The deadline of the first token, relative to the arrival.
  Duration lateAfter{};
  // Prompt tokens of a document that requests share, and the medians of the
  // other prompt tokens and of the output tokens.
  std::uint32_t sharedTokens = 0;
  std::uint32_t ownTokens = 0;
  std::uint32_t outputTokens = 0;
  // Number of documents that requests of this type share.
  std::uint32_t documents = 0;
};

// A part of a scenario with a constant mix of request types and a constant
// load.
struct Phase
{
  Duration length{};
  // Offered work as a fraction of the fleet's fluid bound: the work that its
  // engines could do at the minimum engine time of each request.
  double load = 0;
  // Fractions of the types, in the order of RequestTypes().
  std::vector<double> mix;
};

// Engines whose steps take longer for a time.
struct Slowdown
{
  Duration from{};
  Duration until{};
  std::uint32_t engines = 0;
  double factor = 1;
};

// A named sequence of phases, with slowdowns and poison requests.
struct Scenario
{
  std::string name;
  std::vector<Phase> phases;
  std::vector<Slowdown> slowdowns;
  // Times at which a caller first sends a request that crashes engines.
  std::vector<Duration> poisonTimes;
};

const std::vector<RequestTypeSpec>&
RequestTypes();

// Finds the scenario by name. Only "steady" uses aLoad.
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
  // Prompt tokens that are not shared with other requests.
  std::uint32_t ownTokens = 0;
  bool poison = false;
};

// The minimum engine time, in seconds, of a request that prefills aPromptTokens
// and decodes aOutputTokens.
double
MinEngineSeconds(std::uint32_t aPromptTokens, std::uint32_t aOutputTokens);

// All requests of the run in order of arrival. The same seed gives the same
// requests.
std::vector<Arrival>
MakeArrivals(const Deployment& aDeployment,
             const Scenario& aScenario,
             std::uint64_t aSeed);

// The deadline of the complete answer, relative to the arrival.
Duration
AnswerDeadline(const Arrival& aArrival);

} // namespace firefly::bench

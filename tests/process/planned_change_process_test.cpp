// Planned changes of engines while entries serve streams.

#include <chrono>
#include <list>

#include <nlohmann/json.hpp>

#include "tests/process/deployment.h"
#include "tests/stand_ins/engine/token_text.h"

#include <CppUTest/TestHarness.h>

using firefly::testing::Deployment;
using firefly::testing::StreamedAnswer;
using firefly::testing::StreamingCaller;
using firefly::testing::TextOf;
using firefly::testing::WaitFor;
using nlohmann::json;

namespace {

constexpr int kHosts = 2;
constexpr int kTokens = 120;
// These streams run longer than a new holder waits for reports.
constexpr int kLongTokens = 1600;
constexpr auto kLongerThanReportWait = std::chrono::seconds(5);
constexpr int kConcurrentStreams = 4;
const std::string kPrompt = "the standing bylaws";

} // namespace

TEST_GROUP(PlannedChangeProcess)
{
  Deployment deployment{ { .hosts = kHosts, .engines = 2, .stewards = true } };
  int leader = -1;

  void setup() override
  {
    CHECK_TRUE(deployment.IsReady());
    CHECK_TRUE(WaitFor([&] {
      for (int i = 0; i < kHosts; ++i) {
        leader = Fleet(i).value("leading", false) ? i : leader;
      }
      return leader >= 0;
    }));
  }

  json Get(const std::string& aUrl)
  {
    const auto body = deployment.Http().SendRequest("GET", aUrl).body;
    json answer = json::parse(body, nullptr, false);
    return answer.is_object() ? answer : json::object();
  }

  json Fleet(int aHost)
  {
    return Get(deployment.StewardUrl(aHost) + "/fleet");
  }

  // The entry of engine-1 in the leader's /fleet.
  json Engine()
  {
    for (const json& backend : Fleet(leader).value("backends", json::array())) {
      if (backend.at("id") == "engine-1") {
        return backend;
      }
    }
    return json::object();
  }

  // Returns a counter of the engine itself.
  std::uint64_t EngineCount(const std::string& aName)
  {
    return Get(deployment.EngineUrl(0) + "/counts")
      .at(aName)
      .get<std::uint64_t>();
  }

  void Command(const std::string& aPath, const std::string& aBody)
  {
    const auto answer = deployment.Http().SendRequest(
      "POST", deployment.StewardUrl(leader) + aPath, aBody);
    LONGS_EQUAL(202, answer.status);
  }

  void OrderRole()
  {
    Command("/role/engine-1", R"({"role": "prefill"})");
  }

  bool HasNewRole()
  {
    const json engine = Engine();
    return engine.value("state", "") == "open" &&
           engine.value("role", "") == "prefill";
  }

  bool WaitsForHost(const std::string& aHost)
  {
    const json engine = Engine();
    return engine.value("state", "") == "closing" &&
           engine.value("waits_for", json::array()) == json::array({ aHost });
  }

  // Runs streams through the first aEntries entries; each answer must be
  // complete.
  void CheckStreams(int aEntries)
  {
    std::list<StreamingCaller> callers;
    for (int i = 0; i < kConcurrentStreams; ++i) {
      callers.emplace_back(deployment.EntryUrl(i % aEntries), kPrompt, kTokens);
    }
    for (StreamingCaller& caller : callers) {
      const StreamedAnswer& answer = caller.Wait();
      LONGS_EQUAL(200, answer.status);
      CHECK_TRUE(answer.done);
      STRCMP_EQUAL(TextOf(kPrompt, 0, kTokens).c_str(), answer.text.c_str());
    }
  }
};

TEST(PlannedChangeProcess, RoleChangeInterruptsNoRequest)
{
  std::list<StreamingCaller> running;
  for (int i = 0; i < kConcurrentStreams; ++i) {
    running.emplace_back(deployment.EntryUrl(i % kHosts), kPrompt, kLongTokens);
    CHECK_TRUE(running.back().WaitForTokens(1));
  }
  OrderRole();
  int rounds = 0;
  do {
    CheckStreams(kHosts);
    ++rounds;
  } while (!HasNewRole() && rounds < 200);
  for (StreamingCaller& caller : running) {
    CHECK_TRUE(caller.Wait().done);
    STRCMP_EQUAL(TextOf(kPrompt, 0, kLongTokens).c_str(),
                 caller.Wait().text.c_str());
  }
  CHECK_TRUE(HasNewRole());
  LONGS_EQUAL(0, EngineCount("cut_by_change"));
  LONGS_EQUAL(0, EngineCount("orders_conflicting"));
  LONGS_EQUAL(1, EngineCount("orders_accepted"));
}

TEST(PlannedChangeProcess, RoleChangeWaitsForAKilledEntryUntilItRestarts)
{
  deployment.Entry(1).Kill();
  OrderRole();
  CHECK_TRUE(WaitFor([&] { return WaitsForHost("host-2"); }));
  const auto end = std::chrono::steady_clock::now() + kLongerThanReportWait;
  while (std::chrono::steady_clock::now() < end) {
    CheckStreams(1);
  }
  CHECK_TRUE(WaitsForHost("host-2"));
  LONGS_EQUAL(0, EngineCount("orders_accepted"));
  deployment.StartEntry(1);
  CHECK_TRUE(WaitFor([&] { return HasNewRole(); }));
  LONGS_EQUAL(1, EngineCount("orders_accepted"));
  LONGS_EQUAL(0, EngineCount("cut_by_change"));
}

TEST(PlannedChangeProcess, RestartedEntryKeepsADrainedEngineOutDuringALogOutage)
{
  Command("/drain/engine-1", "{}");
  CHECK_TRUE(WaitFor([&] { return Engine().value("state", "") == "out"; }));
  const json before = Get(deployment.EngineUrl(0) + "/counts");
  const auto outage = deployment.Http().SendRequest(
    "POST", deployment.PlatformUrl() + "/control", R"({"outage": true})");
  LONGS_EQUAL(200, outage.status);
  deployment.Entry(0).Kill();
  deployment.StartEntry(0);
  CHECK_TRUE(deployment.WaitUntilReady(0));
  CheckStreams(1);
  const json after = Get(deployment.EngineUrl(0) + "/counts");
  CHECK_TRUE(before.at("executions") == after.at("executions"));
}

// Planned changes of engines through the steward: no request is cut, and the
// engine gets no new work meanwhile.

#include "tests/process/deployment.h"
#include "tests/stand_ins/engine/token_text.h"

#include <memory>
#include <vector>

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using firefly::testing::Deployment;
using firefly::testing::StreamingCaller;
using firefly::testing::TextOf;
using firefly::testing::WaitFor;

namespace {

constexpr int kHosts = 2;
// The streams outlast a new holder's wait for reports.
constexpr int kTokens = 1600;
constexpr std::size_t kMidway = 5;

// The steward that leads, or -1.
int
Leader(Deployment& aDeployment)
{
  for (int host = 0; host < kHosts; ++host) {
    const auto answer =
      aDeployment.Http().Ask("GET", aDeployment.StewardUrl(host) + "/fleet");
    if (answer.body.find("\"leading\":true") != std::string::npos) {
      return host;
    }
  }
  return -1;
}

nlohmann::json
Ask(Deployment& aDeployment, const std::string& aUrl)
{
  return nlohmann::json::parse(
    aDeployment.Http().Ask("GET", aUrl).body, nullptr, false);
}

} // namespace

TEST_GROUP(ChangeProcess)
{
  Deployment deployment{ { .hosts = kHosts, .engines = 2, .stewards = true } };

  void setup() override
  {
    CHECK_TRUE(deployment.Up());
  }
};

TEST(ChangeProcess, RoleChangeCutsNoStream)
{
  CHECK_TRUE(WaitFor([&] { return Leader(deployment) >= 0; }));
  std::vector<std::unique_ptr<StreamingCaller>> callers;
  for (int i = 0; i < 8; ++i) {
    callers.push_back(std::make_unique<StreamingCaller>(
      deployment.EntryUrl(i % kHosts), "prompt " + std::to_string(i), kTokens));
    CHECK_TRUE(callers.back()->WaitForTokens(kMidway));
  }
  const auto leader = deployment.StewardUrl(Leader(deployment));
  LONGS_EQUAL(202,
              deployment.Http()
                .Ask("POST", leader + "/role/engine-1", R"({"role":"decode"})")
                .status);
  for (int i = 0; i < 8; ++i) {
    const auto& answer = callers[i]->Wait();
    CHECK_TRUE(answer.done);
    STRCMP_EQUAL(TextOf("prompt " + std::to_string(i), 0, kTokens).c_str(),
                 answer.text.c_str());
  }
  const auto engine = deployment.EngineUrl(0);
  CHECK_TRUE(WaitFor([&] {
    const auto state = Ask(deployment, engine + "/state");
    return state.is_object() && state["role"] == "decode" &&
           !state["changing"].get<bool>();
  }));
  LONGS_EQUAL(0, Ask(deployment, engine + "/counts")["cut_by_change"]);
  LONGS_EQUAL(0, Ask(deployment, engine + "/counts")["orders_conflicting"]);
}

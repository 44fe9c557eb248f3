#include <algorithm>
#include <csignal>
#include <list>

#include "servers/link/link_client.h"
#include "servers/steward/entry_reports.h"
#include "tests/process/control_deployment.h"
#include "tests/process/test_engine.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::testing::ChildProcess;
using firefly::testing::ControlDeployment;
using firefly::testing::TestEngine;

namespace {

constexpr std::size_t kHosts = 2;
constexpr std::uint64_t kNewestPlan = 1ULL << 40U;
constexpr auto kReportInterval = 100ms;

// Entries that have nothing running and act on whatever plan is newest.
class Reporters
{
public:
  explicit Reporters(ControlDeployment& aDeployment)
    : mExecutor(aDeployment.http.Executor())
  {
    for (std::size_t i = 0; i < kHosts; ++i) {
      mLinks.emplace_back(
        mExecutor,
        firefly::LinkClient::Options{ .port = aDeployment.StewardLinkPort(i) });
    }
    Report();
  }

private:
  void Report()
  {
    for (firefly::LinkClient& link : mLinks) {
      for (std::size_t i = 0; i < kHosts; ++i) {
        link.Call(firefly::kAcknowledgePath,
                  firefly::Encode(firefly::EntryReport{
                    .host = ControlDeployment::Host(i),
                    .incarnation = firefly::Incarnation(1),
                    .planVersion = firefly::coord::LogOffset(kNewestPlan),
                    .inFlight = {} }),
                  1s,
                  [](const auto&) {});
      }
    }
    mTimer = mExecutor.RunAfter(kReportInterval, [this] { Report(); });
  }

  firefly::AsioExecutor& mExecutor;
  std::list<firefly::LinkClient> mLinks;
  firefly::Timer mTimer;
};

} // namespace

TEST_GROUP(StewardProcessTest)
{
  ControlDeployment deployment{ kHosts };
  TestEngine engine{ deployment.http.Executor(), deployment.EnginePort() };
  Reporters reporters{ deployment };

  bool Wait(const std::function<bool()>& aCondition)
  {
    return deployment.http.RunUntil(aCondition);
  }

  bool FleetShows(std::size_t aHost, const std::string& aText)
  {
    return deployment.Fleet(aHost).find(aText) != std::string::npos;
  }

  // Starts both stewards; the first one holds the authority.
  ChildProcess& StartBoth()
  {
    CHECK_TRUE(engine.started);
    ChildProcess& holder = deployment.StartSteward(0);
    CHECK_TRUE(Wait([&] { return deployment.Leads(0); }));
    deployment.StartSteward(1);
    return holder;
  }

  void OrderRole(std::size_t aHost)
  {
    const auto answer =
      deployment.http.Ask("POST",
                          deployment.StewardUrl(aHost) + "/role/engine",
                          R"({"role": "prefill"})");
    LONGS_EQUAL(202, answer.status);
  }
};

TEST(StewardProcessTest, FrozenHolderDiesBeforeItSendsAnything)
{
  ChildProcess& holder = StartBoth();
  engine.immediate = true;
  OrderRole(0);
  CHECK_TRUE(Wait([&] { return FleetShows(0, R"("state":"draining")"); }));
  // The holder is stopped while the intent of its order is on its way to the
  // log: with two calls to the slow log still before it, it can't have sent.
  deployment.Control(R"({"delay_ms": 500})");
  CHECK_TRUE(Wait([&] { return FleetShows(0, R"("state":"ordering")"); }));
  deployment.http.RunFor(100ms);
  holder.Freeze();
  deployment.Control(R"({"delay_ms": 0})");
  const std::size_t before = engine.orders.size();
  CHECK_TRUE(Wait([&] { return deployment.Leads(1); }));
  const std::size_t after = engine.orders.size();
  holder.Resume();
  CHECK_TRUE(Wait([&] { return !holder.Running(); }));
  deployment.http.RunFor(500ms);
  CHECK_TRUE(holder.EndedBySignal(SIGALRM));
  LONGS_EQUAL(0, before);
  const auto late = std::count_if(
    engine.orders.begin() + static_cast<std::ptrdiff_t>(after),
    engine.orders.end(),
    [&](const TestEngine::Order& aOrder) { return aOrder.fence == 0; });
  LONGS_EQUAL(0, late);
  LONGS_EQUAL(0, engine.conflicts);
}

// An engine that checks takes an old number until the new holder reached it.
TEST(StewardProcessTest, FrozenHolderDiesThoughItsEngineChecksFencing)
{
  ControlDeployment checking(kHosts, true);
  ChildProcess& holder = checking.StartSteward(0);
  const auto leads = [&](std::size_t aHost) {
    return checking.http.RunUntil([&] { return checking.Leads(aHost); });
  };
  CHECK_TRUE(leads(0));
  checking.StartSteward(1);
  holder.Freeze();
  CHECK_TRUE(leads(1));
  holder.Resume();
  CHECK_TRUE(checking.http.RunUntil([&] { return !holder.Running(); }));
  CHECK_TRUE(holder.EndedBySignal(SIGALRM));
}

TEST(StewardProcessTest, OrderOfAKilledHolderIsSettledNotRepeated)
{
  ChildProcess& holder = StartBoth();
  OrderRole(0);
  CHECK_TRUE(Wait([&] { return engine.changing; }));
  holder.Kill();
  CHECK_TRUE(Wait([&] { return deployment.Leads(1); }));
  deployment.http.RunFor(1s);
  CHECK_TRUE(FleetShows(1, R"("state":"settling")"));
  engine.FinishChange();
  CHECK_TRUE(Wait([&] { return FleetShows(1, R"("state":"open")"); }));
  CHECK_TRUE(FleetShows(1, R"("role":"prefill")"));
  LONGS_EQUAL(1, engine.orders.size());
  LONGS_EQUAL(0, engine.conflicts);
}

TEST(StewardProcessTest, OrderIsGivenAgainAfterHolderAndEngineCrash)
{
  ChildProcess& holder = StartBoth();
  OrderRole(0);
  CHECK_TRUE(Wait([&] { return engine.changing; }));
  holder.Kill();
  engine.Crash();
  engine.immediate = true;
  CHECK_TRUE(Wait([&] { return engine.orders.size() == 2; }));
  CHECK_TRUE(Wait([&] { return FleetShows(1, R"("state":"open")"); }));
  LONGS_EQUAL(2, engine.orders.size());
  CHECK_TRUE(engine.orders[0].fence < engine.orders[1].fence);
  CHECK_EQUAL(engine.orders[0].role, engine.orders[1].role);
  LONGS_EQUAL(0, engine.conflicts);
}

TEST(StewardProcessTest, NobodyLeadsWhileTheLogIsDown)
{
  StartBoth();
  deployment.Control(R"({"outage": true})");
  CHECK_TRUE(
    Wait([&] { return !deployment.Leads(0) && !deployment.Leads(1); }));
  const auto refused = deployment.http.Ask(
    "POST", deployment.StewardUrl(1) + "/role/engine", R"({"role": "decode"})");
  LONGS_EQUAL(421, refused.status);
  deployment.Control(R"({"outage": false})");
  CHECK_TRUE(Wait([&] { return deployment.Leads(0) || deployment.Leads(1); }));
  LONGS_EQUAL(0, engine.orders.size());
}

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

// Sends the reports of entries that have no requests in flight and acknowledge
// every plan.
class EntryReporters
{
public:
  explicit EntryReporters(ControlDeployment& aDeployment)
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
        link.Call(firefly::kEntryReportPath,
                  firefly::Encode(firefly::EntryReport{
                    .host = ControlDeployment::HostIdOf(i),
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
  EntryReporters reporters{ deployment };

  bool WaitUntil(const std::function<bool()>& aCondition)
  {
    return deployment.http.RunUntil(aCondition);
  }

  bool FleetShows(std::size_t aHost, const std::string& aText)
  {
    return deployment.GetFleet(aHost).find(aText) != std::string::npos;
  }

  // Starts both stewards. The first one holds the authority and is returned.
  ChildProcess& StartBoth()
  {
    CHECK_TRUE(engine.isStarted);
    ChildProcess& holder = deployment.StartSteward(0);
    CHECK_TRUE(WaitUntil([&] { return deployment.IsLeader(0); }));
    deployment.StartSteward(1);
    return holder;
  }

  void OrderRole(std::size_t aHost)
  {
    const auto answer =
      deployment.http.SendRequest("POST",
                                  deployment.StewardUrl(aHost) + "/role/engine",
                                  R"({"role": "prefill"})");
    LONGS_EQUAL(202, answer.status);
  }
};

TEST(StewardProcessTest, ResumedFormerHolderExitsBeforeSendingAnOrder)
{
  ChildProcess& holder = StartBoth();
  engine.finishesAtOnce = true;
  OrderRole(0);
  CHECK_TRUE(WaitUntil([&] { return FleetShows(0, R"("state":"draining")"); }));
  // Freeze the holder while it appends the intent of its order to the log. It
  // needs two more calls to the slow log before it may send the order, so the
  // order cannot have been sent.
  deployment.SetFaults(R"({"delay_ms": 500})");
  CHECK_TRUE(WaitUntil([&] { return FleetShows(0, R"("state":"ordering")"); }));
  deployment.http.RunFor(100ms);
  holder.Freeze();
  deployment.SetFaults(R"({"delay_ms": 0})");
  const std::size_t before = engine.orders.size();
  CHECK_TRUE(WaitUntil([&] { return deployment.IsLeader(1); }));
  const std::size_t after = engine.orders.size();
  holder.Resume();
  CHECK_TRUE(WaitUntil([&] { return !holder.IsRunning(); }));
  deployment.http.RunFor(500ms);
  CHECK_TRUE(holder.WasKilledBySignal(SIGALRM));
  LONGS_EQUAL(0, before);
  // The former holder's claim is the first record of its stream, at offset 0,
  // and the offset is its fencing number.
  const auto late = std::count_if(
    engine.orders.begin() + static_cast<std::ptrdiff_t>(after),
    engine.orders.end(),
    [&](const TestEngine::Order& aOrder) { return aOrder.fence == 0; });
  LONGS_EQUAL(0, late);
  LONGS_EQUAL(0, engine.conflictingOrders);
}

// An engine that checks fencing numbers accepts an old number until it receives
// an order of the new holder, so the former holder must exit by itself.
TEST(StewardProcessTest, ResumedFormerHolderExitsAlthoughItsEngineChecksFencing)
{
  ControlDeployment checking(kHosts, true);
  ChildProcess& holder = checking.StartSteward(0);
  const auto leads = [&](std::size_t aHost) {
    return checking.http.RunUntil([&] { return checking.IsLeader(aHost); });
  };
  CHECK_TRUE(leads(0));
  checking.StartSteward(1);
  holder.Freeze();
  CHECK_TRUE(leads(1));
  holder.Resume();
  CHECK_TRUE(checking.http.RunUntil([&] { return !holder.IsRunning(); }));
  CHECK_TRUE(holder.WasKilledBySignal(SIGALRM));
}

TEST(StewardProcessTest, RunningOrderOfAKilledHolderIsNotRepeated)
{
  ChildProcess& holder = StartBoth();
  OrderRole(0);
  CHECK_TRUE(WaitUntil([&] { return engine.isChanging; }));
  holder.Kill();
  CHECK_TRUE(WaitUntil([&] { return deployment.IsLeader(1); }));
  deployment.http.RunFor(1s);
  CHECK_TRUE(FleetShows(1, R"("state":"settling")"));
  engine.FinishChange();
  CHECK_TRUE(WaitUntil([&] { return FleetShows(1, R"("state":"open")"); }));
  CHECK_TRUE(FleetShows(1, R"("role":"prefill")"));
  LONGS_EQUAL(1, engine.orders.size());
  LONGS_EQUAL(0, engine.conflictingOrders);
}

TEST(StewardProcessTest, OrderIsRepeatedAfterHolderAndEngineCrash)
{
  ChildProcess& holder = StartBoth();
  OrderRole(0);
  CHECK_TRUE(WaitUntil([&] { return engine.isChanging; }));
  holder.Kill();
  engine.Crash();
  engine.finishesAtOnce = true;
  CHECK_TRUE(WaitUntil([&] { return engine.orders.size() == 2; }));
  CHECK_TRUE(WaitUntil([&] { return FleetShows(1, R"("state":"open")"); }));
  LONGS_EQUAL(2, engine.orders.size());
  CHECK_TRUE(engine.orders[0].fence < engine.orders[1].fence);
  CHECK_EQUAL(engine.orders[0].role, engine.orders[1].role);
  LONGS_EQUAL(0, engine.conflictingOrders);
}

TEST(StewardProcessTest, NoStewardLeadsDuringALogOutage)
{
  StartBoth();
  deployment.SetFaults(R"({"outage": true})");
  CHECK_TRUE(WaitUntil(
    [&] { return !deployment.IsLeader(0) && !deployment.IsLeader(1); }));
  const auto refused = deployment.http.SendRequest(
    "POST", deployment.StewardUrl(1) + "/role/engine", R"({"role": "decode"})");
  LONGS_EQUAL(421, refused.status);
  deployment.SetFaults(R"({"outage": false})");
  CHECK_TRUE(WaitUntil(
    [&] { return deployment.IsLeader(0) || deployment.IsLeader(1); }));
  LONGS_EQUAL(0, engine.orders.size());
}

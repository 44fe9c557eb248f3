#include <memory>
#include <string>

#include "coord/lease.h"
#include "coord/testing/fake_log.h"
#include "coord/testing/fake_process.h"
#include "core/state_chart_loader.h"
#include "servers/steward/fleet_changes.h"
#include "servers/steward/role_planner.h"
#include "tests/servers/steward/fake_engine.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::BackendId;
using firefly::ChangeKind;
using firefly::EntryReport;
using firefly::EntryReports;
using firefly::FencingNumber;
using firefly::FleetChanges;
using firefly::HostId;
using firefly::Incarnation;
using firefly::StateChart;
using firefly::coord::BackendRole;
using firefly::coord::WantedState;
using firefly::testing::FakeEngine;
using firefly::testing::FakeEngineLink;

namespace {

StateChart
Load(const std::string& aName)
{
  return firefly::LoadStateChart(std::string(FIREFLY_SOURCE_DIR) + "/charts/" +
                                 aName)
    .value();
}

const BackendId kEngine("e1");

// Grants each load at once, on the caller's executor.
class OpenStore : public firefly::WeightStore
{
public:
  explicit OpenStore(firefly::Executor& aExecutor)
    : mExecutor(aExecutor)
  {
  }

  void Reserve(const firefly::ModelId& /*aModel*/, Callback aCallback) override
  {
    ++loads;
    mExecutor.Post([callback = std::move(aCallback)] { callback({}); });
  }

  int loads = 0;

private:
  firefly::Executor& mExecutor;
};

// Wants the engine to prefill as long as it does not.
class EagerController : public firefly::policy::RoleController
{
public:
  std::vector<firefly::policy::RoleChange> Decide(
    const firefly::policy::FleetView& aFleet,
    const firefly::policy::FleetDemand& aDemand,
    firefly::Instant /*aNow*/) override
  {
    promptTokens = aDemand.promptTokensPerSecond;
    const auto* seen = aFleet.Find(kEngine);
    const auto wanted = firefly::policy::EngineRole::kPrefill;
    if (seen->state != firefly::policy::BackendState::kOpen ||
        seen->role == wanted) {
      return {};
    }
    return { { .backend = kEngine, .role = wanted } };
  }

  void OnStarted(const firefly::policy::RoleChange& /*aChange*/,
                 firefly::Instant /*aNow*/) override
  {
    ++started;
  }

  void OnFinished(const BackendId& /*aBackend*/,
                  firefly::Instant /*aNow*/) override
  {
    ++finished;
  }

  [[nodiscard]] firefly::Duration Payback() const override { return 10s; }

  int started = 0;
  int finished = 0;
  double promptTokens = 0;
};

// A steward without sockets.
class Candidate : private firefly::coord::LeaseObserver
{
public:
  Candidate(firefly::VirtualExecutor& aExecutor,
            firefly::coord::FakeLog& aLog,
            FakeEngine& aEngine,
            const std::string& aName)
    : authorityChart(Load("authority.toml"))
    , backendChart(Load("backend.toml"))
    , process(aExecutor)
    , stream({ .writer = firefly::coord::WriterId(aName),
               .backendChart = &backendChart,
               .pollInterval = 500ms },
             process,
             aLog.MakeClient(aName, process))
    , lease({ .host = HostId(aName),
              .incarnation = Incarnation(1),
              .chart = &authorityChart },
            process,
            stream,
            *this)
    , journal({}, process, stream)
    , store(process)
    , link(process, aEngine)
    , changes({},
              process,
              journal,
              reports,
              store,
              [this](FencingNumber aFence) { return lease.Held() == aFence; })
  {
    FleetChanges::Target target;
    target.id = kEngine;
    target.initial.model = firefly::ModelId("model");
    target.link = &link;
    changes.Add(target);
    reports.SetConfigured({ HostId("h1"), HostId("h2") });
    stream.Start();
    lease.Start();
    Tick();
  }

  void Tick()
  {
    mTimer = process.RunAfter(100ms, [this] { Tick(); });
    if (lease.Held()) {
      changes.Tick();
    }
  }

  // What the plan says of the engine.
  std::string State() const
  {
    const auto* entry = stream.State().Find(kEngine);
    return entry == nullptr ? "open" : entry->state;
  }

  // A report of an entry that acts on the newest plan.
  void Report(const std::string& aHost, std::uint64_t aInFlight)
  {
    reports.Take({ .host = HostId(aHost),
                   .incarnation = Incarnation(1),
                   .planVersion = stream.State().PlanVersion(),
                   .inFlight = { { kEngine, aInFlight } } },
                 process.Now());
  }

  bool RequestRole(BackendRole aRole)
  {
    WantedState wanted = *changes.Serving(kEngine);
    wanted.role = aRole;
    return changes
      .Request(kEngine, { .kind = ChangeKind::kOrder, .wanted = wanted })
      .has_value();
  }

  StateChart authorityChart;
  StateChart backendChart;
  firefly::coord::FakeProcess process;
  firefly::coord::AuthorityStream stream;
  firefly::coord::Lease lease;
  firefly::coord::OrderJournal journal;
  EntryReports reports;
  OpenStore store;
  FakeEngineLink link;
  FleetChanges changes;

private:
  void OnAcquired(FencingNumber aFence) override { changes.Lead(aFence); }
  void OnLost() override { changes.StepDown(); }
  void OnHolderChanged(const firefly::coord::LeaseHolder& /*aHolder*/) override
  {
  }

  firefly::Timer mTimer;
};

} // namespace

TEST_GROUP(FleetChangesTest)
{
  firefly::VirtualExecutor executor;
  firefly::coord::FakeLog log{ {}, executor };
  FakeEngine engine{ executor };

  void Acquire(Candidate & aCandidate)
  {
    executor.RunFor(30s);
    CHECK_TRUE(aCandidate.changes.Leading());
  }

  void ReportBoth(Candidate & aCandidate, std::uint64_t aInFlight)
  {
    aCandidate.Report("h1", aInFlight);
    aCandidate.Report("h2", 0);
  }

  // Brings a change of the role to the point where its order is under way.
  void BringToOrder(Candidate & aCandidate)
  {
    Acquire(aCandidate);
    CHECK_TRUE(aCandidate.RequestRole(BackendRole::kPrefill));
    executor.RunFor(2s);
    ReportBoth(aCandidate, 0);
    executor.RunFor(2s);
    CHECK_EQUAL(std::string("settling"), aCandidate.State());
    CHECK_TRUE(engine.state.changing);
  }
};

TEST(FleetChangesTest, WaitsForTheSilentEntryAndForRunningWork)
{
  Candidate steward(executor, log, engine, "s1");
  Acquire(steward);
  CHECK_TRUE(steward.RequestRole(BackendRole::kPrefill));
  executor.RunFor(1s);
  steward.Report("h1", 1);
  executor.RunFor(10min);
  CHECK_EQUAL(std::string("closing"), steward.State());
  steward.Report("h2", 0);
  executor.RunFor(20s);
  CHECK_EQUAL(std::string("draining"), steward.State());
  steward.Report("h1", 0);
  engine.state.running = 1;
  executor.RunFor(20s);
  CHECK_EQUAL(std::string("draining"), steward.State());
  LONGS_EQUAL(0, engine.orders.size());
  engine.state.running = 0;
  executor.RunFor(20s);
  CHECK_EQUAL(std::string("open"), steward.State());
  LONGS_EQUAL(1, engine.orders.size());
  LONGS_EQUAL(0, engine.runningAtOrder);
  CHECK(BackendRole::kPrefill == engine.state.role);
  CHECK(BackendRole::kPrefill == steward.changes.Serving(kEngine)->role);
  LONGS_EQUAL(0, steward.store.loads);
}

TEST(FleetChangesTest, WorkThatDoesNotEndGivesTheChangeUp)
{
  Candidate steward(executor, log, engine, "s1");
  Acquire(steward);
  CHECK_TRUE(steward.RequestRole(BackendRole::kPrefill));
  executor.RunFor(1s);
  ReportBoth(steward, 1);
  executor.RunFor(5min);
  CHECK_EQUAL(std::string("open"), steward.State());
  LONGS_EQUAL(0, engine.orders.size());
  LONGS_EQUAL(1, steward.changes.Count().cancelled);
}

TEST(FleetChangesTest, DrainAndAdmit)
{
  Candidate steward(executor, log, engine, "s1");
  Acquire(steward);
  CHECK_TRUE(steward.changes.Request(kEngine, {}).has_value());
  executor.RunFor(2s);
  ReportBoth(steward, 0);
  executor.RunFor(5s);
  CHECK_EQUAL(std::string("out"), steward.State());
  CHECK_TRUE(steward.changes
               .Request(kEngine, { .kind = ChangeKind::kAdmit, .wanted = {} })
               .has_value());
  executor.RunFor(5s);
  CHECK_EQUAL(std::string("open"), steward.State());
  LONGS_EQUAL(0, engine.orders.size());
}

TEST(FleetChangesTest, NextHolderSettlesTheOrderThatTheEngineCarriesOut)
{
  auto first = std::make_unique<Candidate>(executor, log, engine, "s1");
  BringToOrder(*first);
  first->process.Kill();
  Candidate second(executor, log, engine, "s2");
  Acquire(second);
  CHECK_EQUAL(std::string("open"), second.State());
  LONGS_EQUAL(1, second.changes.Count().settled);
  LONGS_EQUAL(1, engine.orders.size());
  CHECK(BackendRole::kPrefill == second.changes.Serving(kEngine)->role);
}

TEST(FleetChangesTest, NextHolderGivesTheOrderOfACrashedEngineAgain)
{
  auto first = std::make_unique<Candidate>(executor, log, engine, "s1");
  BringToOrder(*first);
  first->process.Kill();
  engine.Crash();
  Candidate second(executor, log, engine, "s2");
  Acquire(second);
  executor.RunFor(20s);
  CHECK_EQUAL(std::string("open"), second.State());
  LONGS_EQUAL(2, engine.orders.size());
  CHECK_TRUE(engine.orders[0].fence < engine.orders[1].fence);
  CHECK(engine.orders[0].wanted == engine.orders[1].wanted);
  LONGS_EQUAL(0, engine.conflicts);
  CHECK(BackendRole::kPrefill == engine.state.role);
}

TEST(FleetChangesTest, OrderThatGotLostIsGivenAgainAfterItsLifetime)
{
  Candidate steward(executor, log, engine, "s1");
  engine.losesOrders = true;
  Acquire(steward);
  CHECK_TRUE(steward.RequestRole(BackendRole::kDecode));
  executor.RunFor(2s);
  ReportBoth(steward, 0);
  executor.RunFor(3s);
  CHECK_EQUAL(std::string("settling"), steward.State());
  engine.losesOrders = false;
  executor.RunFor(30s);
  CHECK_EQUAL(std::string("open"), steward.State());
  LONGS_EQUAL(1, engine.orders.size());
  LONGS_EQUAL(2, steward.changes.Count().orders);
}

TEST(FleetChangesTest, PausedHolderSendsNothingOnceItsLeaseIsOver)
{
  auto first = std::make_unique<Candidate>(executor, log, engine, "s1");
  Acquire(*first);
  CHECK_TRUE(first->RequestRole(BackendRole::kPrefill));
  executor.RunFor(2s);
  ReportBoth(*first, 0);
  for (int i = 0; i < 10000 && first->State() != "ordering"; ++i) {
    CHECK_TRUE(executor.RunOne());
  }
  CHECK_EQUAL(std::string("ordering"), first->State());
  first->process.Pause();
  Candidate second(executor, log, engine, "s2");
  Acquire(second);
  first->process.Resume();
  executor.RunFor(30s);
  LONGS_EQUAL(0, engine.orders.size());
  CHECK_EQUAL(std::string("open"), second.State());
  CHECK_FALSE(first->changes.Leading());
}

TEST(FleetChangesTest, PlannerStartsTheControllersChangeOnce)
{
  Candidate steward(executor, log, engine, "s1");
  Acquire(steward);
  auto controller = std::make_unique<EagerController>();
  const EagerController& watched = *controller;
  firefly::RolePlanner planner(std::move(controller));
  planner.Add(kEngine, firefly::DomainId("d"), {});
  for (int i = 0; i < 30; ++i) {
    planner.Plan(
      steward.changes, { .promptTokensPerSecond = 7 }, executor.Now());
    LONGS_EQUAL(engine.orders.empty() ? 0 : watched.finished, watched.finished);
    executor.RunFor(1s);
    ReportBoth(steward, 0);
  }
  CHECK(BackendRole::kPrefill == engine.state.role);
  LONGS_EQUAL(1, engine.orders.size());
  LONGS_EQUAL(1, watched.started);
  LONGS_EQUAL(1, watched.finished);
  DOUBLES_EQUAL(7, watched.promptTokens, 0);
}

TEST_GROUP(EntryReportsTest)
{
  EntryReports reports;

  bool Take(const std::string& aHost,
            std::uint64_t aIncarnation,
            std::uint64_t aVersion,
            std::uint64_t aInFlight)
  {
    return reports.Take({ .host = HostId(aHost),
                          .incarnation = Incarnation(aIncarnation),
                          .planVersion = firefly::coord::LogOffset(aVersion),
                          .inFlight = { { kEngine, aInFlight } } },
                        firefly::Instant{});
  }

  std::size_t Missing(std::uint64_t aVersion)
  {
    return reports.Missing(firefly::coord::LogOffset(aVersion)).size();
  }
};

TEST(EntryReportsTest, SuccessorSettlesADeadEntry)
{
  reports.SetConfigured({ HostId("h1") });
  LONGS_EQUAL(1, Missing(5));
  CHECK_TRUE(Take("h1", 1, 4, 3));
  LONGS_EQUAL(1, Missing(5));
  CHECK_TRUE(Take("h1", 2, 5, 0));
  LONGS_EQUAL(0, Missing(5));
  LONGS_EQUAL(0, reports.InFlight(kEngine));
  CHECK_FALSE(Take("h1", 1, 9, 3));
  CHECK_FALSE(Take("h1", 2, 4, 3));
}

TEST(EntryReportsTest, HostThatTheListDropsIsSettled)
{
  reports.SetConfigured({ HostId("h1"), HostId("h2") });
  CHECK_TRUE(Take("h1", 1, 4, 3));
  reports.SetListed({ HostId("h1"), HostId("h2") });
  LONGS_EQUAL(2, Missing(5));
  reports.SetListed({ HostId("h2") });
  LONGS_EQUAL(1, Missing(5));
  LONGS_EQUAL(0, reports.InFlight(kEngine));
}

TEST(EntryReportsTest, EntryThatIsNotListedYetCountsOnceItReports)
{
  reports.SetListed({ HostId("h1") });
  CHECK_TRUE(Take("h1", 1, 5, 0));
  CHECK_TRUE(Take("h2", 1, 4, 1));
  LONGS_EQUAL(1, Missing(5));
  LONGS_EQUAL(1, reports.InFlight(kEngine));
}

TEST(EntryReportsTest, ReportComesBackFromItsBytes)
{
  const EntryReport report{ .host = HostId("h1"),
                            .incarnation = Incarnation(7),
                            .planVersion = firefly::coord::LogOffset(9),
                            .inFlight = { { kEngine, 2 } },
                            .promptTokensPerSecond = 100,
                            .outputTokensPerSecond = 50 };
  const std::string bytes = Encode(report);
  const auto back = firefly::DecodeEntryReport(bytes);
  CHECK_TRUE(back.has_value());
  CHECK_EQUAL(bytes, Encode(*back));
  CHECK_TRUE(back->inFlight == report.inFlight);
  CHECK_FALSE(firefly::DecodeEntryReport(bytes + "x").has_value());
  CHECK_FALSE(firefly::DecodeEntryReport(bytes.substr(1)).has_value());
}

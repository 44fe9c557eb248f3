#include <memory>
#include <string>

#include "coord/lease.h"
#include "coord/testing/fake_log.h"
#include "coord/testing/fake_process.h"
#include "core/state_chart_loader.h"
#include "servers/steward/fleet_change_controller.h"
#include "servers/steward/role_planner.h"
#include "tests/servers/steward/fake_engine.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::BackendId;
using firefly::ChangeKind;
using firefly::EntryReport;
using firefly::EntryReportRegistry;
using firefly::FencingNumber;
using firefly::FleetChangeController;
using firefly::HostId;
using firefly::Incarnation;
using firefly::StateChart;
using firefly::coord::BackendRole;
using firefly::coord::WantedState;
using firefly::testing::FakeEngine;
using firefly::testing::FakeEngineClient;

namespace {

StateChart
LoadChart(const std::string& aName)
{
  return firefly::LoadStateChart(std::string(FIREFLY_SOURCE_DIR) + "/charts/" +
                                 aName)
    .value();
}

const BackendId kEngine("e1");

// Grants every reservation at once, on the caller's executor.
class UnlimitedWeightStore : public firefly::WeightStore
{
public:
  explicit UnlimitedWeightStore(firefly::Executor& aExecutor)
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

// Requests the prefill role for the engine while it is open in another role.
class PrefillController : public firefly::policy::RoleController
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

// A candidate for the authority with all parts of a steward except sockets.
class StewardCandidate : private firefly::coord::LeaseObserver
{
public:
  StewardCandidate(firefly::VirtualExecutor& aExecutor,
                   firefly::coord::FakeLog& aLog,
                   FakeEngine& aEngine,
                   const std::string& aName)
    : authorityChart(LoadChart("authority.toml"))
    , backendChart(LoadChart("backend.toml"))
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
    FleetChangeController::Target target;
    target.id = kEngine;
    target.initial.model = firefly::ModelId("model");
    target.client = &link;
    changes.Add(target);
    reports.SetConfiguredHosts({ HostId("h1"), HostId("h2") });
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

  // The state of the engine in the plan.
  std::string PlanState() const
  {
    const auto* entry = stream.State().Find(kEngine);
    return entry == nullptr ? "open" : entry->state;
  }

  // Records a report of an entry that applies the newest plan.
  void Report(const std::string& aHost, std::uint64_t aInFlight)
  {
    reports.Record({ .host = HostId(aHost),
                     .incarnation = Incarnation(1),
                     .planVersion = stream.State().PlanVersion(),
                     .inFlight = { { kEngine, aInFlight } } },
                   process.Now());
  }

  bool RequestRole(BackendRole aRole)
  {
    WantedState wanted = *changes.ServingState(kEngine);
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
  EntryReportRegistry reports;
  UnlimitedWeightStore store;
  FakeEngineClient link;
  FleetChangeController changes;

private:
  void OnAcquired(FencingNumber aFence) override
  {
    changes.StartLeading(aFence);
  }
  void OnLost() override { changes.StopLeading(); }
  void OnHolderChanged(const firefly::coord::LeaseHolder& /*aHolder*/) override
  {
  }

  firefly::Timer mTimer;
};

} // namespace

TEST_GROUP(FleetChangeControllerTest)
{
  firefly::VirtualExecutor executor;
  firefly::coord::FakeLog log{ {}, executor };
  FakeEngine engine{ executor };

  void AcquireAuthority(StewardCandidate & aCandidate)
  {
    executor.RunFor(30s);
    CHECK_TRUE(aCandidate.changes.IsLeading());
  }

  void ReportFromBothEntries(StewardCandidate & aCandidate,
                             std::uint64_t aInFlight)
  {
    aCandidate.Report("h1", aInFlight);
    aCandidate.Report("h2", 0);
  }

  // Runs a change of the role until the engine is carrying out its order.
  void AdvanceToOpenOrder(StewardCandidate & aCandidate)
  {
    AcquireAuthority(aCandidate);
    CHECK_TRUE(aCandidate.RequestRole(BackendRole::kPrefill));
    executor.RunFor(2s);
    ReportFromBothEntries(aCandidate, 0);
    executor.RunFor(2s);
    CHECK_EQUAL(std::string("settling"), aCandidate.PlanState());
    CHECK_TRUE(engine.state.changing);
  }
};

TEST(FleetChangeControllerTest, OrderWaitsForAllEntriesAndForRequestsInFlight)
{
  StewardCandidate steward(executor, log, engine, "s1");
  AcquireAuthority(steward);
  CHECK_TRUE(steward.RequestRole(BackendRole::kPrefill));
  executor.RunFor(1s);
  steward.Report("h1", 1);
  executor.RunFor(10min);
  CHECK_EQUAL(std::string("closing"), steward.PlanState());
  steward.Report("h2", 0);
  executor.RunFor(20s);
  CHECK_EQUAL(std::string("draining"), steward.PlanState());
  steward.Report("h1", 0);
  engine.state.running = 1;
  executor.RunFor(20s);
  CHECK_EQUAL(std::string("draining"), steward.PlanState());
  LONGS_EQUAL(0, engine.orders.size());
  engine.state.running = 0;
  executor.RunFor(20s);
  CHECK_EQUAL(std::string("open"), steward.PlanState());
  LONGS_EQUAL(1, engine.orders.size());
  LONGS_EQUAL(0, engine.runningAtOrder);
  CHECK(BackendRole::kPrefill == engine.state.role);
  CHECK(BackendRole::kPrefill == steward.changes.ServingState(kEngine)->role);
  LONGS_EQUAL(0, steward.store.loads);
}

TEST(FleetChangeControllerTest, DrainTimeoutCancelsTheChange)
{
  StewardCandidate steward(executor, log, engine, "s1");
  AcquireAuthority(steward);
  CHECK_TRUE(steward.RequestRole(BackendRole::kPrefill));
  executor.RunFor(1s);
  ReportFromBothEntries(steward, 1);
  executor.RunFor(5min);
  CHECK_EQUAL(std::string("open"), steward.PlanState());
  LONGS_EQUAL(0, engine.orders.size());
  LONGS_EQUAL(1, steward.changes.GetCounters().cancelled);
}

TEST(FleetChangeControllerTest, DrainedBackendServerReopensOnAdmit)
{
  StewardCandidate steward(executor, log, engine, "s1");
  AcquireAuthority(steward);
  CHECK_TRUE(steward.changes.Request(kEngine, {}).has_value());
  executor.RunFor(2s);
  ReportFromBothEntries(steward, 0);
  executor.RunFor(5s);
  CHECK_EQUAL(std::string("out"), steward.PlanState());
  CHECK_TRUE(steward.changes
               .Request(kEngine, { .kind = ChangeKind::kAdmit, .wanted = {} })
               .has_value());
  executor.RunFor(5s);
  CHECK_EQUAL(std::string("open"), steward.PlanState());
  LONGS_EQUAL(0, engine.orders.size());
}

TEST(FleetChangeControllerTest, NextHolderCompletesTheOrderThatTheEngineApplies)
{
  auto first = std::make_unique<StewardCandidate>(executor, log, engine, "s1");
  AdvanceToOpenOrder(*first);
  first->process.Kill();
  StewardCandidate second(executor, log, engine, "s2");
  AcquireAuthority(second);
  CHECK_EQUAL(std::string("open"), second.PlanState());
  LONGS_EQUAL(1, second.changes.GetCounters().settled);
  LONGS_EQUAL(1, engine.orders.size());
  CHECK(BackendRole::kPrefill == second.changes.ServingState(kEngine)->role);
}

TEST(FleetChangeControllerTest, NextHolderRetriesTheOrderOfACrashedEngine)
{
  auto first = std::make_unique<StewardCandidate>(executor, log, engine, "s1");
  AdvanceToOpenOrder(*first);
  first->process.Kill();
  engine.Crash();
  StewardCandidate second(executor, log, engine, "s2");
  AcquireAuthority(second);
  executor.RunFor(20s);
  CHECK_EQUAL(std::string("open"), second.PlanState());
  LONGS_EQUAL(2, engine.orders.size());
  CHECK_TRUE(engine.orders[0].fence < engine.orders[1].fence);
  CHECK(engine.orders[0].wanted == engine.orders[1].wanted);
  LONGS_EQUAL(0, engine.conflicts);
  CHECK(BackendRole::kPrefill == engine.state.role);
}

TEST(FleetChangeControllerTest, LostOrderIsRetriedAfterItsLifetime)
{
  StewardCandidate steward(executor, log, engine, "s1");
  engine.losesOrders = true;
  AcquireAuthority(steward);
  CHECK_TRUE(steward.RequestRole(BackendRole::kDecode));
  executor.RunFor(2s);
  ReportFromBothEntries(steward, 0);
  executor.RunFor(3s);
  CHECK_EQUAL(std::string("settling"), steward.PlanState());
  engine.losesOrders = false;
  executor.RunFor(30s);
  CHECK_EQUAL(std::string("open"), steward.PlanState());
  LONGS_EQUAL(1, engine.orders.size());
  LONGS_EQUAL(2, steward.changes.GetCounters().orders);
}

TEST(FleetChangeControllerTest, PausedHolderSendsNoOrderAfterItsLeaseEnds)
{
  auto first = std::make_unique<StewardCandidate>(executor, log, engine, "s1");
  AcquireAuthority(*first);
  CHECK_TRUE(first->RequestRole(BackendRole::kPrefill));
  executor.RunFor(2s);
  ReportFromBothEntries(*first, 0);
  for (int i = 0; i < 10000 && first->PlanState() != "ordering"; ++i) {
    CHECK_TRUE(executor.RunOne());
  }
  CHECK_EQUAL(std::string("ordering"), first->PlanState());
  first->process.Pause();
  StewardCandidate second(executor, log, engine, "s2");
  AcquireAuthority(second);
  first->process.Resume();
  executor.RunFor(30s);
  LONGS_EQUAL(0, engine.orders.size());
  CHECK_EQUAL(std::string("open"), second.PlanState());
  CHECK_FALSE(first->changes.IsLeading());
}

TEST(FleetChangeControllerTest, PlannerRequestsTheRoleChangeOnce)
{
  StewardCandidate steward(executor, log, engine, "s1");
  AcquireAuthority(steward);
  auto controller = std::make_unique<PrefillController>();
  const PrefillController& watchedController = *controller;
  firefly::RolePlanner planner(std::move(controller));
  planner.Add(kEngine, firefly::DomainId("d"), {});
  for (int i = 0; i < 30; ++i) {
    planner.Plan(
      steward.changes, { .promptTokensPerSecond = 7 }, executor.Now());
    LONGS_EQUAL(engine.orders.empty() ? 0 : watchedController.finished,
                watchedController.finished);
    executor.RunFor(1s);
    ReportFromBothEntries(steward, 0);
  }
  CHECK(BackendRole::kPrefill == engine.state.role);
  LONGS_EQUAL(1, engine.orders.size());
  LONGS_EQUAL(1, watchedController.started);
  LONGS_EQUAL(1, watchedController.finished);
  DOUBLES_EQUAL(7, watchedController.promptTokens, 0);
}

TEST_GROUP(EntryReportRegistryTest)
{
  EntryReportRegistry reports;

  bool Record(const std::string& aHost,
              std::uint64_t aIncarnation,
              std::uint64_t aVersion,
              std::uint64_t aInFlight)
  {
    return reports.Record({ .host = HostId(aHost),
                            .incarnation = Incarnation(aIncarnation),
                            .planVersion = firefly::coord::LogOffset(aVersion),
                            .inFlight = { { kEngine, aInFlight } } },
                          firefly::Instant{});
  }

  std::size_t CountUnacknowledged(std::uint64_t aVersion)
  {
    return reports.UnacknowledgedHosts(firefly::coord::LogOffset(aVersion))
      .size();
  }
};

TEST(EntryReportRegistryTest, ReportOfANewIncarnationReplacesThatOfTheOldOne)
{
  reports.SetConfiguredHosts({ HostId("h1") });
  LONGS_EQUAL(1, CountUnacknowledged(5));
  CHECK_TRUE(Record("h1", 1, 4, 3));
  LONGS_EQUAL(1, CountUnacknowledged(5));
  CHECK_TRUE(Record("h1", 2, 5, 0));
  LONGS_EQUAL(0, CountUnacknowledged(5));
  LONGS_EQUAL(0, reports.InFlight(kEngine));
  CHECK_FALSE(Record("h1", 1, 9, 3));
  CHECK_FALSE(Record("h1", 2, 4, 3));
}

TEST(EntryReportRegistryTest, HostRemovedFromTheListNeedNotAcknowledge)
{
  reports.SetConfiguredHosts({ HostId("h1"), HostId("h2") });
  CHECK_TRUE(Record("h1", 1, 4, 3));
  reports.SetListedHosts({ HostId("h1"), HostId("h2") });
  LONGS_EQUAL(2, CountUnacknowledged(5));
  reports.SetListedHosts({ HostId("h2") });
  LONGS_EQUAL(1, CountUnacknowledged(5));
  LONGS_EQUAL(0, reports.InFlight(kEngine));
}

TEST(EntryReportRegistryTest, UnlistedEntryIsExpectedOnceItHasReported)
{
  reports.SetListedHosts({ HostId("h1") });
  CHECK_TRUE(Record("h1", 1, 5, 0));
  CHECK_TRUE(Record("h2", 1, 4, 1));
  LONGS_EQUAL(1, CountUnacknowledged(5));
  LONGS_EQUAL(1, reports.InFlight(kEngine));
}

TEST(EntryReportRegistryTest, ReportSurvivesEncodingAndDecoding)
{
  const EntryReport report{ .host = HostId("h1"),
                            .incarnation = Incarnation(7),
                            .planVersion = firefly::coord::LogOffset(9),
                            .inFlight = { { kEngine, 2 } },
                            .promptTokensPerSecond = 100,
                            .outputTokensPerSecond = 50 };
  const std::string bytes = Encode(report);
  const auto decoded = firefly::DecodeEntryReport(bytes);
  CHECK_TRUE(decoded.has_value());
  CHECK_EQUAL(bytes, Encode(*decoded));
  CHECK_TRUE(decoded->inFlight == report.inFlight);
  CHECK_FALSE(firefly::DecodeEntryReport(bytes + "x").has_value());
  CHECK_FALSE(firefly::DecodeEntryReport(bytes.substr(1)).has_value());
}

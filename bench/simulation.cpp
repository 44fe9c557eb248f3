#include "bench/simulation.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include "bench/clairvoyant_bound.h"
#include "bench/engine_model.h"
#include "core/random.h"
#include "core/virtual_executor.h"
#include "policy/request_router.h"

namespace firefly::bench {

namespace {

using namespace std::chrono_literals;
using policy::AttemptNumber;
using policy::BackendState;
using policy::EngineRole;

constexpr Duration kTick = 20ms;
constexpr Duration kGossipPeriod = 200ms;
// With more entries than this, gossip uses the slow period to limit its
// traffic.
constexpr std::uint32_t kGossipFastEntries = 32;
constexpr Duration kSlowGossipPeriod = 1s;
constexpr Duration kReportPeriod = 1s;
// Delay until a load report reaches the entries.
constexpr Duration kReportLag = 2s;
// Delay until the entries learn that an engine crashed or restarted.
constexpr Duration kHostListLag = 1s;
// Delay until a change of the plan reaches all entries, and the interval at
// which a draining engine is checked.
constexpr Duration kPlanLag = 50ms;
constexpr Duration kControlPeriod = 1s;
// A caller repeats a refused or failed poison request after this time, until it
// was sent kPoisonSends times in all.
constexpr Duration kPoisonResend = 2s;
constexpr int kPoisonSends = 6;
// Time after the last phase for the remaining requests to finish.
constexpr Duration kDrainTime = 120s;

// The state of one request of the run.
struct Job
{
  Arrival arrival;
  std::size_t entry = 0;
  std::uint32_t delivered = 0;
  Duration firstToken{};
  bool hasFirstToken = false;
  bool isOver = false;
  int sends = 1;
};

// A virtual clock. Callbacks that are scheduled by After cannot be cancelled.
class BenchExecutor : public VirtualExecutor
{
public:
  void After(Duration aDelay, std::function<void()> aCallback)
  {
    Schedule(aDelay, std::move(aCallback));
  }
};

class Simulation;

// One entry: a router with its own view of the fleet.
class SimulatedEntry : public policy::RouterSink
{
public:
  SimulatedEntry(Simulation& aSimulation,
                 std::size_t aIndex,
                 policy::RequestRouter::Options aOptions,
                 policy::PolicySet aPolicies)
    : mSimulation(aSimulation)
    , mIndex(aIndex)
    , mRouter(std::move(aOptions), std::move(aPolicies), mFleet, *this)
  {
  }

  policy::FleetView& Fleet() { return mFleet; }
  policy::RequestRouter& Router() { return mRouter; }

  void Dispatch(const policy::DispatchOrder& aOrder) override;
  void Cancel(const RequestId& aId, AttemptNumber aAttempt) override;
  void Refuse(const RequestId& aId, const policy::Refusal& aRefusal) override;
  void Fail(const RequestId& aId, policy::FailureReason aReason) override;

private:
  Simulation& mSimulation;
  std::size_t mIndex;
  policy::FleetView mFleet;
  policy::RequestRouter mRouter;
};

// Forwards the events of one engine to the simulation.
class EngineEventForwarder : public EngineListener
{
public:
  explicit EngineEventForwarder(Simulation& aSimulation)
    : mSimulation(aSimulation)
  {
  }

  void OnFirstToken(AttemptKey aKey) override;
  void OnTokens(AttemptKey aKey, std::uint32_t aCount) override;
  void OnFinish(AttemptKey aKey) override;
  void OnCrash() override;
  void OnConnectionLost(AttemptKey aKey) override;
  void OnStep(Duration aGap, std::uint32_t aOutputs) override;

  // The engine's index in the simulation.
  std::size_t engine = 0;

private:
  Simulation& mSimulation;
};

class Simulation
{
public:
  Simulation(const RunOptions& aOptions,
             const Deployment& aDeployment,
             Scenario aScenario,
             std::vector<Arrival> aArrivals,
             RunResult& aResult);

  tl::expected<void, std::string> Prepare();
  void Run();

  void Dispatch(std::size_t aEntry, const policy::DispatchOrder& aOrder);
  void Cancel(const RequestId& aId, AttemptNumber aAttempt);
  void Refuse(const RequestId& aId);
  void Fail(const RequestId& aId);

  void FirstToken(AttemptKey aKey);
  void Tokens(AttemptKey aKey, std::uint32_t aCount);
  void Finish(AttemptKey aKey);
  void ConnectionLost(AttemptKey aKey);
  void RecordStep(Duration aGap, std::uint32_t aOutputs);
  void EngineCrashed(std::size_t aEngine);

private:
  struct Attempt
  {
    std::size_t job = 0;
    AttemptNumber number;
    std::size_t engine = 0;
    bool cancelled = false;
  };
  struct LastRoleChange
  {
    EngineRole before = EngineRole::kMixed;
    Instant at{};
    Duration payback{};
  };

  // Runs the callback after the delay; it cannot be cancelled.
  void After(Duration aDelay, std::function<void()> aCallback);
  // Runs the callback periodically until kDrainTime after the last phase.
  void Every(Duration aPeriod, const std::function<void()>& aCallback);
  void Arrive(std::size_t aJob, std::size_t aEntry);
  void ResendPoison(std::size_t aJob);
  void ExchangeDigests();
  void SendLoadReports();
  void RunRoleController();
  void StartChange(const policy::RoleChange& aChange);
  void FinishDrain(std::size_t aEngine, EngineRole aRole);
  void SetStateEverywhere(const BackendId& aId, BackendState aState);
  void Summarize();
  [[nodiscard]] EngineRole InitialRole(std::size_t aEngine) const;
  policy::RequestRouter& RouterOf(std::size_t aJob)
  {
    return mEntries[mJobs[aJob].entry]->Router();
  }

  const RunOptions& mOptions;
  const Deployment& mDeployment;
  Scenario mScenario;
  RunResult& mResult;
  BenchExecutor mExecutor;
  Random mRandom;
  Instant mEnd{};
  std::vector<std::unique_ptr<EngineEventForwarder>> mForwarders;
  std::vector<std::unique_ptr<EngineModel>> mEngines;
  std::vector<std::unique_ptr<SimulatedEntry>> mEntries;
  std::vector<Job> mJobs;
  std::unordered_map<RequestId, std::size_t> mJobIndexById;
  std::vector<Attempt> mAttempts;
  std::unordered_map<RequestId, std::vector<AttemptKey>> mAttemptKeys;
  policy::FleetView mPlannedFleet;
  std::unique_ptr<policy::RoleController> mController;
  std::unordered_map<BackendId, LastRoleChange> mLastRoleChanges;
  Samples mFirstTokens;
  Samples mShortAnswers;
  TokenGapHistogram mGaps;
  Samples mVariations;
};

void
SimulatedEntry::Dispatch(const policy::DispatchOrder& aOrder)
{
  mSimulation.Dispatch(mIndex, aOrder);
}

void
SimulatedEntry::Cancel(const RequestId& aId, AttemptNumber aAttempt)
{
  mSimulation.Cancel(aId, aAttempt);
}

void
SimulatedEntry::Refuse(const RequestId& aId,
                       const policy::Refusal& /*aRefusal*/)
{
  mSimulation.Refuse(aId);
}

void
SimulatedEntry::Fail(const RequestId& aId, policy::FailureReason /*aReason*/)
{
  mSimulation.Fail(aId);
}

void
EngineEventForwarder::OnFirstToken(AttemptKey aKey)
{
  mSimulation.FirstToken(aKey);
}

void
EngineEventForwarder::OnTokens(AttemptKey aKey, std::uint32_t aCount)
{
  mSimulation.Tokens(aKey, aCount);
}

void
EngineEventForwarder::OnFinish(AttemptKey aKey)
{
  mSimulation.Finish(aKey);
}

void
EngineEventForwarder::OnConnectionLost(AttemptKey aKey)
{
  mSimulation.ConnectionLost(aKey);
}

void
EngineEventForwarder::OnStep(Duration aGap, std::uint32_t aOutputs)
{
  mSimulation.RecordStep(aGap, aOutputs);
}

void
EngineEventForwarder::OnCrash()
{
  mSimulation.EngineCrashed(engine);
}

Simulation::Simulation(const RunOptions& aOptions,
                       const Deployment& aDeployment,
                       Scenario aScenario,
                       std::vector<Arrival> aArrivals,
                       RunResult& aResult)
  : mOptions(aOptions)
  , mDeployment(aDeployment)
  , mScenario(std::move(aScenario))
  , mResult(aResult)
  , mRandom(policy::MixHash(aOptions.seed, 1))
{
  for (auto& arrival : aArrivals) {
    mJobIndexById[arrival.info.requestId] = mJobs.size();
    mJobs.push_back({ .arrival = std::move(arrival) });
  }
  for (const auto& phase : mScenario.phases) {
    mEnd += phase.length;
  }
}

tl::expected<void, std::string>
Simulation::Prepare()
{
  const auto capacities = EngineCapacities();
  policy::CostRoleController::Options control;
  control.capacities = capacities;
  auto controller = policy::MakeRoleController(
    mOptions.policy, control, mOptions.disabledParts);
  if (!controller) {
    return tl::make_unexpected(controller.error().message);
  }
  mController = std::move(*controller);
  for (std::size_t i = 0; i < mDeployment.engines; ++i) {
    const BackendId id("engine-" + std::to_string(i));
    const auto role = InitialRole(i);
    mForwarders.push_back(std::make_unique<EngineEventForwarder>(*this));
    mForwarders.back()->engine = i;
    mEngines.push_back(
      std::make_unique<EngineModel>(id, role, mExecutor, *mForwarders.back()));
    mPlannedFleet.Upsert(
      { .id = id,
        .domain = DomainId("domain-" + std::to_string(i % mDeployment.domains)),
        .kind = policy::BackendKind::kEngine,
        .role = role,
        .state = BackendState::kOpen,
        .models = { ModelId("m1") },
        .services = {},
        .capacity = capacities.Of(role) });
  }
  std::vector<HostId> hosts;
  for (std::uint32_t i = 0; i < mOptions.entries; ++i) {
    hosts.emplace_back("entry-" + std::to_string(i));
  }
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    auto policies =
      policy::MakePolicySet(mOptions.policy,
                            { .self = hosts[i],
                              .seed = policy::MixHash(mOptions.seed, 100 + i),
                              .disabledParts = mOptions.disabledParts });
    if (!policies) {
      return tl::make_unexpected(policies.error().message);
    }
    mEntries.push_back(std::make_unique<SimulatedEntry>(
      *this,
      i,
      policy::RequestRouter::Options{ .self = hosts[i],
                                      .incarnation = Incarnation(1) },
      std::move(*policies)));
    for (const auto& backend : mPlannedFleet.All()) {
      mEntries.back()->Fleet().Upsert(backend);
    }
    mEntries.back()->Router().SetEntries(hosts, Instant{});
  }
  return {};
}

void
Simulation::Run()
{
  for (std::size_t i = 0; i < mJobs.size(); ++i) {
    const auto at = mJobs[i].arrival.info.arrival;
    const auto entry = mRandom.Below(mEntries.size());
    After(at.time_since_epoch() + mDeployment.callerOneWayDelay,
          [this, i, entry] { Arrive(i, entry); });
  }
  for (const auto& slowdown : mScenario.slowdowns) {
    for (std::size_t i = 0; i < slowdown.engines; ++i) {
      // The stride puts slow engines into different failure domains.
      auto& engine = *mEngines[i * (mDeployment.domains + 1)];
      After(slowdown.from, [&engine, factor = slowdown.factor] {
        engine.SetStepTimeFactor(factor);
      });
      After(slowdown.until, [&engine] { engine.SetStepTimeFactor(1); });
    }
  }
  Every(kTick, [this] {
    for (auto& entry : mEntries) {
      entry->Router().Tick(mExecutor.Now());
    }
  });
  const bool hasManyEntries = mOptions.entries > kGossipFastEntries;
  Every(hasManyEntries ? kSlowGossipPeriod : kGossipPeriod,
        [this] { ExchangeDigests(); });
  Every(kReportPeriod, [this] { SendLoadReports(); });
  Every(kControlPeriod, [this] { RunRoleController(); });
  mExecutor.RunUntil(mEnd + kDrainTime);
  Summarize();
}

void
Simulation::After(Duration aDelay, std::function<void()> aCallback)
{
  mExecutor.After(aDelay, std::move(aCallback));
}

void
Simulation::Every(Duration aPeriod, const std::function<void()>& aCallback)
{
  After(aPeriod, [this, aPeriod, aCallback] {
    aCallback();
    if (mExecutor.Now() < mEnd + kDrainTime) {
      Every(aPeriod, aCallback);
    }
  });
}

void
Simulation::Arrive(std::size_t aJob, std::size_t aEntry)
{
  auto& job = mJobs[aJob];
  job.entry = aEntry;
  job.delivered = 0;
  auto info = job.arrival.info;
  info.arrival = mExecutor.Now();
  mEntries[aEntry]->Router().OnArrival(std::move(info), mExecutor.Now());
}

void
Simulation::Dispatch(std::size_t /*aEntry*/,
                     const policy::DispatchOrder& aOrder)
{
  const auto jobIndex = mJobIndexById.at(aOrder.requestId);
  const auto& arrival = mJobs[jobIndex].arrival;
  const auto engine = mPlannedFleet.SlotOf(aOrder.backend).Value();
  const AttemptKey key = mAttempts.size();
  mAttempts.push_back({ .job = jobIndex,
                        .number = aOrder.attempt,
                        .engine = engine,
                        .cancelled = false });
  mAttemptKeys[aOrder.requestId].push_back(key);
  const auto resumed = aOrder.resumeFrom.Value();
  EngineRequest request{
    .key = key,
    .promptTokens = arrival.info.promptTokens.Value() + resumed,
    .outputTokens =
      arrival.outputTokens - std::min(resumed, arrival.outputTokens),
    .prefixHashes = arrival.info.prefixHashes,
    .priority = aOrder.urgency.Value(),
    .poison = arrival.poison,
  };
  After(mDeployment.oneWayDelay, [this, key, request = std::move(request)] {
    auto& attempt = mAttempts[key];
    if (attempt.cancelled || mEngines[attempt.engine]->Submit(request)) {
      return;
    }
    After(mDeployment.oneWayDelay, [this, key] {
      const auto& failed = mAttempts[key];
      RouterOf(failed.job)
        .OnError(mJobs[failed.job].arrival.info.requestId,
                 failed.number,
                 policy::AttemptError::kNotSent,
                 mExecutor.Now());
    });
  });
}

void
Simulation::Cancel(const RequestId& aId, AttemptNumber aAttempt)
{
  for (const auto key : mAttemptKeys[aId]) {
    auto& attempt = mAttempts[key];
    if (attempt.number == aAttempt && !attempt.cancelled) {
      attempt.cancelled = true;
      After(mDeployment.oneWayDelay, [this, key, engine = attempt.engine] {
        mEngines[engine]->Cancel(key);
      });
    }
  }
}

void
Simulation::Refuse(const RequestId& aId)
{
  auto& job = mJobs[mJobIndexById.at(aId)];
  if (job.arrival.poison) {
    ResendPoison(mJobIndexById.at(aId));
    return;
  }
  job.isOver = true;
  mResult.refused++;
}

void
Simulation::Fail(const RequestId& aId)
{
  auto& job = mJobs[mJobIndexById.at(aId)];
  mResult.failed++;
  if (job.arrival.poison) {
    ResendPoison(mJobIndexById.at(aId));
    return;
  }
  job.isOver = true;
  mResult.innocentsFailed++;
}

void
Simulation::ResendPoison(std::size_t aJob)
{
  auto& job = mJobs[aJob];
  if (job.sends >= kPoisonSends) {
    job.isOver = true;
    return;
  }
  job.sends++;
  const auto entry = mRandom.Below(mEntries.size());
  After(kPoisonResend, [this, aJob, entry] { Arrive(aJob, entry); });
}

void
Simulation::FirstToken(AttemptKey aKey)
{
  After(mDeployment.oneWayDelay, [this, aKey] {
    const auto& attempt = mAttempts[aKey];
    auto& job = mJobs[attempt.job];
    const bool accepted = RouterOf(attempt.job)
                            .OnFirstToken(job.arrival.info.requestId,
                                          attempt.number,
                                          mExecutor.Now());
    if (!accepted || job.hasFirstToken) {
      return;
    }
    job.hasFirstToken = true;
    job.firstToken = mExecutor.Now() + mDeployment.callerOneWayDelay -
                     job.arrival.info.arrival;
    mFirstTokens.Add(ToSeconds(job.firstToken));
  });
}

void
Simulation::Tokens(AttemptKey aKey, std::uint32_t aCount)
{
  After(mDeployment.oneWayDelay, [this, aKey, aCount] {
    const auto& attempt = mAttempts[aKey];
    auto& job = mJobs[attempt.job];
    if (attempt.cancelled) {
      return;
    }
    job.delivered += aCount;
    RouterOf(attempt.job)
      .OnTokens(job.arrival.info.requestId,
                attempt.number,
                policy::Tokens(aCount),
                mExecutor.Now());
  });
}

void
Simulation::Finish(AttemptKey aKey)
{
  After(mDeployment.oneWayDelay, [this, aKey] {
    const auto& attempt = mAttempts[aKey];
    auto& job = mJobs[attempt.job];
    RouterOf(attempt.job)
      .OnFinish(job.arrival.info.requestId, attempt.number, mExecutor.Now());
    if (attempt.cancelled || job.isOver) {
      return;
    }
    job.isOver = true;
    mResult.answered++;
    const auto& arrival = job.arrival;
    const auto spent =
      mExecutor.Now() + mDeployment.callerOneWayDelay - arrival.info.arrival;
    if (arrival.info.requestType.Value() == "lookup") {
      mShortAnswers.Add(ToSeconds(spent));
    }
    const bool isComplete = job.delivered == arrival.outputTokens;
    const bool isInTime = job.firstToken <= arrival.info.lateAfter &&
                          spent <= AnswerDeadline(arrival);
    if (!isComplete || !isInTime) {
      return;
    }
    const double worth = arrival.info.worth.Value();
    mResult.answeredInTime++;
    mResult.goodputWorth += worth;
    const auto second = static_cast<std::size_t>(
      ToSeconds(arrival.info.arrival.time_since_epoch()));
    mResult.seconds.at(second).goodputWorth += worth;
  });
}

void
Simulation::ConnectionLost(AttemptKey aKey)
{
  After(mDeployment.oneWayDelay, [this, aKey] {
    const auto& attempt = mAttempts[aKey];
    RouterOf(attempt.job)
      .OnError(mJobs[attempt.job].arrival.info.requestId,
               attempt.number,
               policy::AttemptError::kBroken,
               mExecutor.Now());
  });
}

void
Simulation::RecordStep(Duration aGap, std::uint32_t aOutputs)
{
  mGaps.Add(ToSeconds(aGap), aOutputs);
}

void
Simulation::EngineCrashed(std::size_t aEngine)
{
  mResult.enginesCrashed++;
  const auto id = mEngines[aEngine]->Id();
  After(kHostListLag,
        [this, id] { SetStateEverywhere(id, BackendState::kClosed); });
  After(EngineModel::RestartTime() + kHostListLag,
        [this, id] { SetStateEverywhere(id, BackendState::kOpen); });
}

void
Simulation::SetStateEverywhere(const BackendId& aId, BackendState aState)
{
  mPlannedFleet.SetState(aId, aState);
  for (auto& entry : mEntries) {
    entry->Fleet().SetState(aId, aState);
  }
}

void
Simulation::ExchangeDigests()
{
  const auto now = mExecutor.Now();
  auto digests = std::make_shared<std::vector<policy::Digest>>();
  for (auto& entry : mEntries) {
    digests->push_back(entry->Router().MakeDigest(now));
  }
  // A digest reaches other entries through a peer, so a round takes two one-way
  // delays.
  After(2 * mDeployment.oneWayDelay, [this, digests] {
    for (std::size_t to = 0; to < mEntries.size(); ++to) {
      for (std::size_t from = 0; from < digests->size(); ++from) {
        if (from != to) {
          mEntries[to]->Router().OnPeerDigest((*digests)[from],
                                              mExecutor.Now());
        }
      }
    }
  });
}

void
Simulation::SendLoadReports()
{
  std::vector<policy::LoadReport> reports;
  double sum = 0;
  double squares = 0;
  for (const auto& engine : mEngines) {
    const auto report = engine->Report();
    reports.push_back(report);
    const double load =
      report.requests /
      static_cast<double>(BatchLimitsOf(engine->Role()).slots);
    sum += load;
    squares += load * load;
  }
  const auto n = static_cast<double>(mEngines.size());
  if (sum > 0 && mExecutor.Now() < mEnd) {
    const double mean = sum / n;
    mVariations.Add(std::sqrt(std::max(0.0, squares / n - mean * mean)) / mean);
  }
  After(kReportLag, [this, reports] {
    for (auto& entry : mEntries) {
      for (const auto& report : reports) {
        entry->Router().OnReport(report, mExecutor.Now());
      }
    }
  });
}

void
Simulation::RunRoleController()
{
  const auto now = mExecutor.Now();
  if (now >= mEnd) {
    return;
  }
  const auto demand = mEntries.front()->Router().Demand(now);
  for (const auto& change : mController->Decide(mPlannedFleet, demand, now)) {
    StartChange(change);
  }
}

void
Simulation::StartChange(const policy::RoleChange& aChange)
{
  const auto now = mExecutor.Now();
  const auto engine = mPlannedFleet.SlotOf(aChange.backend).Value();
  mController->OnStarted(aChange, now);
  mResult.roleChanges++;
  auto& last = mLastRoleChanges[aChange.backend];
  const bool isReversal = aChange.role == last.before && last.at != Instant{};
  if (isReversal && now < last.at + last.payback) {
    mResult.roleChangesBackEarly++;
  }
  last = { .before = mEngines[engine]->Role(),
           .at = now,
           .payback = mController->Payback() };
  mPlannedFleet.SetState(aChange.backend, BackendState::kDraining);
  After(kPlanLag, [this, engine, change = aChange] {
    SetStateEverywhere(change.backend, BackendState::kDraining);
    After(kPlanLag,
          [this, engine, role = change.role] { FinishDrain(engine, role); });
  });
}

void
Simulation::FinishDrain(std::size_t aEngine, EngineRole aRole)
{
  auto& engine = *mEngines[aEngine];
  const auto id = engine.Id();
  if (!engine.IsUp()) {
    // The engine crashed while draining, so the role change is abandoned.
    mController->OnFinished(id, mExecutor.Now());
    return;
  }
  if (!engine.IsIdle()) {
    After(kPlanLag, [this, aEngine, aRole] { FinishDrain(aEngine, aRole); });
    return;
  }
  engine.ChangeRole(aRole, [this, id, aRole] {
    const auto capacity = EngineCapacities().Of(aRole);
    mPlannedFleet.SetRole(id, aRole, capacity);
    for (auto& entry : mEntries) {
      entry->Fleet().SetRole(id, aRole, capacity);
    }
    SetStateEverywhere(id, BackendState::kOpen);
    mController->OnFinished(id, mExecutor.Now());
  });
}

EngineRole
Simulation::InitialRole(std::size_t aEngine) const
{
  constexpr std::size_t kGroup = 3;
  switch (aEngine % kGroup) {
    case 0:
      return EngineRole::kPrefill;
    case 1:
      return EngineRole::kDecode;
    default:
      return EngineRole::kMixed;
  }
}

void
Simulation::Summarize()
{
  constexpr double kMedian = 0.5;
  constexpr double kP95 = 0.95;
  constexpr double kP99 = 0.99;
  for (const auto& job : mJobs) {
    mResult.unanswered += job.isOver ? 0 : 1;
  }
  for (auto& entry : mEntries) {
    const auto& count = entry->Router().Count();
    mResult.retries += count.retries;
    mResult.hedges += count.hedges;
    mResult.resumes += count.resumes;
  }
  double prefix = 0;
  double cached = 0;
  for (const auto& engine : mEngines) {
    prefix += static_cast<double>(engine->PrefixTokens());
    cached += static_cast<double>(engine->CachedPrefixTokens());
  }
  if (prefix > 0) {
    mResult.prefixHitShare = cached / prefix;
  }
  mResult.firstTokenP50 = mFirstTokens.Quantile(kMedian);
  mResult.firstTokenP95 = mFirstTokens.Quantile(kP95);
  mResult.firstTokenP99 = mFirstTokens.Quantile(kP99);
  mResult.shortP99 = mShortAnswers.Quantile(kP99);
  mResult.tokenGapP95 = mGaps.Quantile(kP95);
  mResult.loadVariation = mVariations.Quantile(kMedian);
}

std::vector<Arrival>
MakeRunArrivals(const RunOptions& aOptions,
                const Deployment& aDeployment,
                const Scenario& aScenario)
{
  auto arrivals = MakeArrivals(aDeployment, aScenario, aOptions.seed);
  if (aOptions.calm) {
    std::erase_if(arrivals, [](const auto& aArrival) {
      return aArrival.poison ||
             aArrival.info.requestType.Value() == "straggler";
    });
  }
  return arrivals;
}

void
ComputePhaseGoodput(RunResult& aResult, const Scenario& aScenario)
{
  std::size_t second = 0;
  Duration end{};
  for (const auto& phase : aScenario.phases) {
    end += phase.length;
    double offered = 0;
    double goodput = 0;
    const auto last = static_cast<std::size_t>(ToSeconds(end));
    for (; second < last && second < aResult.seconds.size(); ++second) {
      offered += aResult.seconds[second].offeredWorth;
      goodput += aResult.seconds[second].goodputWorth;
    }
    aResult.phaseGoodput.push_back(offered > 0 ? goodput / offered : 0);
  }
}

} // namespace

tl::expected<RunResult, std::string>
Run(const RunOptions& aOptions)
{
  const auto* const deployment = FindDeployment(aOptions.deployment);
  if (!deployment) {
    return tl::make_unexpected("unknown deployment '" + aOptions.deployment +
                               "'");
  }
  auto scenario = FindScenario(aOptions.scenario, aOptions.load);
  if (!scenario) {
    return tl::make_unexpected(scenario.error());
  }
  if (aOptions.entries == 0) {
    return tl::make_unexpected("the number of entries must be at least 1");
  }
  if (aOptions.calm) {
    scenario->slowdowns.clear();
  }
  RunResult result;
  result.scenario = aOptions.scenario;
  result.policy = aOptions.policy;
  result.deployment = aOptions.deployment;
  result.without = { aOptions.disabledParts.begin(),
                     aOptions.disabledParts.end() };
  result.seed = aOptions.seed;
  result.entries = aOptions.entries;
  result.load = aOptions.scenario == "steady" ? aOptions.load : 0;
  result.calm = aOptions.calm;
  auto arrivals = MakeRunArrivals(aOptions, *deployment, *scenario);
  for (const auto& arrival : arrivals) {
    const auto second = static_cast<std::size_t>(
      ToSeconds(arrival.info.arrival.time_since_epoch()));
    result.seconds.resize(std::max(result.seconds.size(), second + 1));
    if (arrival.poison) {
      continue;
    }
    result.offered++;
    result.offeredWorth += arrival.info.worth.Value();
    result.seconds[second].offeredWorth += arrival.info.worth.Value();
  }
  if (aOptions.policy == "clairvoyant") {
    FillClairvoyantBound(result, *deployment, arrivals);
    ComputePhaseGoodput(result, *scenario);
    return result;
  }
  Simulation simulation(
    aOptions, *deployment, *scenario, std::move(arrivals), result);
  if (auto prepared = simulation.Prepare(); !prepared) {
    return tl::make_unexpected(prepared.error());
  }
  simulation.Run();
  ComputePhaseGoodput(result, *scenario);
  return result;
}

} // namespace firefly::bench

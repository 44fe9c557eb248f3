// Tests the lease, the order journal and planned changes under seeded faults.
// Half of the engines check fencing numbers, the others do not.

#include <array>
#include <cstdio>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coord/lease.h"
#include "coord/order_journal.h"
#include "coord/testing/fake_log.h"
#include "coord/testing/fake_process.h"
#include "tests/coord/fault_injector.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;

namespace firefly::coord {

namespace {

const StreamName kStream("authority");
constexpr int kSchedules = 1000;
constexpr int kStewards = 4;
constexpr int kEntries = 2;
constexpr int kBackends = 4;
constexpr Duration kFaultSpan = 40s;
constexpr Duration kRecoverySpan = 30s;
// The maximum time that an order may be in transit. It is below the lease's
// grace period, which the TCP_USER_TIMEOUT of the order's sender ensures.
constexpr Duration kMaxTransit = 1500ms;
// The probabilities of a pause between the check of the lease and the send, and
// of a pause of a lease holder in each 50 ms.
constexpr double kPauseAtSend = 0.2;
constexpr double kPauseAsHolder = 0.005;

// Counts violations, which must stay zero, and some totals.
struct Counts
{
  int staleOrders = 0;       // accepted after a newer holder got the authority
  int conflictingOrders = 0; // accepted, but not open in the log or engine busy
  int interruptedRequests = 0; // running when an order was accepted
  int twoHolders = 0;          // checks that found two stewards with Held()
  int stalled = 0;             // schedules without an order after the faults
  int wrongPlan = 0;           // open in the plan, but serving another state
  int orders = 0;              // accepted orders; not a violation
  int schedules = 0;           // schedules run; not a violation
};

// The state that results from all records in the log, regardless of what each
// process has read.
class LogReplay
{
public:
  explicit LogReplay(FakeLog& aLog)
    : mLog(aLog)
    , mState(TestChart("backend"))
  {
  }

  const AuthorityState& Now()
  {
    const auto records = mLog.Records(kStream);
    for (; mNext < records.size(); ++mNext) {
      const auto record = DecodeEnvelope(records[mNext].payload);
      if (record->kind != RecordKind::kCheckpoint) {
        mState.Apply(records[mNext].offset, *record);
      }
    }
    return mState;
  }

private:
  FakeLog& mLog;
  AuthorityState mState;
  std::size_t mNext = 0;
};

struct Engine
{
  BackendId id;
  bool checksFence = false;
  FencingNumber fence{};
  std::optional<WantedState> serving{};
  std::optional<Order> busy{};
  int running = 0;
};

class World;

// A steward that changes random backend servers one after the other.
class Steward : public LeaseObserver
{
public:
  Steward(World& aWorld, int aIndex, std::uint64_t aIncarnation);
  ~Steward() override { mProcess.Kill(); }

  void OnAcquired(FencingNumber aFence) override;
  void OnLost() override
  {
    mWorkFence.reset();
    mSent.clear();
  }
  void OnHolderChanged(const LeaseHolder&) override {}

  FakeProcess& Process() { return mProcess; }
  std::optional<FencingNumber> Held() const { return mLease.Held(); }

private:
  void Step();
  void AdvanceBackend(const BackendId& aBackend, const PlanEntry* aEntry);
  void CloseOrder(const Order& aOrder);
  void Send(const Order& aOrder);

  World& mWorld;
  FakeProcess mProcess;
  AuthorityStream mStream;
  Lease mLease;
  OrderJournal mJournal;
  Random mRandom;
  std::optional<FencingNumber> mWorkFence;
  bool mBusy = false; // waiting for a record of the journal, or for an engine
  std::set<std::pair<std::uint64_t, std::uint64_t>> mSent;
  Timer mTimer;
};

// An entry that sends requests to random backend servers that are open in its
// copy of the plan.
class Entry
{
public:
  Entry(World& aWorld, int aIndex);

  FakeProcess& Process() { return mProcess; }
  // Whether this entry sends no new requests to the backend server, as of that
  // version of the plan, and has none outstanding.
  bool Closed(int aBackend, LogOffset aVersion) const;

private:
  void Step();

  World& mWorld;
  FakeProcess mProcess;
  AuthorityStream mStream;
  Random mRandom;
  std::array<int, kBackends> mOutstanding{};
  Timer mTimer;
};

class World
{
public:
  explicit World(std::uint64_t aSeed);

  Counts Run();
  void Restart(int aSteward);
  Engine& EngineOf(const BackendId& aBackend);
  // Delivers an order to its engine; returns whether the engine accepted it.
  bool Deliver(const Order& aOrder);
  void CheckInvariants();
  // Pauses the process with the probability aChance for up to 15 s, which is
  // longer than twice the lease. Does nothing after the faults have ended.
  void MaybePause(FakeProcess& aProcess, double aChance);
  Duration Transit() { return FromSeconds(1.5 * random.Uniform()); }

  VirtualExecutor executor;
  Random random;
  FakeLog log;
  LogReplay replay;
  Counts counts;
  std::vector<Engine> engines;
  std::uint64_t incarnations = 0;
  FencingNumber newestHolder{};
  bool faultsEnded = false;
  std::vector<std::unique_ptr<Steward>> stewards;
  std::vector<std::unique_ptr<Steward>> killed;
  std::vector<std::unique_ptr<Entry>> entries;
  std::vector<Timer> timers;
};

AuthorityStream::Options
StreamOptions(const std::string& aWriter, std::uint64_t aSeed)
{
  return { .stream = kStream,
           .writer = WriterId(aWriter),
           .backendChart = &TestChart("backend"),
           .seed = aSeed };
}

std::string
StewardName(int aIndex)
{
  return "steward-" + std::to_string(aIndex);
}

Steward::Steward(World& aWorld, int aIndex, std::uint64_t aIncarnation)
  : mWorld(aWorld)
  , mProcess(aWorld.executor)
  , mStream(
      StreamOptions(StewardName(aIndex) + "/" + std::to_string(aIncarnation),
                    aIncarnation),
      mProcess,
      aWorld.log.MakeClient(StewardName(aIndex), mProcess))
  , mLease({ .host = HostId(StewardName(aIndex)),
             .incarnation = Incarnation(aIncarnation),
             .chart = &TestChart("authority"),
             .seed = aWorld.random.Next() },
           mProcess,
           mStream,
           *this)
  , mJournal({}, mProcess, mStream)
  , mRandom(aWorld.random.Next())
{
  mStream.Start();
  mLease.Start();
  Step();
}

void
Steward::OnAcquired(FencingNumber aFence)
{
  mWorkFence = aFence;
  mWorld.newestHolder = std::max(mWorld.newestHolder, aFence);
}

// Each step depends only on the plan, so that a new holder continues where the
// former one stopped.
void
Steward::Step()
{
  mTimer = mProcess.RunAfter(100ms, [this] { Step(); });
  if (!mWorkFence || mLease.Held() != mWorkFence || mBusy) {
    return;
  }
  const auto& backend = mWorld.engines[mRandom.Below(kBackends)].id;
  AdvanceBackend(backend, mStream.State().Find(backend));
}

void
Steward::AdvanceBackend(const BackendId& aBackend, const PlanEntry* aEntry)
{
  const auto done = [this](const auto&) { mBusy = false; };
  const auto advance = [&](const char* aEvent) {
    mBusy = true;
    mJournal.Advance(*mWorkFence, aBackend, aEvent, done);
  };
  const auto state = aEntry == nullptr ? "open" : aEntry->state;
  const int index = std::stoi(aBackend.Value());
  if (aEntry != nullptr && aEntry->open) {
    CloseOrder(*aEntry->open);
  } else if (state == "open") {
    advance("close");
  } else if (state == "closing") {
    bool closed = true;
    for (const auto& it : mWorld.entries) {
      closed = closed && it->Closed(index, aEntry->version);
    }
    if (closed) {
      advance("acknowledged");
    }
  } else if (state == "draining") {
    if (mWorld.EngineOf(aBackend).running == 0) {
      advance("idle");
    }
  } else {
    mBusy = true;
    const WantedState wanted{ .model =
                                ModelId(std::to_string(mRandom.Below(5))) };
    mJournal.Begin(*mWorkFence, aBackend, wanted, [this](const auto& aOrder) {
      mBusy = false;
      if (aOrder && mLease.Held() == aOrder->fence) {
        Send(*aOrder);
      }
    });
  }
}

// Sends an order. The process may be paused between the check of the lease and
// the send; an order whose lease has ended by then is not sent, as with the
// sender's kernel timer.
void
Steward::Send(const Order& aOrder)
{
  mSent.emplace(aOrder.fence.Value(), aOrder.id.Value());
  const auto until = mLease.ValidUntil();
  mWorld.MaybePause(mProcess, kPauseAtSend);
  mProcess.Post([this, aOrder, until] {
    if (mProcess.Now() >= until) {
      return;
    }
    mWorld.timers.push_back(mWorld.executor.RunAfter(
      mWorld.Transit(), [this, aOrder] { mWorld.Deliver(aOrder); }));
  });
}

// Closes an order whose outcome is not known: reads the engine's state, passing
// the steward's own fencing number, and records the outcome.
void
Steward::CloseOrder(const Order& aOrder)
{
  mBusy = true;
  const auto fence = *mWorkFence;
  const bool own = mSent.contains({ aOrder.fence.Value(), aOrder.id.Value() });
  mTimer =
    mProcess.RunAfter(own ? kMaxTransit + 4s : 300ms, [this, aOrder, fence] {
      mBusy = false;
      mTimer = mProcess.RunAfter(300ms, [this] { Step(); });
      auto& engine = mWorld.EngineOf(aOrder.backend);
      if (mLease.Held() != fence) {
        return;
      }
      engine.fence = std::max(engine.fence, fence);
      if (engine.busy) {
        return;
      }
      const bool applied = engine.serving == aOrder.wanted;
      mBusy = true;
      mJournal.Finish(fence,
                      aOrder,
                      applied ? OrderResult::kApplied : OrderResult::kFailed,
                      [this](const auto&) { mBusy = false; });
    });
}

Entry::Entry(World& aWorld, int aIndex)
  : mWorld(aWorld)
  , mProcess(aWorld.executor)
  , mStream(StreamOptions("entry-" + std::to_string(aIndex), 100U + aIndex),
            mProcess,
            aWorld.log.MakeClient("entry-" + std::to_string(aIndex), mProcess))
  , mRandom(aWorld.random.Next())
{
  mStream.Start();
  Step();
}

bool
Entry::Closed(int aBackend, LogOffset aVersion) const
{
  const auto* entry = mStream.State().Find(BackendId(std::to_string(aBackend)));
  return mProcess.Running() && entry != nullptr && entry->version >= aVersion &&
         entry->state != "open" && mOutstanding.at(aBackend) == 0;
}

void
Entry::Step()
{
  mTimer = mProcess.RunAfter(200ms, [this] { Step(); });
  const auto index = mRandom.Below(kBackends);
  const auto* entry = mStream.State().Find(BackendId(std::to_string(index)));
  if (!mStream.Folding().Ready() ||
      (entry != nullptr && entry->state != "open")) {
    return;
  }
  ++mOutstanding.at(index);
  const auto transit = mWorld.Transit();
  const auto span = FromSeconds(3 * mRandom.Uniform());
  auto& engine = mWorld.engines[index];
  mWorld.timers.push_back(
    mWorld.executor.RunAfter(transit, [&engine] { ++engine.running; }));
  mWorld.timers.push_back(
    mWorld.executor.RunAfter(transit + span, [this, &engine, index] {
      --engine.running;
      mProcess.Post([this, index] { --mOutstanding.at(index); });
    }));
}

World::World(std::uint64_t aSeed)
  : random(aSeed)
  , log({ .seed = aSeed }, executor)
  , replay(log)
{
  for (int n = 0; n < kBackends; ++n) {
    engines.push_back(
      { .id = BackendId(std::to_string(n)), .checksFence = n % 2 == 0 });
  }
  for (int n = 0; n < kEntries; ++n) {
    entries.push_back(std::make_unique<Entry>(*this, n));
  }
  for (int n = 0; n < kStewards; ++n) {
    stewards.push_back(std::make_unique<Steward>(*this, n, ++incarnations));
  }
}

void
World::Restart(int aSteward)
{
  auto& steward = stewards[aSteward];
  steward->Process().Kill();
  killed.push_back(std::move(steward));
  steward = std::make_unique<Steward>(*this, aSteward, ++incarnations);
}

Engine&
World::EngineOf(const BackendId& aBackend)
{
  return engines[std::stoi(aBackend.Value())];
}

bool
World::Deliver(const Order& aOrder)
{
  auto& engine = EngineOf(aOrder.backend);
  if (engine.checksFence && aOrder.fence < engine.fence) {
    return false;
  }
  engine.fence = std::max(engine.fence, aOrder.fence);
  ++counts.orders;
  const auto* plan = replay.Now().Find(aOrder.backend);
  counts.staleOrders += aOrder.fence < newestHolder ? 1 : 0;
  counts.conflictingOrders +=
    plan == nullptr || plan->open != aOrder || engine.busy ? 1 : 0;
  counts.interruptedRequests += engine.running;
  engine.busy = aOrder;
  timers.push_back(executor.RunAfter(2s, [&engine, aOrder] {
    engine.serving = aOrder.wanted;
    engine.busy.reset();
  }));
  return true;
}

void
World::MaybePause(FakeProcess& aProcess, double aChance)
{
  if (faultsEnded || !random.Chance(aChance)) {
    return;
  }
  aProcess.Pause();
  timers.push_back(executor.RunAfter(FromSeconds(15 * random.Uniform()),
                                     [&aProcess] { aProcess.Resume(); }));
}

void
World::CheckInvariants()
{
  int holders = 0;
  for (const auto& it : stewards) {
    if (it->Held()) {
      ++holders;
      MaybePause(it->Process(), kPauseAsHolder);
    }
  }
  counts.twoHolders += holders > 1 ? 1 : 0;
  for (const auto& [backend, entry] : replay.Now().Plan()) {
    const bool serves = entry.state == "open" && entry.serving;
    counts.wrongPlan +=
      serves && entry.serving != EngineOf(backend).serving ? 1 : 0;
  }
  timers.push_back(executor.RunAfter(50ms, [this] { CheckInvariants(); }));
}

Counts
World::Run()
{
  std::vector<FaultTarget> targets;
  targets.reserve(kStewards + kEntries);
  for (int n = 0; n < kStewards; ++n) {
    targets.push_back(
      { .logClient = StewardName(n),
        .pause = [this, n] { stewards[n]->Process().Pause(); },
        .resume = [this, n] { stewards[n]->Process().Resume(); },
        .restart = [this, n] { Restart(n); } });
  }
  for (int n = 0; n < kEntries; ++n) {
    targets.push_back({ .logClient = "entry-" + std::to_string(n),
                        .pause = [this, n] { entries[n]->Process().Pause(); },
                        .resume = [this, n] { entries[n]->Process().Resume(); },
                        .restart = {} });
  }
  CheckInvariants();
  FaultInjector faults(random.Next(), executor, log, std::move(targets));
  faults.Run(kFaultSpan);
  faultsEnded = true;
  const int before = counts.orders;
  executor.RunFor(kRecoverySpan);
  counts.stalled = counts.orders > before ? 0 : 1;
  return counts;
}

bool
Fails(std::uint64_t aSeed, Counts& aSum)
{
  World world(aSeed);
  const auto counts = world.Run();
  aSum.staleOrders += counts.staleOrders;
  aSum.conflictingOrders += counts.conflictingOrders;
  aSum.interruptedRequests += counts.interruptedRequests;
  aSum.twoHolders += counts.twoHolders;
  aSum.stalled += counts.stalled;
  aSum.wrongPlan += counts.wrongPlan;
  aSum.orders += counts.orders;
  ++aSum.schedules;
  return counts.staleOrders + counts.conflictingOrders +
           counts.interruptedRequests + counts.twoHolders + counts.stalled +
           counts.wrongPlan >
         0;
}

} // namespace

TEST_GROUP(AuthorityFaultsTest){};

TEST(AuthorityFaultsTest, NoOrderAfterLosingTheLeaseAndNoConflictingOrders)
{
  Counts sum;
  const int failed =
    CountSchedules("authority", kSchedules, [&](std::uint64_t aSeed) {
      return Fails(aSeed, sum);
    });
  std::printf(
    "stale orders %d, conflicting orders %d, interrupted requests %d, "
    "two holders %d, stalled %d, wrong plan %d, orders %d\n",
    sum.staleOrders,
    sum.conflictingOrders,
    sum.interruptedRequests,
    sum.twoHolders,
    sum.stalled,
    sum.wrongPlan,
    sum.orders);
  LONGS_EQUAL(0, sum.staleOrders);
  LONGS_EQUAL(0, sum.conflictingOrders);
  LONGS_EQUAL(0, sum.interruptedRequests);
  LONGS_EQUAL(0, sum.twoHolders);
  LONGS_EQUAL(0, sum.stalled);
  LONGS_EQUAL(0, sum.wrongPlan);
  LONGS_EQUAL(0, failed);
  CHECK_TRUE(sum.orders > 5 * sum.schedules);
}

} // namespace firefly::coord

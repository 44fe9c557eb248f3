// The lease, the journal and planned changes under seeded faults, with engines
// that check fencing numbers and engines that don't.

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
constexpr Duration kHealedSpan = 30s;
// How long bytes may be on their way: below the lease's grace, as the order
// sender's TCP_USER_TIMEOUT sees to.
constexpr Duration kMaxTransit = 1500ms;
// The chances of a pause between check and send, and each 50 ms of a holder.
constexpr double kPauseAtSend = 0.2;
constexpr double kPauseAsHolder = 0.005;

// What must stay zero.
struct Counts
{
  int staleOrders = 0;       // accepted after another one got the authority
  int conflictingOrders = 0; // accepted while not the one open order
  int cutRequests = 0;       // running when an order was accepted
  int twoHolders = 0;        // Held() by two running processes at a time
  int unsettled = 0;         // after all healed: no holder, or open orders
  int wrongPlan = 0;         // open by the plan, but serving something else
  int orders = 0;            // accepted; not a fault
  int schedules = 0;         // run; not a fault
};

// The state of the log itself, whatever any process has read.
class Oracle
{
public:
  explicit Oracle(FakeLog& aLog)
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
  bool checks = false;
  FencingNumber fence{};
  std::optional<WantedState> serving{};
  std::optional<Order> busy{};
  int running = 0;
};

class World;

// A steward that changes one backend server after the other.
class Steward : public LeaseObserver
{
public:
  Steward(World& aWorld, int aIndex, std::uint64_t aLife);
  ~Steward() override { mProcess.Kill(); }

  void OnAcquired(FencingNumber aFence) override;
  void OnLost() override
  {
    mWork.reset();
    mSent.clear();
  }
  void OnHolderChanged(const LeaseHolder&) override {}

  FakeProcess& Process() { return mProcess; }
  std::optional<FencingNumber> Held() const { return mLease.Held(); }

private:
  void Work();
  void Drive(const BackendId& aBackend, const PlanEntry* aEntry);
  void Settle(const Order& aOrder);
  void Send(const Order& aOrder);

  World& mWorld;
  FakeProcess mProcess;
  AuthorityStream mStream;
  Lease mLease;
  OrderJournal mJournal;
  Random mRandom;
  std::optional<FencingNumber> mWork;
  bool mBusy = false; // a record of the journal is under way
  std::set<std::pair<std::uint64_t, std::uint64_t>> mSent;
  Timer mTimer;
};

// An entry that sends requests to each backend server that its plan shows open.
class Entry
{
public:
  Entry(World& aWorld, int aIndex);

  FakeProcess& Process() { return mProcess; }
  // Whether it confirms that no new work goes there and none is outstanding.
  bool Closed(int aBackend, LogOffset aVersion) const;

private:
  void Work();

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
  // The order's bytes reach the engine; the answer is whether it took it.
  bool Deliver(const Order& aOrder);
  void CheckAll();
  // Stops the process for up to twice the lease, at a point where that hurts.
  void PauseHere(FakeProcess& aProcess, double aChance);
  Duration Transit() { return FromSeconds(1.5 * random.Uniform()); }

  VirtualExecutor executor;
  Random random;
  FakeLog log;
  Oracle oracle;
  Counts counts;
  std::vector<Engine> engines;
  std::uint64_t lives = 0;
  FencingNumber newestHolder{};
  bool healed = false;
  std::vector<std::unique_ptr<Steward>> stewards;
  std::vector<std::unique_ptr<Steward>> dead;
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

Steward::Steward(World& aWorld, int aIndex, std::uint64_t aLife)
  : mWorld(aWorld)
  , mProcess(aWorld.executor)
  , mStream(
      StreamOptions(StewardName(aIndex) + "/" + std::to_string(aLife), aLife),
      mProcess,
      aWorld.log.MakeClient(StewardName(aIndex), mProcess))
  , mLease({ .host = HostId(StewardName(aIndex)),
             .incarnation = Incarnation(aLife),
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
  Work();
}

void
Steward::OnAcquired(FencingNumber aFence)
{
  mWork = aFence;
  mWorld.newestHolder = std::max(mWorld.newestHolder, aFence);
}

// Each step starts from the plan, so that a new holder goes on where the old
// one stopped.
void
Steward::Work()
{
  mTimer = mProcess.RunAfter(100ms, [this] { Work(); });
  if (!mWork || mLease.Held() != mWork || mBusy) {
    return;
  }
  const auto& backend = mWorld.engines[mRandom.Below(kBackends)].id;
  Drive(backend, mStream.State().Find(backend));
}

void
Steward::Drive(const BackendId& aBackend, const PlanEntry* aEntry)
{
  const auto done = [this](const auto&) { mBusy = false; };
  const auto advance = [&](const char* aEvent) {
    mBusy = true;
    mJournal.Advance(*mWork, aBackend, aEvent, done);
  };
  const auto state = aEntry == nullptr ? "open" : aEntry->state;
  const int index = std::stoi(aBackend.Value());
  if (aEntry != nullptr && aEntry->open) {
    Settle(*aEntry->open);
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
    mJournal.Begin(*mWork, aBackend, wanted, [this](const auto& aOrder) {
      mBusy = false;
      if (aOrder && mLease.Held() == aOrder->fence) {
        Send(*aOrder);
      }
    });
  }
}

// The order goes out from a process that may stop at any instant between the
// check and the send. The sender's kernel timer ends it at its lease's end.
void
Steward::Send(const Order& aOrder)
{
  mSent.emplace(aOrder.fence.Value(), aOrder.id.Value());
  const auto until = mLease.ValidUntil();
  mWorld.PauseHere(mProcess, kPauseAtSend);
  mProcess.Post([this, aOrder, until] {
    if (mProcess.Now() >= until) {
      return;
    }
    mWorld.timers.push_back(mWorld.executor.RunAfter(
      mWorld.Transit(), [this, aOrder] { mWorld.Deliver(aOrder); }));
  });
}

// An order whose outcome is open: the engine is read, under the own fence.
void
Steward::Settle(const Order& aOrder)
{
  mBusy = true;
  const auto fence = *mWork;
  const bool own = mSent.contains({ aOrder.fence.Value(), aOrder.id.Value() });
  mTimer =
    mProcess.RunAfter(own ? kMaxTransit + 4s : 300ms, [this, aOrder, fence] {
      mBusy = false;
      mTimer = mProcess.RunAfter(300ms, [this] { Work(); });
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
  Work();
}

bool
Entry::Closed(int aBackend, LogOffset aVersion) const
{
  const auto* entry = mStream.State().Find(BackendId(std::to_string(aBackend)));
  return mProcess.Running() && entry != nullptr && entry->version >= aVersion &&
         entry->state != "open" && mOutstanding.at(aBackend) == 0;
}

void
Entry::Work()
{
  mTimer = mProcess.RunAfter(200ms, [this] { Work(); });
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
  , oracle(log)
{
  for (int n = 0; n < kBackends; ++n) {
    engines.push_back(
      { .id = BackendId(std::to_string(n)), .checks = n % 2 == 0 });
  }
  for (int n = 0; n < kEntries; ++n) {
    entries.push_back(std::make_unique<Entry>(*this, n));
  }
  for (int n = 0; n < kStewards; ++n) {
    stewards.push_back(std::make_unique<Steward>(*this, n, ++lives));
  }
}

void
World::Restart(int aSteward)
{
  auto& steward = stewards[aSteward];
  steward->Process().Kill();
  dead.push_back(std::move(steward));
  steward = std::make_unique<Steward>(*this, aSteward, ++lives);
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
  if (engine.checks && aOrder.fence < engine.fence) {
    return false;
  }
  engine.fence = std::max(engine.fence, aOrder.fence);
  ++counts.orders;
  const auto* plan = oracle.Now().Find(aOrder.backend);
  counts.staleOrders += aOrder.fence < newestHolder ? 1 : 0;
  counts.conflictingOrders +=
    plan == nullptr || plan->open != aOrder || engine.busy ? 1 : 0;
  counts.cutRequests += engine.running;
  engine.busy = aOrder;
  timers.push_back(executor.RunAfter(2s, [&engine, aOrder] {
    engine.serving = aOrder.wanted;
    engine.busy.reset();
  }));
  return true;
}

void
World::PauseHere(FakeProcess& aProcess, double aChance)
{
  if (healed || !random.Chance(aChance)) {
    return;
  }
  aProcess.Pause();
  timers.push_back(executor.RunAfter(FromSeconds(15 * random.Uniform()),
                                     [&aProcess] { aProcess.Resume(); }));
}

void
World::CheckAll()
{
  int holders = 0;
  for (const auto& it : stewards) {
    if (it->Held()) {
      ++holders;
      PauseHere(it->Process(), kPauseAsHolder);
    }
  }
  counts.twoHolders += holders > 1 ? 1 : 0;
  for (const auto& [backend, entry] : oracle.Now().Plan()) {
    const bool serves = entry.state == "open" && entry.serving;
    counts.wrongPlan +=
      serves && entry.serving != EngineOf(backend).serving ? 1 : 0;
  }
  timers.push_back(executor.RunAfter(50ms, [this] { CheckAll(); }));
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
  CheckAll();
  FaultInjector faults(random.Next(), executor, log, std::move(targets));
  faults.Run(kFaultSpan);
  healed = true;
  const int before = counts.orders;
  executor.RunFor(kHealedSpan);
  counts.unsettled = counts.orders > before ? 0 : 1;
  return counts;
}

bool
Fails(std::uint64_t aSeed, Counts& aSum)
{
  World world(aSeed);
  const auto counts = world.Run();
  aSum.staleOrders += counts.staleOrders;
  aSum.conflictingOrders += counts.conflictingOrders;
  aSum.cutRequests += counts.cutRequests;
  aSum.twoHolders += counts.twoHolders;
  aSum.unsettled += counts.unsettled;
  aSum.wrongPlan += counts.wrongPlan;
  aSum.orders += counts.orders;
  ++aSum.schedules;
  return counts.staleOrders + counts.conflictingOrders + counts.cutRequests +
           counts.twoHolders + counts.unsettled + counts.wrongPlan >
         0;
}

} // namespace

TEST_GROUP(AuthorityFaultsTest){};

TEST(AuthorityFaultsTest, NoOrderAfterLossAndNoConflict)
{
  Counts sum;
  const int failed =
    CountSchedules("authority", kSchedules, [&](std::uint64_t aSeed) {
      return Fails(aSeed, sum);
    });
  std::printf("stale orders %d, conflicting orders %d, cut requests %d, "
              "two holders %d, unsettled %d, wrong plan %d, orders %d\n",
              sum.staleOrders,
              sum.conflictingOrders,
              sum.cutRequests,
              sum.twoHolders,
              sum.unsettled,
              sum.wrongPlan,
              sum.orders);
  LONGS_EQUAL(0, sum.staleOrders);
  LONGS_EQUAL(0, sum.conflictingOrders);
  LONGS_EQUAL(0, sum.cutRequests);
  LONGS_EQUAL(0, sum.twoHolders);
  LONGS_EQUAL(0, sum.unsettled);
  LONGS_EQUAL(0, sum.wrongPlan);
  LONGS_EQUAL(0, failed);
  CHECK_TRUE(sum.orders > 5 * sum.schedules);
}

} // namespace firefly::coord

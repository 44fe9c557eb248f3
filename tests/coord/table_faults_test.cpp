// Tests concurrent edits and reads of the operators' table under seeded faults.

#include <array>
#include <cstdio>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "coord/testing/fake_log.h"
#include "coord/testing/fake_process.h"
#include "coord/versioned_table.h"
#include "tests/coord/fault_injector.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;

namespace firefly::coord {

namespace {

const StreamName kStream("table");
constexpr int kSchedules = 1000;
constexpr int kDaemons = 6;
constexpr Duration kFaultSpan = 40s;
constexpr Duration kRecoverySpan = 30s;
// The time in which an edit must reach all processes that are connected.
constexpr Duration kMaxSpreadTime = 12s;

// Counts violations, which must stay zero, and some totals.
struct Counts
{
  int regressions = 0; // a daemon's version decreased
  int differing = 0;   // two payloads for one version
  int overwritten = 0; // versions whose edit named another base version
  int lostEdits = 0;   // reported as accepted, but the version has another one
  int falseRejections = 0; // reported as not accepted, but in a version
  int lagging = 0;         // daemons not at the newest version after the faults
  int accepted = 0;        // accepted edits; not a violation
  int conflicts = 0;       // edits reported as without effect; no violation
  int schedules = 0;       // schedules run; not a violation

  [[nodiscard]] int Faults() const
  {
    return regressions + differing + overwritten + lostEdits + falseRejections +
           lagging;
  }
  void Add(const Counts& aOther)
  {
    regressions += aOther.regressions;
    differing += aOther.differing;
    overwritten += aOther.overwritten;
    lostEdits += aOther.lostEdits;
    falseRejections += aOther.falseRejections;
    lagging += aOther.lagging;
    accepted += aOther.accepted;
    conflicts += aOther.conflicts;
    ++schedules;
  }
};

class World
{
public:
  explicit World(std::uint64_t aSeed);
  Counts Run();

private:
  // A daemon with a table that peers and operators can access. A restart
  // creates a new one.
  struct Daemon : public TableObserver
  {
    Daemon(World& aWorld, int aIndex, std::uint64_t aIncarnation);
    void OnVersion(const Snapshot& aSnapshot) override;

    World& world;
    FakeProcess process;
    TableVersion version{};
    VersionedTable table;
  };

  static std::string Name(int aIndex);
  void Restart(int aIndex);
  void Edit();
  void Gossip();
  void TrimOldRecords();

  VirtualExecutor mExecutor;
  Random mRandom;
  FakeLog mLog;
  Counts mCounts;
  std::vector<std::unique_ptr<Daemon>> mDaemons;
  std::vector<std::unique_ptr<Daemon>> mKilled;
  std::map<TableVersion, std::string> mPayloads; // as observed by any daemon
  std::map<TableVersion, std::string> mAccepted; // as reported to operators
  std::map<std::string, TableVersion> mBases;    // of the edits, by payload
  std::set<std::string> mRejected; // payloads reported as without effect
  std::uint64_t mIncarnations = 0;
  int mEdits = 0;
  bool mEditing = true;
  std::array<Timer, 3> mTimers;
};

World::Daemon::Daemon(World& aWorld, int aIndex, std::uint64_t aIncarnation)
  : world(aWorld)
  , process(aWorld.mExecutor)
  , table(
      { .stream = kStream,
        .writer = WriterId(Name(aIndex) + "/" + std::to_string(aIncarnation)),
        .checkpointInterval = 10s,
        .seed = aWorld.mRandom.Next() },
      process,
      aWorld.mLog.MakeClient(Name(aIndex), process),
      this)
{
  table.Start();
}

void
World::Daemon::OnVersion(const Snapshot& aSnapshot)
{
  world.mCounts.regressions += aSnapshot.version < version ? 1 : 0;
  version = aSnapshot.version;
  const auto& known =
    world.mPayloads.emplace(aSnapshot.version, aSnapshot.payload).first->second;
  world.mCounts.differing += known == aSnapshot.payload ? 0 : 1;
  const auto base = world.mBases.find(aSnapshot.payload);
  world.mCounts.overwritten +=
    base != world.mBases.end() &&
        base->second.Value() + 1 != aSnapshot.version.Value()
      ? 1
      : 0;
}

std::string
World::Name(int aIndex)
{
  return "daemon-" + std::to_string(aIndex);
}

World::World(std::uint64_t aSeed)
  : mRandom(aSeed)
  , mLog({ .seed = aSeed }, mExecutor)
{
  for (int n = 0; n < kDaemons; ++n) {
    mDaemons.push_back(std::make_unique<Daemon>(*this, n, ++mIncarnations));
  }
}

void
World::Restart(int aIndex)
{
  auto& daemon = mDaemons[aIndex];
  daemon->process.Kill();
  mKilled.push_back(std::move(daemon));
  daemon = std::make_unique<Daemon>(*this, aIndex, ++mIncarnations);
}

// Two operators edit the table at the same time, each at a random daemon.
void
World::Edit()
{
  mTimers[0] =
    mExecutor.RunAfter(FromSeconds(2 * mRandom.Uniform()), [this] { Edit(); });
  if (!mEditing) {
    return;
  }
  for (int n = 0; n < 2; ++n) {
    auto& daemon = *mDaemons[mRandom.Below(kDaemons)];
    if (!daemon.process.Running() || !daemon.table.Ready()) {
      continue;
    }
    const auto payload = "edit-" + std::to_string(++mEdits);
    mBases[payload] = daemon.table.Current()->version;
    daemon.table.Apply(
      daemon.table.Current()->version,
      payload,
      [this, payload](const tl::expected<TableVersion, TableError>& aResult) {
        if (aResult) {
          ++mCounts.accepted;
          mAccepted[*aResult] = payload;
          return;
        }
        if (aResult.error().kind != TableErrorKind::kUnknown) {
          ++mCounts.conflicts;
          mRejected.insert(payload);
        }
      });
  }
}

void
World::Gossip()
{
  mTimers[1] = mExecutor.RunAfter(500ms, [this] { Gossip(); });
  auto& from = *mDaemons[mRandom.Below(kDaemons)];
  auto& to = *mDaemons[mRandom.Below(kDaemons)];
  if (from.process.Running() && from.table.Ready()) {
    const auto bytes = EncodeSnapshot(*from.table.Current());
    to.process.Post([&to, bytes] { to.table.Offer(*DecodeSnapshot(bytes)); });
  }
}

// Simulates a retention time of 30 to 60 s; checkpoints are written every 10 to
// 15 s.
void
World::TrimOldRecords()
{
  const auto end = mLog.End(kStream);
  mTimers[2] = mExecutor.RunAfter(30s, [this, end] {
    mLog.Trim(kStream, end);
    TrimOldRecords();
  });
}

Counts
World::Run()
{
  Edit();
  Gossip();
  TrimOldRecords();
  std::vector<FaultTarget> targets;
  targets.reserve(kDaemons);
  for (int n = 0; n < kDaemons; ++n) {
    targets.push_back({ .logClient = Name(n),
                        .pause = [this, n] { mDaemons[n]->process.Pause(); },
                        .resume = [this, n] { mDaemons[n]->process.Resume(); },
                        .restart = [this, n] { Restart(n); } });
  }
  FaultInjector faults(mRandom.Next(), mExecutor, mLog, std::move(targets));
  faults.Run(kFaultSpan);
  mExecutor.RunFor(kRecoverySpan - kMaxSpreadTime);
  mEditing = false;
  mExecutor.RunFor(kMaxSpreadTime);
  const auto newest = mPayloads.rbegin()->first;
  for (const auto& it : mDaemons) {
    mCounts.lagging += it->version == newest ? 0 : 1;
  }
  for (const auto& [version, payload] : mAccepted) {
    mCounts.lostEdits += mPayloads[version] == payload ? 0 : 1;
  }
  for (const auto& [version, payload] : mPayloads) {
    mCounts.falseRejections += mRejected.contains(payload) ? 1 : 0;
  }
  return mCounts;
}

} // namespace

TEST_GROUP(TableFaultsTest){};

TEST(TableFaultsTest, EachVersionHasOneEditAndNoVersionDecreases)
{
  Counts sum;
  const int failed =
    CountSchedules("table", kSchedules, [&](std::uint64_t aSeed) {
      World world(aSeed);
      const auto counts = world.Run();
      sum.Add(counts);
      return counts.Faults() > 0;
    });
  std::printf("regressions %d, differing %d, overwritten %d, lost edits %d, "
              "false rejections %d, "
              "lagging %d, accepted %d, conflicts %d\n",
              sum.regressions,
              sum.differing,
              sum.overwritten,
              sum.lostEdits,
              sum.falseRejections,
              sum.lagging,
              sum.accepted,
              sum.conflicts);
  LONGS_EQUAL(0, sum.regressions);
  LONGS_EQUAL(0, sum.differing);
  LONGS_EQUAL(0, sum.overwritten);
  LONGS_EQUAL(0, sum.lostEdits);
  LONGS_EQUAL(0, sum.falseRejections);
  LONGS_EQUAL(0, sum.lagging);
  LONGS_EQUAL(0, failed);
  CHECK_TRUE(sum.accepted > 10 * sum.schedules);
  CHECK_TRUE(sum.conflicts > sum.schedules);
}

TEST_GROUP(TableTest){};

TEST(TableTest, DaemonWithoutTheLogTakesOverAPeersTable)
{
  VirtualExecutor executor;
  FakeLog log({}, executor);
  VersionedTable first(
    { .writer = WriterId("a") }, executor, log.MakeClient("a", executor), {});
  VersionedTable second(
    { .writer = WriterId("b") }, executor, log.MakeClient("b", executor), {});
  log.SetPartitioned("b", true);
  first.Start();
  second.Start();
  executor.RunFor(1s);
  first.Apply(TableVersion(0), "rows", [](const auto&) {});
  executor.RunFor(5s);
  CHECK_TRUE(first.Ready());
  CHECK_FALSE(second.Ready());
  auto broken = *first.Current();
  broken.payload = "other rows";
  CHECK_FALSE(second.Offer(broken));
  CHECK_TRUE(second.Offer(*first.Current()));
  STRCMP_EQUAL("rows", second.Current()->payload.c_str());
  CHECK_FALSE(second.Offer(Snapshot{ .digest = SnapshotDigest({}) }));
  LONGS_EQUAL(1, second.Current()->version.Value());
}

// After the log lost its complete history, the table is restored from the
// newest version that a daemon has in memory.
TEST(TableTest, LostHistoryIsRestoredFromMemory)
{
  VirtualExecutor executor;
  FakeLog log({}, executor);
  VersionedTable first(
    { .writer = WriterId("a") }, executor, log.MakeClient("a", executor), {});
  first.Start();
  executor.RunFor(1s);
  first.Apply(TableVersion(0), "rows", [](const auto&) {});
  executor.RunFor(2s);
  log.Trim(kStream, log.End(kStream));
  executor.RunFor(20s);
  VersionedTable fresh(
    { .writer = WriterId("b") }, executor, log.MakeClient("b", executor), {});
  fresh.Start();
  executor.RunFor(10s);
  STRCMP_EQUAL("rows", fresh.Current()->payload.c_str());
  TableVersion next;
  fresh.Apply(TableVersion(1), "more", [&](const auto& aResult) {
    next = aResult.value_or(TableVersion(0));
  });
  executor.RunFor(5s);
  LONGS_EQUAL(2, next.Value());
  STRCMP_EQUAL("more", first.Current()->payload.c_str());
}

} // namespace firefly::coord

// Tests the rules of the authority stream and the lease.

#include <algorithm>
#include <cstdio>
#include <memory>
#include <optional>
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
const BackendId kBackend("engine-1");

// Applies records of several writers to a state.
class StateFeeder
{
public:
  bool Put(const std::string& aWriter,
           std::uint64_t aSequence,
           RecordKind aKind,
           std::string aBody)
  {
    return state.Apply(
      LogOffset(mNext++),
      { .id = { .writer = WriterId(aWriter), .sequence = aSequence },
        .kind = aKind,
        .body = std::move(aBody) });
  }
  bool Claim(const std::string& aWriter, std::uint64_t aSequence)
  {
    return Put(aWriter,
               aSequence,
               RecordKind::kClaim,
               AuthorityState::ClaimBody(
                 state.Lease(), HostId(aWriter), Incarnation(1)));
  }
  bool Plan(std::uint64_t aSequence, FencingNumber aFence, const char* aEvent)
  {
    return Put("a",
               aSequence,
               RecordKind::kPlanEvent,
               AuthorityState::PlanEventBody(aFence, kBackend, aEvent));
  }
  bool Drain(std::uint64_t aSequence, FencingNumber aFence)
  {
    return Plan(aSequence, aFence, "close") &&
           Plan(aSequence + 1, aFence, "acknowledged") &&
           Plan(aSequence + 2, aFence, "idle");
  }
  FencingNumber Fence() const { return state.Lease()->fence; }

  AuthorityState state{ TestChart("backend") };

private:
  std::uint64_t mNext = 0;
};

class Candidate : public LeaseObserver
{
public:
  Candidate(VirtualExecutor& aExecutor,
            FakeLog& aLog,
            int aIndex,
            const std::string& aWriterSuffix = "1",
            std::optional<LogOffset> aFormerEnd = {})
    : name("host-" + std::to_string(aIndex))
    , process(aExecutor)
    , stream({ .stream = kStream,
               .writer = WriterId(name + "/" + aWriterSuffix),
               .backendChart = &TestChart("backend"),
               .checkpointInterval = 20s,
               .formerEnd = aFormerEnd,
               .seed = 1U + aIndex },
             process,
             aLog.MakeClient(name, process))
    , lease({ .host = HostId(name),
              .incarnation = Incarnation(1),
              .chart = &TestChart("authority"),
              .seed = 1U + aIndex },
            process,
            stream,
            *this)
    , journal({}, process, stream)
  {
    stream.Start();
    lease.Start();
  }

  void OnAcquired(FencingNumber) override { ++acquired; }
  void OnLost() override { ++lost; }
  void OnHolderChanged(const LeaseHolder&) override {}

  std::string name;
  FakeProcess process;
  AuthorityStream stream;
  Lease lease;
  OrderJournal journal;
  int acquired = 0;
  int lost = 0;
};

struct Cluster
{
  explicit Cluster(int aSize, const FakeLog::Options& aOptions = {})
    : log(aOptions, executor)
  {
    for (int n = 0; n < aSize; ++n) {
      candidates.push_back(std::make_unique<Candidate>(executor, log, n));
    }
  }

  Candidate* Holder()
  {
    for (const auto& it : candidates) {
      if (it->lease.Held()) {
        return it.get();
      }
    }
    return nullptr;
  }
  // Runs until a candidate holds the lease; fails the test after a minute.
  Candidate& RunUntilHeld()
  {
    for (int n = 0; n < 600; ++n) {
      if (auto* holder = Holder()) {
        return *holder;
      }
      executor.RunFor(100ms);
    }
    FAIL("no holder within a minute");
    return *candidates.front();
  }

  VirtualExecutor executor;
  FakeLog log;
  std::vector<std::unique_ptr<Candidate>> candidates;
};

} // namespace

TEST_GROUP(AuthorityStateTest){};

TEST(AuthorityStateTest, ClaimIsRejectedAfterANewerRenewal)
{
  StateFeeder feeder;
  CHECK_TRUE(feeder.Claim("a", 1));
  const auto claim = AuthorityState::ClaimBody(
    feeder.state.Lease(), HostId("b"), Incarnation(1));
  CHECK_TRUE(feeder.Put(
    "a", 2, RecordKind::kRenewal, AuthorityState::RenewalBody(feeder.Fence())));
  CHECK_FALSE(feeder.Put("b", 1, RecordKind::kClaim, claim));
  STRCMP_EQUAL("a", feeder.state.Lease()->holder.Value().c_str());
}

TEST(AuthorityStateTest, SecondOfTwoConcurrentClaimsIsRejected)
{
  StateFeeder feeder;
  const auto claim =
    AuthorityState::ClaimBody(std::nullopt, HostId("b"), Incarnation(1));
  CHECK_TRUE(feeder.Claim("a", 1));
  CHECK_FALSE(feeder.Put("b", 1, RecordKind::kClaim, claim));
}

TEST(AuthorityStateTest, RecordsUnderAnOldFenceAreRejected)
{
  StateFeeder feeder;
  feeder.Claim("a", 1);
  const auto old = feeder.Fence();
  CHECK_TRUE(feeder.Claim("b", 1));
  CHECK_FALSE(feeder.Plan(2, old, "close"));
  CHECK_FALSE(
    feeder.Put("a", 3, RecordKind::kRenewal, AuthorityState::RenewalBody(old)));
  // Records of another writer under the new fence are rejected too.
  CHECK_FALSE(feeder.Plan(4, feeder.Fence(), "close"));
  POINTERS_EQUAL(nullptr, feeder.state.Find(kBackend));
}

// A late duplicate of an acknowledgement must not acknowledge the next change.
TEST(AuthorityStateTest, LateDuplicateOfARecordIsRejected)
{
  StateFeeder feeder;
  feeder.Claim("a", 1);
  CHECK_TRUE(feeder.Plan(2, feeder.Fence(), "close"));
  CHECK_TRUE(feeder.Plan(3, feeder.Fence(), "acknowledged"));
  CHECK_TRUE(feeder.Plan(4, feeder.Fence(), "cancel"));
  CHECK_TRUE(feeder.Plan(5, feeder.Fence(), "close"));
  CHECK_FALSE(feeder.Plan(3, feeder.Fence(), "acknowledged"));
  STRCMP_EQUAL("closing", feeder.state.Find(kBackend)->state.c_str());
}

TEST(AuthorityStateTest, OneOrderAtATimeAndOnlyAfterDraining)
{
  StateFeeder feeder;
  feeder.Claim("a", 1);
  Order order{ .backend = kBackend, .fence = feeder.Fence(), .id = OrderId(1) };
  const auto intent = [&](std::uint64_t aSequence) {
    return feeder.Put("a",
                      aSequence,
                      RecordKind::kOrderIntent,
                      AuthorityState::IntentBody(order));
  };
  CHECK_FALSE(intent(2));
  CHECK_TRUE(feeder.Drain(3, feeder.Fence()));
  CHECK_TRUE(intent(6));
  order.id = OrderId(2);
  CHECK_FALSE(intent(7));
  CHECK_FALSE(feeder.Plan(8, feeder.Fence(), "admit"));
  LONGS_EQUAL(1, feeder.state.OpenOrders().size());
}

TEST(AuthorityStateTest, CheckpointHoldsTheWholeState)
{
  StateFeeder feeder;
  feeder.Claim("a", 1);
  feeder.Drain(2, feeder.Fence());
  const Order order{ .backend = kBackend,
                     .fence = feeder.Fence(),
                     .id = OrderId(1),
                     .wanted = { .role = BackendRole::kDecode,
                                 .model = ModelId("m"),
                                 .modelVersion = "2",
                                 .adapter = "x" } };
  CHECK_TRUE(feeder.Put(
    "a", 5, RecordKind::kOrderIntent, AuthorityState::IntentBody(order)));
  AuthorityState copy(TestChart("backend"));
  CHECK_TRUE(copy.Load(feeder.state.Save()));
  STRCMP_EQUAL(feeder.state.Save().c_str(), copy.Save().c_str());
  CHECK(copy.OpenOrders().at(0) == order);
  CHECK(copy.Lease()->newest == feeder.state.Lease()->newest);
}

TEST_GROUP(LeaseTest){};

TEST(LeaseTest, OneCandidateHoldsTheLeaseAndAnotherReplacesAKilledHolder)
{
  Cluster cluster(5);
  auto& first = cluster.RunUntilHeld();
  const auto fence = *first.lease.Held();
  cluster.executor.RunFor(60s);
  CHECK(first.lease.Held() == fence);
  first.process.Kill();
  cluster.executor.RunFor(7s);
  CHECK_FALSE(first.lease.Held().has_value());
  auto& second = cluster.RunUntilHeld();
  CHECK(&second != &first);
  CHECK(*second.lease.Held() > fence);
}

TEST(LeaseTest, DurationCountsFromTheSend)
{
  // Each message takes 350 ms or more: the claim and its answer, then the read
  // and its answer.
  Cluster cluster(1, { .latency = 700ms, .timeout = 20s });
  const auto& holder = cluster.RunUntilHeld();
  CHECK(holder.lease.ValidUntil() <=
        cluster.executor.Now() + 6s - 500ms - 4 * 350ms + 100ms);
}

TEST(LeaseTest, EndsWhileTheLogIsDownAndResumesAfterwards)
{
  Cluster cluster(3);
  auto& holder = cluster.RunUntilHeld();
  const auto fence = *holder.lease.Held();
  cluster.log.SetDown(true);
  cluster.executor.RunFor(6s);
  POINTERS_EQUAL(nullptr, cluster.Holder());
  LONGS_EQUAL(1, holder.lost);
  cluster.executor.RunFor(60s);
  POINTERS_EQUAL(nullptr, cluster.Holder());
  cluster.log.SetDown(false);
  CHECK(*cluster.RunUntilHeld().lease.Held() >= fence);
}

// During the grace period, an order from before the lapse may still reach its
// engine.
TEST(LeaseTest, LapsedHolderWaitsForTheGracePeriodBeforeItResumes)
{
  Cluster cluster(1);
  auto& holder = cluster.RunUntilHeld();
  cluster.executor.RunFor(10s);
  cluster.log.SetDown(true);
  while (holder.lease.Held()) {
    cluster.executor.RunFor(10ms);
  }
  const auto lapse = cluster.executor.Now();
  cluster.log.SetDown(false);
  cluster.RunUntilHeld();
  LONGS_EQUAL(2, holder.acquired);
  CHECK(cluster.executor.Now() - lapse >= 2s);
  CHECK(cluster.executor.Now() - lapse < 8s);
}

TEST(LeaseTest, PausedHolderLosesItsLease)
{
  Cluster cluster(2);
  auto& holder = cluster.RunUntilHeld();
  holder.process.Pause();
  cluster.executor.RunFor(20s);
  CHECK_FALSE(holder.lease.Held().has_value());
  CHECK(cluster.Holder() != nullptr);
  holder.process.Resume();
  cluster.executor.RunFor(5s);
  CHECK_FALSE(holder.lease.Held().has_value());
  STRCMP_EQUAL("follower", holder.lease.State().c_str());
}

TEST(LeaseTest, ResignedLeaseIsTakenOverAtOnce)
{
  Cluster cluster(3);
  auto& holder = cluster.RunUntilHeld();
  bool released = false;
  holder.lease.Resign([&](bool aDone) { released = aDone; });
  CHECK_FALSE(holder.lease.Held().has_value());
  cluster.executor.RunFor(5s); // the stagger and two polls
  CHECK_TRUE(released);
  CHECK(cluster.Holder() != nullptr && cluster.Holder() != &holder);
}

// Guards against a process that resumes its candidacy and waits for its own
// former lease to expire. On macaskill-rota scale-1 engines kept their roles
// for 6 s because of this.
TEST(LeaseTest, AProcessDoesNotWaitForItsOwnFormerLease)
{
  VirtualExecutor executor;
  FakeLog log({}, executor);
  auto first = std::make_unique<Candidate>(executor, log, 0, "1");
  executor.RunFor(10s);
  LONGS_EQUAL(1, first->acquired);
  const auto fence = *first->lease.Held();
  first.reset();
  Candidate again(executor, log, 0, "2");
  Candidate other(executor, log, 1, "1");
  // Enough for the stagger and one tick, but not for the lease to expire.
  executor.RunFor(4s);
  LONGS_EQUAL(1, again.acquired);
  LONGS_EQUAL(0, other.acquired);
  CHECK(again.lease.Held()->Value() > fence.Value());
}

TEST(LeaseTest, FewOf370CandidatesClaim)
{
  constexpr int kDaemons = 370;
  constexpr std::uint64_t kMaxClaims = 40;
  Cluster cluster(kDaemons);
  auto& holder = cluster.RunUntilHeld();
  cluster.executor.RunFor(10s);
  holder.process.Kill();
  cluster.executor.RunFor(7s);
  cluster.RunUntilHeld();
  cluster.executor.RunFor(10s);
  std::uint64_t claims = 0;
  for (const auto& it : cluster.candidates) {
    claims += it->lease.Claims();
  }
  std::printf("370 candidates: %llu claims for two elections\n",
              static_cast<unsigned long long>(claims));
  CHECK(cluster.Holder() != nullptr);
  CHECK_TRUE(claims <= kMaxClaims);
}

TEST(LeaseTest, LateReaderStartsFromACheckpoint)
{
  Cluster cluster(2);
  auto& holder = cluster.RunUntilHeld();
  const auto fence = *holder.lease.Held();
  holder.journal.Advance(fence, kBackend, "close", [](const auto&) {});
  cluster.executor.RunFor(60s); // checkpoints are 20 s apart
  cluster.log.Trim(kStream, LogOffset(cluster.log.End(kStream).Value() - 20));
  Candidate late(cluster.executor, cluster.log, 7);
  cluster.executor.RunFor(25s);
  CHECK_TRUE(late.stream.Folding().Ready());
  CHECK(late.lease.CurrentHolder()->fence == fence);
  STRCMP_EQUAL("closing", late.stream.State().Find(kBackend)->state.c_str());
}

// After the complete history was removed, former and new readers agree on the
// lease that a new reader acquires.
TEST(LeaseTest, LostHistoryIsReplacedByANewLease)
{
  Cluster cluster(2);
  const auto fence = *cluster.RunUntilHeld().lease.Held();
  cluster.candidates[0]->process.Pause();
  cluster.candidates[1]->process.Pause();
  cluster.executor.RunFor(30s);
  cluster.log.Trim(kStream, cluster.log.End(kStream));
  Candidate fresh(cluster.executor, cluster.log, 7);
  cluster.executor.RunFor(20s);
  CHECK_TRUE(fresh.lease.Held().has_value());
  CHECK(*fresh.lease.Held() > fence);
  cluster.candidates[0]->process.Resume();
  cluster.candidates[1]->process.Resume();
  cluster.executor.RunFor(20s);
  POINTERS_EQUAL(nullptr, cluster.Holder());
  CHECK(cluster.candidates[0]->lease.CurrentHolder()->fence ==
        *fresh.lease.Held());
}

// Guards against two holders: a candidate that finds no claim in a log that has
// removed records must not conclude that there is no holder.
TEST(LeaseTest, ACandidateWithoutHistoryWaitsForALeaseThatItCannotSee)
{
  Cluster cluster(1);
  auto& holder = cluster.RunUntilHeld();
  cluster.executor.RunFor(10s);
  const auto fence = *holder.lease.Held();
  cluster.log.SetPartitioned(holder.name, true);
  cluster.log.Trim(kStream, cluster.log.End(kStream));
  Candidate fresh(cluster.executor, cluster.log, 7);
  while (!fresh.lease.Held()) {
    cluster.executor.RunFor(10ms);
    CHECK_FALSE(holder.lease.Held() && fresh.lease.Held());
  }
  CHECK(*fresh.lease.Held() > fence);
  cluster.log.SetPartitioned(holder.name, false);
  cluster.executor.RunFor(10s);
  CHECK_FALSE(holder.lease.Held().has_value());
  CHECK(holder.lease.CurrentHolder()->fence == *fresh.lease.Held());
}

// Two candidates may end their waiting at the same time. Both claims name no
// older lease, so only the first one may count, for readers that have read all
// records as well as for those that have not.
TEST(LeaseTest, OnlyTheFirstOfTwoClaimsWithoutHistoryCounts)
{
  Cluster cluster(2);
  cluster.RunUntilHeld();
  cluster.candidates[0]->process.Kill();
  cluster.candidates[1]->process.Kill();
  cluster.log.Trim(kStream, cluster.log.End(kStream));
  std::vector<std::unique_ptr<Candidate>> fresh;
  fresh.reserve(8);
  for (int n = 0; n < 8; ++n) {
    fresh.push_back(
      std::make_unique<Candidate>(cluster.executor, cluster.log, 10 + n));
  }
  for (int n = 0; n < 600; ++n) {
    cluster.executor.RunFor(50ms);
    CHECK_TRUE(std::ranges::count_if(fresh, [](const auto& aIt) {
                 return aIt->lease.Held().has_value();
               }) <= 1);
  }
  for (const auto& it : fresh) {
    CHECK(it->lease.CurrentHolder()->fence ==
          fresh.front()->lease.CurrentHolder()->fence);
  }
}

// Guards against a pause of all duties, and against a second holder, when the
// log removes its history while the lease is held.
TEST(LeaseTest, AHolderStatesItsLeaseAgainWhenTheLogRemovesTheHistory)
{
  Cluster cluster(2);
  auto& holder = cluster.RunUntilHeld();
  holder.journal.Advance(
    *holder.lease.Held(), kBackend, "close", [](const auto&) {});
  cluster.executor.RunFor(10s);
  const auto fence = *holder.lease.Held();
  cluster.log.Trim(kStream, cluster.log.End(kStream));
  for (int n = 0; n < 300; ++n) {
    cluster.executor.RunFor(100ms);
    CHECK(holder.lease.Held() == fence);
  }
  Candidate late(cluster.executor, cluster.log, 7);
  cluster.executor.RunFor(5s);
  CHECK(late.lease.CurrentHolder()->fence == fence);
  STRCMP_EQUAL("closing", late.stream.State().Find(kBackend)->state.c_str());
}

// Guards against a holder that never claims again after its lease has lapsed
// and the log has removed its claim.
TEST(LeaseTest, ALapsedHolderWithoutHistoryBecomesACandidateAgain)
{
  Cluster cluster(1);
  const auto& holder = cluster.RunUntilHeld();
  const auto fence = *holder.lease.Held();
  cluster.log.SetPartitioned(holder.name, true);
  cluster.executor.RunFor(10s);
  cluster.log.Trim(kStream, cluster.log.End(kStream));
  cluster.log.SetPartitioned(holder.name, false);
  CHECK(*cluster.RunUntilHeld().lease.Held() > fence);
}

// Guards against waiting for a lease that nobody can hold: engines would keep
// their roles for its duration.
TEST(LeaseTest, AFormerHolderDoesNotWaitIfNothingWasWrittenSince)
{
  VirtualExecutor executor;
  FakeLog log({}, executor);
  auto first = std::make_unique<Candidate>(executor, log, 0, "1");
  executor.RunFor(10s);
  const auto fence = *first->lease.Held();
  first->process.Kill();
  executor.RunFor(1s);
  log.Trim(kStream, log.End(kStream));
  Candidate again(executor, log, 0, "2", log.End(kStream));
  // Enough for the stagger and one tick, but not for a lease to expire.
  executor.RunFor(4s);
  CHECK_TRUE(again.lease.Held().has_value());
  CHECK(again.lease.Held()->Value() > fence.Value());
}

} // namespace firefly::coord

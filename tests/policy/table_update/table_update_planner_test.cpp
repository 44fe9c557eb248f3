// Tests when a host fetches an announced routing table, and from where.

#include "policy/table_update/table_update_planner.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::Duration;
using firefly::Instant;
using firefly::policy::RoutingVersion;
using firefly::policy::TableSource;
using firefly::policy::TableUpdatePlanner;
using Outcome = firefly::policy::TableFetchOutcome;
using Kind = TableUpdatePlanner::Decision::Kind;

namespace {

constexpr std::uint64_t kSmall = 5'000;
constexpr std::uint64_t kLarge = 700'000;

} // namespace

TEST_GROUP(TableUpdatePlannerTest)
{
  TableUpdatePlanner planner{ {} };
  TableUpdatePlanner::Situation situation{ .now = Instant{} + 10s,
                                           .ownVersion = RoutingVersion(3),
                                           .ownBytes = 0 };

  void Pass(Duration aTime)
  {
    situation.now += aTime;
  }

  bool Announce(std::uint64_t aVersion, std::uint64_t aBytes = kSmall)
  {
    return planner.OnAnnounced(RoutingVersion(aVersion), aBytes, situation.now);
  }

  // Fetches now. Returns from where.
  TableSource Fetch()
  {
    const auto decision = planner.Decide(situation);
    CHECK_TRUE(decision.kind == Kind::kFetch);
    planner.OnFetchStarted(decision.source, situation.now);
    return decision.source;
  }
};

TEST(TableUpdatePlannerTest, FetchesASmallTableFromItsAnnouncer)
{
  CHECK_TRUE(planner.Decide(situation).kind == Kind::kNone);
  CHECK_TRUE(Announce(4));
  CHECK_TRUE(Fetch() == TableSource::kAnnouncer);
}

// Guards against the announcer's link being overloaded by all who fetch.
TEST(TableUpdatePlannerTest, ReadsALargeTableFromTheLogUnlessItIsLost)
{
  CHECK_TRUE(Announce(4, kLarge));
  CHECK_TRUE(planner.Decide(situation).source == TableSource::kLog);
  situation.isLogLost = true;
  CHECK_TRUE(planner.Decide(situation).source == TableSource::kAnnouncer);
}

// Guards against a version that is announced during a fetch and forgotten.
TEST(TableUpdatePlannerTest, FetchesTheNewestVersionAfterTheFetchInProgress)
{
  Announce(4);
  Fetch();
  for (std::uint64_t version = 5; version < 30; ++version) {
    Pass(10ms);
    CHECK_TRUE(Announce(version));
    CHECK_TRUE(planner.Decide(situation).kind == Kind::kNone);
  }
  planner.OnFetchEnded(Outcome::kFailed);
  situation.ownVersion = RoutingVersion(4);
  const auto decision = planner.Decide(situation);
  CHECK_TRUE(decision.kind == Kind::kWait);
  CHECK_TRUE(decision.wait == 250ms);
  Pass(decision.wait);
  Fetch();
  planner.OnFetchEnded(Outcome::kFailed);
  situation.ownVersion = RoutingVersion(29);
  CHECK_TRUE(planner.Decide(situation).kind == Kind::kNone);
}

TEST(TableUpdatePlannerTest, IgnoresAVersionThatWasAnnouncedBefore)
{
  CHECK_TRUE(Announce(5));
  CHECK_FALSE(Announce(5));
  CHECK_FALSE(Announce(4));
}

// Guards against an announcer that ends before its table is fetched.
TEST(TableUpdatePlannerTest, AfterAFailedFetchTriesTheLogAndOtherAnnouncers)
{
  Announce(4);
  CHECK_TRUE(Fetch() == TableSource::kAnnouncer);
  CHECK_FALSE(Announce(4));
  planner.OnFetchEnded(Outcome::kFailed);
  Pass(1s);
  CHECK_TRUE(planner.Decide(situation).source == TableSource::kLog);
  situation.isLogLost = true;
  CHECK_TRUE(planner.Decide(situation).source == TableSource::kAnnouncer);
  CHECK_TRUE(Announce(4));
}

// Guards against fetches without end of a table that cannot be used.
TEST(TableUpdatePlannerTest, FetchesOfOneVersionBecomeRarer)
{
  Announce(4);
  int fetches = 0;
  const auto end = situation.now + 60s;
  while (situation.now < end) {
    const auto decision = planner.Decide(situation);
    if (decision.kind == Kind::kWait) {
      Pass(decision.wait);
      continue;
    }
    Fetch();
    fetches++;
    planner.OnFetchEnded(Outcome::kFailed);
  }
  CHECK_TRUE(fetches <= 20);
  // A newer version does not wait that long.
  Announce(5);
  CHECK_TRUE(planner.Decide(situation).wait <= 500ms);
}

TEST(TableUpdatePlannerTest, TellsHowLongTheHostIsBehind)
{
  CHECK_TRUE(planner.BehindFor(situation.ownVersion, situation.now) ==
             Duration::zero());
  Announce(4);
  Pass(100ms);
  Announce(5);
  Pass(100ms);
  CHECK_TRUE(planner.BehindFor(situation.ownVersion, situation.now) == 200ms);
  CHECK_FALSE(planner.OnInForce(RoutingVersion(4), situation.now).has_value());
  CHECK_TRUE(planner.OnInForce(RoutingVersion(5), situation.now) == 200ms);
  CHECK_FALSE(planner.OnInForce(RoutingVersion(5), situation.now).has_value());
}

// Guards against a host that reads the same log again and again although the
// log lacks the table that a peer has.
TEST(TableUpdatePlannerTest, ALargeTableThatTheLogLacksComesFromItsAnnouncer)
{
  Announce(4, kLarge);
  CHECK_TRUE(Fetch() == TableSource::kLog);
  planner.OnFetchEnded(Outcome::kFailed);
  Pass(500ms);
  CHECK_TRUE(Fetch() == TableSource::kAnnouncer);
  planner.OnFetchEnded(Outcome::kFailed);
  Pass(1s);
  CHECK_TRUE(Fetch() == TableSource::kLog);
}

// Guards against a host that waits as after a failure although another host
// could send the table now, and against one that asks busy hosts without end.
TEST(TableUpdatePlannerTest, AfterRefusalsByBusyHostsAsksSoonAndThenReadsTheLog)
{
  Announce(4);
  const auto start = situation.now;
  auto source = Fetch();
  while (source == TableSource::kAnnouncer) {
    planner.OnFetchEnded(Outcome::kBusy);
    const auto decision = planner.Decide(situation);
    CHECK_TRUE(decision.kind == Kind::kWait);
    CHECK_TRUE(decision.wait <= 500ms);
    Pass(decision.wait);
    source = Fetch();
  }
  CHECK_TRUE(situation.now - start <= 2s);
}

// Guards against a table that reaches many hosts from one of them only.
TEST(TableUpdatePlannerTest, ATableThatLoadsItsSourceSpreadsFromHostToHost)
{
  CHECK_FALSE(planner.SpreadsFromHostToHost(kSmall, 30));
  CHECK_TRUE(planner.SpreadsFromHostToHost(60'000, 30));
  CHECK_FALSE(planner.SpreadsFromHostToHost(60'000, 2));
  // Such a table comes from the log.
  CHECK_FALSE(planner.SpreadsFromHostToHost(kLarge, 30));
}

#include "servers/duties/duty_holder.h"

#include <algorithm>
#include <memory>

#include "coord/testing/fake_log.h"
#include "coord/testing/fake_process.h"
#include "tests/coord/fault_injector.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::DutyHolder;
using firefly::DutyToken;
using firefly::HostId;
using firefly::Incarnation;
using firefly::VirtualExecutor;
using firefly::coord::FakeLog;
using firefly::coord::FakeProcess;
using firefly::coord::TestChart;

namespace {

struct Host
{
  Host(VirtualExecutor& aExecutor,
       FakeLog& aLog,
       const std::string& aName,
       std::size_t aRank)
    : rank(aRank)
    , process(aExecutor)
    , holder({ .host = HostId(aName),
               .incarnation = Incarnation(1),
               .authorityChart = &TestChart("authority"),
               .backendChart = &TestChart("backend") },
             { .executor = &process,
               .log = &aLog.MakeClient(aName, process),
               .rank = [this] { return rank; } })
  {
    holder.Start();
  }

  std::size_t rank;
  FakeProcess process;
  DutyHolder holder;
};

} // namespace

TEST_GROUP(DutyHolderTest)
{
  VirtualExecutor executor;
  FakeLog log{ {}, executor };
};

// Each call to the log has a cost, which would grow with the number of relays.
TEST(DutyHolderTest, OnlyTheFirstTwoRelaysReadTheLog)
{
  Host third(executor, log, "c", 2);
  executor.RunFor(60s);
  LONGS_EQUAL(0, log.Reads());
  Host first(executor, log, "a", 0);
  Host second(executor, log, "b", 1);
  executor.RunFor(10s);
  CHECK_FALSE(third.holder.IsCandidate());
  CHECK_TRUE(first.holder.Held().has_value() !=
             second.holder.Held().has_value());
  const auto calls = log.Reads() + log.Appends();
  executor.RunFor(100s);
  CHECK_TRUE(log.Reads() + log.Appends() - calls < 400);
}

// A relay that starts takes itself for the first one until it knows the others.
TEST(DutyHolderTest, DoesNotJoinBeforeItKnowsItsRank)
{
  Host host(executor, log, "c", 0);
  executor.RunFor(3s);
  host.rank = 2;
  executor.RunFor(20s);
  LONGS_EQUAL(0, log.Reads());
}

// Without the delay, a holder whose rank changes would leave the duties without
// one, and a changing membership would pass them to and fro.
TEST(DutyHolderTest, StaysACandidateForAWhile)
{
  Host host(executor, log, "b", 1);
  executor.RunFor(10s);
  CHECK_TRUE(host.holder.Held() == DutyToken(1)); // a token is at least 1
  host.rank = 2;
  executor.RunFor(8s);
  CHECK_TRUE(host.holder.Held() == DutyToken(1));
  host.rank = 1;
  executor.RunFor(8s);
  host.rank = 2;
  executor.RunFor(12s);
  CHECK_FALSE(host.holder.IsCandidate());
  CHECK_FALSE(host.holder.Held().has_value());
}

// A rejected token must not be used again.
TEST(DutyHolderTest, GetsAHigherTokenAfterItAbandonedOne)
{
  Host host(executor, log, "a", 0);
  executor.RunFor(10s);
  const auto token = host.holder.Held();
  host.holder.Abandon();
  CHECK_FALSE(host.holder.Held().has_value());
  executor.RunFor(10s);
  CHECK_TRUE(host.holder.Held() > token);
}

// Guards against two holders at once, and against tokens that decrease, after
// the log has lost the newest claims and renewals.
TEST(DutyHolderTest, ARestoredLogLeadsToOneHolderWithAHigherToken)
{
  const auto copy = log.MakeCopy();
  Host a(executor, log, "a", 0);
  executor.RunFor(10s);
  const auto token = a.holder.Held();
  CHECK_TRUE(token.has_value());
  Host b(executor, log, "b", 1);
  executor.RunFor(10s);
  log.Restore(copy);
  const auto restored = executor.Now();
  executor.RunFor(300ms);
  b.holder.OnLogRestored();
  while (!b.holder.Held() && executor.Now() < restored + 3s) {
    executor.RunFor(10ms);
    CHECK_FALSE(a.holder.Held() && b.holder.Held());
  }
  CHECK_FALSE(b.holder.Held().has_value());
  a.holder.OnLogRestored();
  CHECK_FALSE(a.holder.Held().has_value());
  executor.RunFor(20s);
  CHECK_TRUE(a.holder.Held().has_value() != b.holder.Held().has_value());
  CHECK_TRUE(std::max(a.holder.Held(), b.holder.Held()) > token);
}

// Guards against two holders after a planned restart of the one that does not
// hold the duties, when the holder's claim has expired in the log: the
// restarted one took an empty history for duties that nobody holds.
TEST(DutyHolderTest, ARestartedRelayFindsTheHolderWhoseClaimHasExpired)
{
  FakeLog shortLog({ .retention = 20s }, executor);
  Host a(executor, shortLog, "a", 0);
  executor.RunFor(10s);
  Host b(executor, shortLog, "b", 1);
  executor.RunFor(30s);
  const auto token = a.holder.Held();
  CHECK_TRUE(token.has_value());
  b.holder.Stop();
  b.process.Kill();
  Host restarted(executor, shortLog, "b", 1);
  executor.RunFor(20s);
  CHECK_TRUE(restarted.holder.CurrentHolder().has_value());
  CHECK_TRUE(a.holder.Held() == token);
  CHECK_FALSE(restarted.holder.Held().has_value());
}

// The former holder knows what it wrote to the log and the copy lacks.
TEST(DutyHolderTest, TheFormerHolderComesFirstAfterARestoreOfTheLog)
{
  const auto copy = log.MakeCopy();
  Host a(executor, log, "a", 0);
  executor.RunFor(10s);
  Host b(executor, log, "b", 1);
  executor.RunFor(10s);
  log.Restore(copy);
  b.holder.OnLogRestored();
  executor.RunFor(1s);
  a.holder.OnLogRestored();
  executor.RunFor(8s);
  CHECK_TRUE(a.holder.Held().has_value());
  executor.RunFor(20s);
  CHECK_FALSE(b.holder.Held().has_value());
}

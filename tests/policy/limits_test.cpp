#include "policy/limits.h"

#include <deque>
#include <memory>
#include <string>

#include "core/random.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::CustomerId;
using firefly::HostId;
using firefly::Instant;
using firefly::Random;
using firefly::RequestType;
using firefly::ServiceId;
using firefly::policy::Digest;
using firefly::policy::LimitPermit;
using firefly::policy::LimitRow;
using firefly::policy::RequestInfo;
using firefly::policy::SharedLimitKeeper;

namespace {

constexpr std::uint32_t kLimit = 20;
constexpr std::size_t kEntries = 9;

LimitRow
Row(std::uint32_t aConcurrent, double aRate = 0)
{
  LimitRow row;
  row.service = ServiceId("rota");
  row.maxConcurrent = aConcurrent;
  row.ratePerSecond = aRate;
  return row;
}

RequestInfo
Request()
{
  RequestInfo info;
  info.service = ServiceId("rota");
  info.requestType = RequestType("lookup");
  info.customer = CustomerId("council");
  return info;
}

// Entries that gossip with a lag.
struct Cluster
{
  explicit Cluster(const LimitRow& aRow)
  {
    std::vector<HostId> hosts;
    for (std::size_t i = 0; i < kEntries; ++i) {
      hosts.emplace_back("entry-" + std::to_string(i));
    }
    for (const auto& host : hosts) {
      keepers.push_back(std::make_unique<SharedLimitKeeper>(
        SharedLimitKeeper::Options{ .self = host }));
      keepers.back()->Configure({ aRow });
      keepers.back()->SetEntries(hosts);
    }
    running.resize(kEntries);
  }

  // Each entry's digest reaches the others after the next call.
  void Gossip(Instant aNow, std::size_t aCutOff = kEntries)
  {
    for (std::size_t from = 0; from < kEntries; ++from) {
      for (std::size_t to = 0; to < kEntries; ++to) {
        const bool cut = from == aCutOff || to == aCutOff;
        if (!cut && from != to && !sent.empty()) {
          keepers[to]->OnPeerDigest(sent[from], aNow);
        }
      }
    }
    sent.clear();
    for (std::size_t i = 0; i < kEntries; ++i) {
      Digest digest;
      digest.host = HostId("entry-" + std::to_string(i));
      keepers[i]->FillDigest(digest, aNow);
      sent.push_back(digest);
    }
  }

  [[nodiscard]] std::size_t Running() const
  {
    std::size_t sum = 0;
    for (const auto& it : running) {
      sum += it.size();
    }
    return sum;
  }

  std::vector<std::unique_ptr<SharedLimitKeeper>> keepers;
  std::vector<std::deque<LimitPermit>> running;
  std::vector<Digest> sent;
};

} // namespace

TEST_GROUP(LimitsTest){};

// Demand wanders between the entries, one of which is cut off for a while; at
// no time do more requests run than the limit allows.
TEST(LimitsTest, NothingRunsPastALimitOverAllEntries)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Random random(seed);
    Cluster cluster(Row(kLimit));
    std::size_t most = 0;
    std::size_t favourite = 0;
    for (int step = 0; step < 6000; ++step) {
      const Instant now(step * 10ms);
      if (step % 10 == 0) {
        cluster.Gossip(now, step > 2000 && step < 4000 ? 3 : kEntries);
      }
      if (step % 1500 == 0) {
        favourite = random.Below(kEntries);
      }
      const auto entry =
        random.Chance(0.8) ? favourite : random.Below(kEntries);
      if (auto permit = cluster.keepers[entry]->TryStart(Request(), now)) {
        cluster.running[entry].push_back(*permit);
      }
      auto& done = cluster.running[random.Below(kEntries)];
      if (!done.empty() && random.Chance(0.5)) {
        cluster.keepers[&done - cluster.running.data()]->Finish(done.front());
        done.pop_front();
      }
      most = std::max(most, cluster.Running());
      CHECK(cluster.Running() <= kLimit);
    }
    // The limit is used, not only kept.
    CHECK(most > kLimit / 2);
  }
}

TEST(LimitsTest, ABusyEntryGetsNearlyAllOfTheLimit)
{
  Cluster cluster(Row(kLimit));
  std::size_t started = 0;
  for (int step = 0; step < 1000; ++step) {
    const Instant now(step * 10ms);
    if (step % 10 == 0) {
      cluster.Gossip(now);
    }
    started += cluster.keepers[0]->TryStart(Request(), now) ? 1 : 0;
  }
  CHECK(started >= kLimit - 2);
}

TEST(LimitsTest, RateIsKeptAndTheWaitIsTold)
{
  SharedLimitKeeper keeper({ .self = HostId("only") });
  keeper.Configure({ Row(0, 10) });
  int started = 0;
  for (int step = 0; step < 1000; ++step) {
    const auto permit = keeper.TryStart(Request(), Instant(step * 10ms));
    started += permit ? 1 : 0;
    if (!permit) {
      CHECK(permit.error().retryAfter > 0s);
      CHECK(permit.error().retryAfter <= 100ms);
    }
  }
  // Ten seconds at ten a second, and one second's burst.
  CHECK(started >= 100);
  CHECK(started <= 111);
}

TEST(LimitsTest, TheMostSpecificRowSetsWorth)
{
  SharedLimitKeeper keeper({ .self = HostId("only") });
  auto any = Row(0);
  auto own = Row(0);
  own.customer = CustomerId("council");
  own.weight = 5;
  keeper.Configure({ any, own });
  const ServiceId service("rota");
  const RequestType type("lookup");
  DOUBLES_EQUAL(
    5, keeper.RowFor(service, type, CustomerId("council"))->weight, 0);
  DOUBLES_EQUAL(
    1, keeper.RowFor(service, type, CustomerId("trader"))->weight, 0);
  CHECK(!keeper.RowFor(ServiceId("desk"), type, CustomerId("trader")));
}

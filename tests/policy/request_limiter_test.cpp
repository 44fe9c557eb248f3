#include "policy/request_limiter.h"

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
using firefly::policy::SharedRequestLimiter;

namespace {

constexpr std::uint32_t kLimit = 20;
constexpr std::size_t kEntries = 9;

LimitRow
MakeRow(std::uint32_t aMaxConcurrent, double aRate = 0)
{
  LimitRow row;
  row.service = ServiceId("rota");
  row.maxConcurrent = aMaxConcurrent;
  row.ratePerSecond = aRate;
  return row;
}

RequestInfo
MakeRequest()
{
  RequestInfo info;
  info.service = ServiceId("rota");
  info.requestType = RequestType("lookup");
  info.customer = CustomerId("council");
  return info;
}

// A group of entries that exchange digests with a delay.
struct Cluster
{
  explicit Cluster(const LimitRow& aRow)
  {
    std::vector<HostId> hosts;
    for (std::size_t i = 0; i < kEntries; ++i) {
      hosts.emplace_back("entry-" + std::to_string(i));
    }
    for (const auto& host : hosts) {
      limiters.push_back(std::make_unique<SharedRequestLimiter>(
        SharedRequestLimiter::Options{ .self = host }));
      limiters.back()->Configure({ aRow });
      limiters.back()->SetEntries(hosts);
    }
    running.resize(kEntries);
  }

  // Delivers the digests of the previous call and collects new ones. The entry
  // aIsolated neither sends nor receives.
  void Gossip(Instant aNow, std::size_t aIsolated = kEntries)
  {
    for (std::size_t from = 0; from < kEntries; ++from) {
      for (std::size_t to = 0; to < kEntries; ++to) {
        const bool isIsolated = from == aIsolated || to == aIsolated;
        if (!isIsolated && from != to && !sentDigests.empty()) {
          limiters[to]->OnPeerDigest(sentDigests[from], aNow);
        }
      }
    }
    sentDigests.clear();
    for (std::size_t i = 0; i < kEntries; ++i) {
      Digest digest;
      digest.host = HostId("entry-" + std::to_string(i));
      limiters[i]->FillDigest(digest, aNow);
      sentDigests.push_back(digest);
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

  std::vector<std::unique_ptr<SharedRequestLimiter>> limiters;
  std::vector<std::deque<LimitPermit>> running;
  std::vector<Digest> sentDigests;
};

} // namespace

TEST_GROUP(RequestLimiterTest){};

// The demand moves between the entries, and one entry is isolated for some
// time. At no time may more requests run than the limit allows.
TEST(RequestLimiterTest, ConcurrencyLimitHoldsAcrossAllEntries)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Random random(seed);
    Cluster cluster(MakeRow(kLimit));
    std::size_t maxRunning = 0;
    std::size_t busyEntry = 0;
    for (int step = 0; step < 6000; ++step) {
      const Instant now(step * 10ms);
      if (step % 10 == 0) {
        cluster.Gossip(now, step > 2000 && step < 4000 ? 3 : kEntries);
      }
      if (step % 1500 == 0) {
        busyEntry = random.Below(kEntries);
      }
      const auto entry =
        random.Chance(0.8) ? busyEntry : random.Below(kEntries);
      if (auto permit = cluster.limiters[entry]->TryStart(MakeRequest(), now)) {
        cluster.running[entry].push_back(*permit);
      }
      auto& done = cluster.running[random.Below(kEntries)];
      if (!done.empty() && random.Chance(0.5)) {
        cluster.limiters[&done - cluster.running.data()]->Finish(done.front());
        done.pop_front();
      }
      maxRunning = std::max(maxRunning, cluster.Running());
      CHECK(cluster.Running() <= kLimit);
    }
    // At some time more than half of the limit must be in use.
    CHECK(maxRunning > kLimit / 2);
  }
}

TEST(RequestLimiterTest, BusyEntryGetsNearlyTheWholeLimit)
{
  Cluster cluster(MakeRow(kLimit));
  std::size_t started = 0;
  for (int step = 0; step < 1000; ++step) {
    const Instant now(step * 10ms);
    if (step % 10 == 0) {
      cluster.Gossip(now);
    }
    started += cluster.limiters[0]->TryStart(MakeRequest(), now) ? 1 : 0;
  }
  CHECK(started >= kLimit - 2);
}

TEST(RequestLimiterTest, RateLimitHoldsAndRefusalsStateTheWait)
{
  SharedRequestLimiter limiter({ .self = HostId("only") });
  limiter.Configure({ MakeRow(0, 10) });
  int started = 0;
  for (int step = 0; step < 1000; ++step) {
    const auto permit = limiter.TryStart(MakeRequest(), Instant(step * 10ms));
    started += permit ? 1 : 0;
    if (!permit) {
      CHECK(permit.error().retryAfter > 0s);
      CHECK(permit.error().retryAfter <= 100ms);
    }
  }
  // 10 s at 10 requests per second, plus a burst of one second.
  CHECK(started >= 100);
  CHECK(started <= 111);
}

TEST(RequestLimiterTest, MostSpecificRowSetsTheWeight)
{
  SharedRequestLimiter limiter({ .self = HostId("only") });
  auto anyRow = MakeRow(0);
  auto customerRow = MakeRow(0);
  customerRow.customer = CustomerId("council");
  customerRow.weight = 5;
  limiter.Configure({ anyRow, customerRow });
  const ServiceId service("rota");
  const RequestType type("lookup");
  DOUBLES_EQUAL(
    5, limiter.RowFor(service, type, CustomerId("council"))->weight, 0);
  DOUBLES_EQUAL(
    1, limiter.RowFor(service, type, CustomerId("trader"))->weight, 0);
  CHECK(!limiter.RowFor(ServiceId("desk"), type, CustomerId("trader")));
}

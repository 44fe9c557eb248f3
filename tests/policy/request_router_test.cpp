#include "policy/request_router.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/random.h"
#include "tests/policy/builders.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::BackendId;
using firefly::DomainId;
using firefly::HostId;
using firefly::Incarnation;
using firefly::Instant;
using firefly::Random;
using firefly::RequestId;
using firefly::ServiceId;
using firefly::policy::AttemptError;
using firefly::policy::AttemptNumber;
using firefly::policy::Backend;
using firefly::policy::BackendKind;
using firefly::policy::BackendNotice;
using firefly::policy::BackendState;
using firefly::policy::CrashSuspicion;
using firefly::policy::DispatchOrder;
using firefly::policy::FailureReason;
using firefly::policy::FleetView;
using firefly::policy::LimitRow;
using firefly::policy::LinkState;
using firefly::policy::MakePolicySet;
using firefly::policy::Refusal;
using firefly::policy::RefusalReason;
using firefly::policy::RequestRouter;
using firefly::policy::RouterSink;
using firefly::policy::Tokens;
using firefly::policy::test::MakeEngine;
using firefly::policy::test::MakeRequest;

namespace {

// Records the router's decisions.
class FakeSink : public RouterSink
{
public:
  void Dispatch(const DispatchOrder& aOrder) override
  {
    orders.push_back(aOrder);
    live.insert({ aOrder.requestId, aOrder.attempt });
  }
  void Cancel(const RequestId& aId, AttemptNumber aAttempt) override
  {
    live.erase({ aId, aAttempt });
  }
  void Refuse(const RequestId& aId, const Refusal& aRefusal) override
  {
    refused[aId] = aRefusal.reason;
  }
  void Fail(const RequestId& aId, FailureReason aReason) override
  {
    failed[aId] = aReason;
  }
  void Announce(const BackendNotice& aNotice) override
  {
    notices.push_back(aNotice);
  }

  [[nodiscard]] LinkState Link() const override { return link; }
  void AnnounceCrashSuspicions(
    const std::vector<CrashSuspicion>& aChanges) override
  {
    suspicions.insert(suspicions.end(), aChanges.begin(), aChanges.end());
  }

  [[nodiscard]] int Dispatched(const RequestId& aId) const
  {
    return static_cast<int>(
      std::count_if(orders.begin(), orders.end(), [&](const auto& aOrder) {
        return aOrder.requestId == aId;
      }));
  }

  std::vector<DispatchOrder> orders;
  std::set<std::pair<RequestId, AttemptNumber>> live;
  std::map<RequestId, RefusalReason> refused;
  std::map<RequestId, FailureReason> failed;
  std::vector<BackendNotice> notices;
  std::vector<CrashSuspicion> suspicions;
  LinkState link = LinkState::kSound;
};

} // namespace

TEST_GROUP(RequestRouterTest)
{
  FleetView fleet;
  FakeSink sink;

  RequestRouter MakeRouter(int aEngines = 4)
  {
    for (int i = 0; i < aEngines; ++i) {
      fleet.Upsert(MakeEngine("e" + std::to_string(i)));
    }
    auto policies = MakePolicySet("firefly", { .self = HostId("entry") });
    return RequestRouter(
      { .self = HostId("entry"), .incarnation = Incarnation(1) },
      std::move(*policies),
      fleet,
      sink);
  }
};

TEST(RequestRouterTest, NonIdempotentRequestRunsOnlyOnce)
{
  auto router = MakeRouter();
  auto booking = MakeRequest("booking");
  booking.idempotent = false;
  router.OnArrival(booking, Instant{});
  for (int i = 1; i < 200; ++i) {
    router.Tick(Instant(i * 20ms));
  }
  LONGS_EQUAL(1, sink.orders.size());
  router.OnError(
    RequestId("booking"), AttemptNumber(1), AttemptError::kBroken, Instant(5s));
  LONGS_EQUAL(1, sink.orders.size());
  CHECK(sink.failed.at(RequestId("booking")) == FailureReason::kOutcomeUnknown);
  LONGS_EQUAL(0, router.Live());
}

TEST(RequestRouterTest, UnsentRequestIsRetriedOnAnotherBackend)
{
  auto router = MakeRouter();
  auto booking = MakeRequest("booking");
  booking.idempotent = false;
  router.OnArrival(booking, Instant{});
  router.OnError(RequestId("booking"),
                 AttemptNumber(1),
                 AttemptError::kNotSent,
                 Instant(1ms));
  LONGS_EQUAL(2, sink.orders.size());
  CHECK(sink.orders[0].backend != sink.orders[1].backend);
}

TEST(RequestRouterTest, StalledOutputIsResumedOnAnotherBackendAtItsOffset)
{
  auto router = MakeRouter();
  const RequestId id("r");
  router.OnArrival(MakeRequest("r"), Instant{});
  CHECK_TRUE(router.OnFirstToken(id, AttemptNumber(1), Instant(50ms)));
  router.OnTokens(id, AttemptNumber(1), Tokens(7), Instant(100ms));
  router.Tick(Instant(5s));
  LONGS_EQUAL(2, sink.orders.size());
  LONGS_EQUAL(7, sink.orders[1].resumeFrom.Value());
  CHECK(sink.orders[0].backend != sink.orders[1].backend);
  // Late tokens of the cancelled attempt must not reach the caller.
  CHECK_FALSE(router.OnFirstToken(id, AttemptNumber(1), Instant(5s)));
}

TEST(RequestRouterTest, LateFirstTokenIsHedgedOnceAndTheSlowerAttemptCancelled)
{
  auto router = MakeRouter();
  const RequestId id("r");
  router.OnArrival(MakeRequest("r"), Instant{});
  for (int i = 1; i < 100; ++i) {
    router.Tick(Instant(i * 20ms));
  }
  LONGS_EQUAL(2, sink.orders.size());
  CHECK_TRUE(sink.orders[1].isHedge);
  CHECK_TRUE(router.OnFirstToken(id, AttemptNumber(2), Instant(3s)));
  LONGS_EQUAL(1, sink.live.size());
  CHECK(sink.live.begin()->second == AttemptNumber(2));
}

TEST(RequestRouterTest, SuspectsOfACrashAreRetriedOneByOne)
{
  auto router = MakeRouter();
  for (const auto* const name : { "a", "b", "c" }) {
    router.OnArrival(MakeRequest(name), Instant{});
  }
  sink.orders.clear();
  for (const auto* const name : { "a", "b", "c" }) {
    router.OnError(
      RequestId(name), AttemptNumber(1), AttemptError::kBroken, Instant(10ms));
  }
  LONGS_EQUAL(1, sink.orders.size());
  const RequestId id("a");
  router.OnError(id, AttemptNumber(2), AttemptError::kBroken, Instant(20ms));
  CHECK(sink.failed.at(id) == FailureReason::kQuarantined);
  LONGS_EQUAL(2, sink.orders.size());
  // When the caller sends the request again, it is refused without being
  // dispatched.
  router.OnArrival(MakeRequest("a"), Instant(1s));
  CHECK(sink.refused.at(id) == RefusalReason::kQuarantined);
  LONGS_EQUAL(0, sink.Dispatched(RequestId("a")) - 1);
  // The other suspects continue, one after the other.
  router.OnFirstToken(RequestId("b"), AttemptNumber(2), Instant(1s));
  router.OnTokens(RequestId("b"), AttemptNumber(2), Tokens(20), Instant(1s));
  CHECK(sink.orders.back().requestId == RequestId("c"));
}

// Random arrivals, answers, errors and disconnecting callers. Limits and queue
// bounds must hold, and no request may remain at the end. A refused request
// must not have been dispatched; only those refused for an exhausted retry
// budget or a missing backend server may have had attempts that did not run.
TEST(RequestRouterTest, InvariantsHoldOverRandomRuns)
{
  constexpr std::uint32_t kLimit = 40;
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    Random random(seed);
    fleet = FleetView{};
    sink = FakeSink{};
    auto router = MakeRouter();
    LimitRow row;
    row.service = ServiceId("assistant");
    row.maxConcurrent = kLimit;
    router.Configure({ row });
    for (int step = 0; step < 3000; ++step) {
      const Instant now(step * 10ms);
      if (step < 2500) {
        auto request = MakeRequest(std::to_string(step), now);
        request.idempotent = random.Chance(0.7);
        router.OnArrival(request, now);
      }
      if (random.Chance(0.02)) {
        const auto state = static_cast<BackendState>(random.Below(3));
        fleet.SetState(
          firefly::BackendId("e" + std::to_string(random.Below(4))), state);
      }
      while (!sink.live.empty() && random.Chance(0.6)) {
        auto it = sink.live.begin();
        std::advance(it, random.Below(sink.live.size()));
        const auto [id, attempt] = *it;
        const auto choice = random.Below(10);
        if (choice < 5) {
          router.OnFirstToken(id, attempt, now);
          router.OnTokens(id, attempt, Tokens(3), now);
        } else if (choice < 8) {
          sink.live.erase(it);
          router.OnFinish(id, attempt, now);
        } else if (choice < 9) {
          sink.live.erase(it);
          const auto error = static_cast<AttemptError>(random.Below(3));
          router.OnError(id, attempt, error, now);
        } else {
          router.OnCallerGone(id, now);
        }
      }
      router.Tick(now);
      CHECK(router.Live() <= kLimit);
      CHECK(router.Queued() <= router.Policies().queue->MaxSize());
    }
    for (int step = 3000; step < 3400 && router.Live() > 0; ++step) {
      const Instant now(step * 10ms);
      while (!sink.live.empty()) {
        const auto [id, attempt] = *sink.live.begin();
        sink.live.erase(sink.live.begin());
        router.OnFinish(id, attempt, now);
      }
      router.Tick(now);
    }
    LONGS_EQUAL(0, router.Live());
    std::map<RequestId, int> dispatched;
    for (const auto& order : sink.orders) {
      dispatched[order.requestId]++;
    }
    for (const auto& [id, reason] : sink.refused) {
      if (reason != RefusalReason::kRetryBudget &&
          reason != RefusalReason::kNoBackend) {
        LONGS_EQUAL(0, dispatched[id]);
      }
    }
    CHECK(sink.refused.size() > 10);
  }
}

// With long shared prompts, some engines prefill and others decode.
TEST(RequestRouterTest, PromptIsPrefilledOnOneEngineAndDecodedOnAnother)
{
  auto router = MakeRouter(3);
  auto reader = MakeEngine("reader", firefly::policy::EngineRole::kPrefill);
  reader.isPrefillOnly = true;
  fleet.Upsert(reader);
  auto request = MakeRequest("r1");
  request.idempotent = false;
  request.maxAttempts = 1;
  request.promptTokens = Tokens(9000);
  router.OnArrival(request, Instant{});
  LONGS_EQUAL(1, sink.orders.size());
  CHECK(sink.orders[0].phase == firefly::policy::WorkPhase::kPrefill);
  STRCMP_EQUAL("reader", sink.orders[0].backend.Value().c_str());
  router.OnPromptPrefilled(RequestId("r1"), AttemptNumber(1), Instant(100ms));
  LONGS_EQUAL(2, sink.orders.size());
  CHECK(sink.orders[1].phase == firefly::policy::WorkPhase::kDecode);
  CHECK(sink.orders[1].backend.Value() != "reader");
  CHECK_TRUE(
    router.OnFirstToken(RequestId("r1"), AttemptNumber(2), Instant(120ms)));
  router.OnFinish(RequestId("r1"), AttemptNumber(2), Instant(200ms));
  LONGS_EQUAL(0, router.Live());
}

// A short prompt runs as a whole where outputs are decoded if the stall that it
// causes is small against the pauses that its route allows; otherwise it is
// prefilled apart.
TEST(RequestRouterTest, APromptRunsWholeIfItsStallIsSmallAgainstTheAllowedPause)
{
  FleetView engines;
  auto reader = MakeEngine("reader", firefly::policy::EngineRole::kPrefill);
  reader.isPrefillOnly = true;
  engines.Upsert(reader);
  auto writer = MakeEngine("writer", firefly::policy::EngineRole::kDecode);
  writer.capacity.prefillTokensPerSecond = 30000;
  engines.Upsert(writer);
  const auto phaseFor = [&](firefly::Duration aGapObjective) {
    FakeSink orders;
    RequestRouter router(
      { .self = HostId("self"), .incarnation = Incarnation(1) },
      *MakePolicySet("firefly",
                     { .self = HostId("self"),
                       .peersAnnouncePrompts = true,
                       .disabledParts = { "admission", "hedge" } }),
      engines,
      orders);
    auto request = MakeRequest("r1");
    request.promptTokens = Tokens(600);
    request.gapObjective = aGapObjective;
    router.OnArrival(request, Instant{});
    return orders.orders.at(0).phase;
  };
  // The prompt takes 20 ms.
  CHECK(phaseFor(250ms) == firefly::policy::WorkPhase::kWhole);
  CHECK(phaseFor(50ms) == firefly::policy::WorkPhase::kPrefill);
}

// The KV cache moves within the failure domain of the engine that has prefilled
// the prompt, wherever the caller is.
TEST(RequestRouterTest, OutputIsDecodedInTheFailureDomainOfThePrefill)
{
  FleetView domains;
  auto reader =
    MakeEngine("reader", firefly::policy::EngineRole::kPrefill, "d1");
  reader.isPrefillOnly = true;
  domains.Upsert(reader);
  for (const auto* domain : { "d0", "d1", "d2" }) {
    domains.Upsert(
      MakeEngine(domain, firefly::policy::EngineRole::kDecode, domain));
  }
  RequestRouter router(
    { .self = HostId("self"), .incarnation = Incarnation(1) },
    *MakePolicySet("firefly",
                   { .self = HostId("self"),
                     .domain = DomainId("d0"),
                     .crossDomainPenalty = 10ms,
                     .peersAnnouncePrompts = true,
                     .disabledParts = { "admission", "hedge" } }),
    domains,
    sink);
  for (int i = 0; i < 20; ++i) {
    const auto id = "r" + std::to_string(i);
    const Instant now(i * 1s);
    auto request = MakeRequest(id, now);
    request.idempotent = false;
    request.maxAttempts = 1;
    request.promptTokens = Tokens(9000);
    request.prefixHashes = { static_cast<std::uint64_t>(i) };
    request.prefixEnds = { Tokens(5000) };
    router.OnArrival(request, now);
    router.OnPromptPrefilled(RequestId(id), AttemptNumber(1), now + 100ms);
    CHECK(sink.orders.back().phase == firefly::policy::WorkPhase::kDecode);
    STRCMP_EQUAL("d1", sink.orders.back().backend.Value().c_str());
    router.OnFirstToken(RequestId(id), AttemptNumber(2), now + 120ms);
    router.OnFinish(RequestId(id), AttemptNumber(2), now + 200ms);
  }
}

TEST(RequestRouterTest, FailedPrefillDoesNotCountAsRun)
{
  auto router = MakeRouter(3);
  auto reader = MakeEngine("reader", firefly::policy::EngineRole::kPrefill);
  reader.isPrefillOnly = true;
  fleet.Upsert(reader);
  auto request = MakeRequest("r1");
  request.idempotent = false;
  request.maxAttempts = 1;
  request.promptTokens = Tokens(9000);
  router.OnArrival(request, Instant{});
  router.OnError(
    RequestId("r1"), AttemptNumber(1), AttemptError::kBroken, Instant(50ms));
  LONGS_EQUAL(2, sink.orders.size());
  CHECK(sink.orders[1].phase == firefly::policy::WorkPhase::kWhole);
}

TEST(RequestRouterTest, RequestThatMayHaveRunFailsInsteadOfBeingRefused)
{
  auto router = MakeRouter(2);
  auto request = MakeRequest("r1");
  request.maxAttempts = 2;
  router.OnArrival(request, Instant{});
  router.OnError(
    RequestId("r1"), AttemptNumber(1), AttemptError::kFailed, Instant(50ms));
  router.OnError(
    RequestId("r1"), AttemptNumber(2), AttemptError::kRejected, Instant(60ms));
  LONGS_EQUAL(0, sink.refused.count(RequestId("r1")));
  LONGS_EQUAL(1, sink.failed.count(RequestId("r1")));
}

TEST(RequestRouterTest, RequestOwnLimitBoundsTheAttempts)
{
  auto router = MakeRouter(4);
  auto request = MakeRequest("r1");
  request.maxAttempts = 1;
  router.OnArrival(request, Instant{});
  router.OnError(
    RequestId("r1"), AttemptNumber(1), AttemptError::kBroken, Instant(50ms));
  LONGS_EQUAL(1, sink.Dispatched(RequestId("r1")));
}

// Incident inc-8ca0: the engine chosen for decoding had crashed. The request
// was refused, although its attempt had reached no engine and could be sent to
// another one.
TEST(RequestRouterTest, UnsentDecodeAttemptIsRetriedOnAnotherEngine)
{
  auto router = MakeRouter(3);
  auto reader = MakeEngine("reader", firefly::policy::EngineRole::kPrefill);
  reader.isPrefillOnly = true;
  fleet.Upsert(reader);
  auto request = MakeRequest("r1");
  request.idempotent = false;
  request.maxAttempts = 1;
  request.promptTokens = Tokens(9000);
  router.OnArrival(request, Instant{});
  router.OnPromptPrefilled(RequestId("r1"), AttemptNumber(1), Instant(100ms));
  // The retry needs budget; these requests earn it.
  for (int i = 0; i < 20; ++i) {
    const auto id = "fill" + std::to_string(i);
    auto fill = MakeRequest(id);
    fill.promptTokens = Tokens(10);
    router.OnArrival(fill, Instant(100ms));
    router.OnCallerGone(RequestId(id), Instant(100ms));
  }
  sink.orders.clear();
  router.OnError(
    RequestId("r1"), AttemptNumber(2), AttemptError::kNotSent, Instant(110ms));
  LONGS_EQUAL(1, sink.orders.size());
  CHECK(sink.orders[0].phase == firefly::policy::WorkPhase::kDecode);
  CHECK(sink.orders[0].backend.Value() != "reader");
}

// At peaks of long prompts all prefill engines are full. Prefilling a long
// prompt on an engine that decodes would stall its output streams, so the
// prompt has to wait. A short prompt does no harm there.
TEST(RequestRouterTest, LongPromptWaitsInsteadOfStallingRunningStreams)
{
  auto router = MakeRouter(2);
  auto reader = MakeEngine("reader", firefly::policy::EngineRole::kPrefill);
  reader.isPrefillOnly = true;
  reader.capacity.slots = 1;
  fleet.Upsert(reader);
  auto first = MakeRequest("first");
  first.promptTokens = Tokens(9000);
  router.OnArrival(first, Instant{});
  auto next = MakeRequest("next");
  next.promptTokens = Tokens(9000);
  next.lateAfter = 5s;
  router.OnArrival(next, Instant(1ms));
  LONGS_EQUAL(0, sink.Dispatched(RequestId("next")));
  auto shortPrompt = MakeRequest("short");
  shortPrompt.promptTokens = Tokens(100);
  router.OnArrival(shortPrompt, Instant(2ms));
  LONGS_EQUAL(1, sink.Dispatched(RequestId("short")));
  router.OnPromptPrefilled(
    RequestId("first"), AttemptNumber(1), Instant(200ms));
  LONGS_EQUAL(1, sink.Dispatched(RequestId("next")));
  CHECK(sink.orders.back().phase == firefly::policy::WorkPhase::kPrefill);
}

// Found on strapline-hub scale-2: two engines stopped responding. They were
// sent prompts for another 4 s, because their records were still valid.
TEST(RequestRouterTest, SilentEngineIsAvoidedByThisEntryAndItsPeers)
{
  auto router = MakeRouter(0);
  for (const auto* id : { "reader-1", "reader-2" }) {
    auto reader = MakeEngine(id, firefly::policy::EngineRole::kPrefill);
    reader.isPrefillOnly = true;
    fleet.Upsert(reader);
  }
  fleet.Upsert(MakeEngine("writer", firefly::policy::EngineRole::kDecode));
  auto request = MakeRequest("r1");
  request.idempotent = false;
  request.maxAttempts = 1;
  request.promptTokens = Tokens(9000);
  router.OnArrival(request, Instant{});
  const auto silent = sink.orders.back().backend;
  router.OnError(
    RequestId("r1"), AttemptNumber(1), AttemptError::kSilent, Instant(700ms));
  // A prompt that was sent to a silent engine for prefill does not count as a
  // run.
  LONGS_EQUAL(2, sink.orders.size());
  CHECK(sink.orders.back().backend != silent);
  LONGS_EQUAL(1, sink.notices.size());
  const auto notice = sink.notices.back();
  CHECK(notice.kind == BackendNotice::Kind::kSilent);
  for (int i = 0; i < 20; ++i) {
    auto next = MakeRequest("next" + std::to_string(i), Instant(800ms));
    next.promptTokens = Tokens(9000);
    next.lateAfter = 20s;
    router.OnArrival(next, Instant(800ms));
    CHECK(sink.orders.back().backend != silent);
  }
  // A peer that receives the notice avoids the engine as well.
  FakeSink peerSink;
  auto policies = MakePolicySet("firefly", { .self = HostId("peer") });
  RequestRouter peer({ .self = HostId("peer"), .incarnation = Incarnation(1) },
                     std::move(*policies),
                     fleet,
                     peerSink);
  peer.OnPeerNotice(notice, Instant(700ms));
  for (int i = 0; i < 20; ++i) {
    auto next = MakeRequest("peer" + std::to_string(i), Instant(800ms));
    next.promptTokens = Tokens(9000);
    next.lateAfter = 20s;
    peer.OnArrival(next, Instant(800ms));
    CHECK(peerSink.orders.back().backend != silent);
  }
}

// A request that was sent to a host before it went silent may have run there.
TEST(RequestRouterTest, RequestOnSilentBackendServerMayHaveRun)
{
  auto router = MakeRouter(2);
  auto request = MakeRequest("booking");
  request.idempotent = false;
  router.OnArrival(request, Instant{});
  router.OnError(RequestId("booking"),
                 AttemptNumber(1),
                 AttemptError::kSilent,
                 Instant(700ms));
  LONGS_EQUAL(1, sink.orders.size());
  LONGS_EQUAL(0, sink.refused.count(RequestId("booking")));
  CHECK(sink.failed.at(RequestId("booking")) == FailureReason::kOutcomeUnknown);
}

// The queue was full of requests for engines, so that a plain service was
// refused although its slots were free.
TEST(RequestRouterTest, RequestsThatWaitForEnginesDoNotRefuseAPlainService)
{
  auto engine = MakeEngine("e0");
  engine.capacity.slots = 1;
  fleet.Upsert(engine);
  Backend desk;
  desk.id = BackendId("desk");
  desk.kind = BackendKind::kPlain;
  desk.services = { ServiceId("desk") };
  desk.capacity.slots = 6;
  fleet.Upsert(desk);
  auto policies = MakePolicySet("firefly",
                                { .self = HostId("relay"),
                                  .queueBound = 8,
                                  .disabledParts = { "admission" } });
  RequestRouter router(
    { .self = HostId("relay"), .incarnation = Incarnation(1) },
    std::move(*policies),
    fleet,
    sink);
  for (int i = 0; i < 20; ++i) {
    router.OnArrival(MakeRequest("prompt" + std::to_string(i)), Instant{});
  }
  LONGS_EQUAL(8, router.Queued());
  auto lookup = MakeRequest("lookup");
  lookup.service = ServiceId("desk");
  lookup.model = {};
  lookup.promptTokens = Tokens(0);
  router.OnArrival(lookup, Instant{});
  LONGS_EQUAL(1, sink.Dispatched(RequestId("lookup")));
  LONGS_EQUAL(0, sink.refused.contains(RequestId("lookup")) ? 1 : 0);
}

// An engine that has crashed looks open until its record says otherwise. The
// next suspect was sent to the engine that the last one had just crashed, and
// was quarantined for a crash that it had no part in.
TEST(RequestRouterTest, SuspectsAvoidAnEngineThatHasJustCrashed)
{
  auto router = MakeRouter(4);
  for (int i = 0; i < 24; ++i) {
    router.OnArrival(MakeRequest("q" + std::to_string(i)), Instant{});
  }
  // The first one is the poison; those beside it become suspects.
  const auto first = sink.orders;
  std::vector<RequestId> suspects;
  for (const auto& it : first) {
    if (it.backend == first.front().backend) {
      suspects.push_back(it.requestId);
      router.OnError(
        it.requestId, it.attempt, AttemptError::kBroken, Instant(10ms));
    }
  }
  CHECK(suspects.size() > 3);
  const auto crashed = sink.orders.back().backend;
  router.OnError(
    suspects.front(), AttemptNumber(2), AttemptError::kBroken, Instant(30ms));
  for (std::size_t i = 1; i < suspects.size(); ++i) {
    const auto order = sink.orders.back();
    CHECK_TRUE(order.requestId == suspects[i]);
    CHECK_TRUE(order.backend != crashed);
    router.OnFirstToken(order.requestId, order.attempt, Instant(40ms));
    router.OnTokens(order.requestId, order.attempt, Tokens(20), Instant(50ms));
  }
}

TEST(RequestRouterTest, ACrashIsNotChargedToAnAttemptThatWasSentAfterIt)
{
  auto router = MakeRouter(2);
  const auto start = [&](const std::string& aName, firefly::Duration aAt) {
    router.OnArrival(MakeRequest(aName, Instant(aAt)), Instant(aAt));
    return sink.orders.back().backend;
  };
  const auto crashed = start("first", 0ms);
  router.OnError(
    RequestId("first"), AttemptNumber(1), AttemptError::kBroken, Instant(10ms));
  auto other = start("second", 12ms);
  for (int i = 0; other != crashed && i < 50; ++i) {
    other = start("other" + std::to_string(i), 12ms);
  }
  CHECK_TRUE(other == crashed);
  const auto late = sink.orders.back().requestId;
  router.OnError(late, AttemptNumber(1), AttemptError::kBroken, Instant(15ms));
  LONGS_EQUAL(1, router.MakeDigest(Instant(20ms)).suspects.size());
}

TEST(RequestRouterTest, ACrashAfterASignOfLifeCountsAgain)
{
  auto router = MakeRouter(1);
  router.OnArrival(MakeRequest("first"), Instant{});
  router.OnError(
    RequestId("first"), AttemptNumber(1), AttemptError::kBroken, Instant(10ms));
  router.OnArrival(MakeRequest("second", Instant(20ms)), Instant(20ms));
  router.OnArrival(MakeRequest("third", Instant(20ms)), Instant(20ms));
  CHECK_TRUE(
    router.OnFirstToken(RequestId("third"), AttemptNumber(1), Instant(30ms)));
  router.OnError(RequestId("second"),
                 AttemptNumber(1),
                 AttemptError::kBroken,
                 Instant(40ms));
  LONGS_EQUAL(2, router.MakeDigest(Instant(50ms)).suspects.size());
}

TEST(RequestRouterTest, AttemptsThatReachNoBackendServerSpendNoRetryBudget)
{
  auto router = MakeRouter();
  for (int i = 0; i < 30; ++i) {
    const RequestId id("r" + std::to_string(i));
    router.OnArrival(MakeRequest(id.Value()), Instant{});
    router.OnError(id, AttemptNumber(1), AttemptError::kNotSent, Instant(1ms));
    LONGS_EQUAL(2, sink.Dispatched(id));
    router.OnCallerGone(id, Instant(2ms));
  }
}

TEST(RequestRouterTest, RequestsThatReachNoBackendServerAreRefusedSoon)
{
  auto router = MakeRouter(1);
  const RequestId id("r");
  router.OnArrival(MakeRequest("r"), Instant{});
  for (std::uint32_t n = 1; n <= 100 && sink.refused.empty(); ++n) {
    router.OnError(id, AttemptNumber(n), AttemptError::kNotSent, Instant(1ms));
  }
  CHECK(sink.refused.at(id) == RefusalReason::kNoBackend);
  LONGS_EQUAL(5, sink.Dispatched(id));
}

// Guards against suspects that wait for ever for one that ended while it waited
// for a place under a rate limit.
TEST(RequestRouterTest, ASuspectThatEndsBeforeItsPlaceIsDueLetsTheNextOneRun)
{
  auto router = MakeRouter(2);
  for (const auto* const name : { "a", "b" }) {
    router.OnArrival(MakeRequest(name), Instant{});
  }
  const auto setStates = [&](BackendState aState) {
    fleet.SetState(firefly::BackendId("e0"), aState);
    fleet.SetState(firefly::BackendId("e1"), aState);
  };
  for (std::uint32_t i = 0; i < 2; ++i) {
    router.OnPeerNotice(
      { .kind = BackendNotice::Kind::kRateLimit,
        .backend = fleet.HashAt(firefly::policy::BackendSlot(i)),
        .limit = { .rate = firefly::policy::RequestRate(1),
                   .heardAt = Instant(5ms) },
        .places = 3 },
      Instant(5ms));
  }
  for (const auto* const name : { "a", "b" }) {
    router.OnError(
      RequestId(name), AttemptNumber(1), AttemptError::kBroken, Instant(10ms));
  }
  LONGS_EQUAL(2, sink.orders.size());
  setStates(BackendState::kClosed);
  router.Tick(Instant(5s));
  CHECK(sink.failed.contains(RequestId("a")));
  setStates(BackendState::kOpen);
  for (int i = 0; i < 100; ++i) {
    router.Tick(Instant(6s + i * 100ms));
  }
  CHECK(sink.Dispatched(RequestId("b")) == 2 ||
        sink.failed.contains(RequestId("b")));
}

// Guards against a host that has lost its own links, takes each connection that
// breaks for a crash, and has what its requests have in common refused
// everywhere.
TEST(RequestRouterTest,
     ConnectionsThatBreakWithTheHostsOwnLinksRaiseNoSuspicion)
{
  auto router = MakeRouter(6);
  const auto breakOne = [&](const std::string& aName, Instant aAt) {
    auto info = MakeRequest(aName, aAt);
    info.SetCrashTraits("", { 1, 2 });
    router.OnArrival(info, aAt);
    router.OnError(
      info.requestId, AttemptNumber(1), AttemptError::kBroken, aAt + 10ms);
  };
  sink.link = LinkState::kInDoubt;
  breakOne("a", Instant(10ms));
  breakOne("b", Instant(11ms));
  router.Tick(Instant(40ms));
  CHECK_TRUE(sink.suspicions.empty());
  sink.link = LinkState::kCutOff;
  router.Tick(Instant(60ms));
  breakOne("c", Instant(80ms));
  sink.link = LinkState::kSound;
  router.Tick(Instant(200ms));
  CHECK_TRUE(sink.suspicions.empty());
  // A crash counts as soon as the links turn out to be sound.
  sink.link = LinkState::kInDoubt;
  breakOne("d", Instant(300ms));
  CHECK_TRUE(sink.suspicions.empty());
  sink.link = LinkState::kSound;
  router.Tick(Instant(330ms));
  CHECK_FALSE(sink.suspicions.empty());
}

// Tests the rules of the booking ledger, and measures the cost of permits.

#include <algorithm>
#include <cstdio>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coord/booking_ledger.h"
#include "coord/testing/fake_log.h"
#include "coord/testing/fake_process.h"
#include "tests/coord/fault_injector.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;

namespace firefly::coord {

namespace {

using Verdict = PermitVerdict;

const BookingKey kKey("key");

// Applies records to a BookingState without a log.
class StateFeeder
{
public:
  explicit StateFeeder(VirtualExecutor& aExecutor)
    : state({ .window = 10min }, aExecutor)
  {
  }

  bool Intent(const char* aAttempt)
  {
    return Put(RecordKind::kBookingIntent,
               BookingState::IntentBody(
                 kKey, AttemptId(aAttempt), RequestDigest(1), WallTime{}));
  }
  bool Abandon(const char* aAttempt)
  {
    return Put(RecordKind::kBookingAbandon,
               BookingState::AbandonBody(kKey, AttemptId(aAttempt)));
  }
  std::string Holder() const
  {
    const auto view = state.Find(kKey);
    return view ? view->attempt.Value() : "";
  }

  BookingState state;

private:
  bool Put(RecordKind aKind, std::string aBody)
  {
    return state.Apply(LogOffset(mNext++),
                       { .id = {}, .kind = aKind, .body = std::move(aBody) });
  }

  std::uint64_t mNext = 0;
};

struct Daemon
{
  Daemon(VirtualExecutor& aExecutor,
         FakeLog& aLog,
         const std::string& aName,
         std::uint32_t aPartitions = 1,
         Duration aLinger = 20ms)
    : process(aExecutor)
    , ledger({ .writer = WriterId(aName),
               .chart = &TestChart("booking"),
               .partitions = aPartitions,
               .linger = aLinger },
             process,
             aLog.MakeClient(aName, process))
  {
  }

  FakeProcess process;
  BookingLedger ledger;
};

} // namespace

TEST_GROUP(BookingStateTest)
{
  VirtualExecutor executor;
  StateFeeder feeder{ executor };
};

TEST(BookingStateTest, FirstIntentHoldsThePermit)
{
  CHECK_TRUE(feeder.Intent("a"));
  CHECK_FALSE(feeder.Intent("b"));
  CHECK_FALSE(feeder.Intent("a"));
  STRCMP_EQUAL("a", feeder.Holder().c_str());
}

TEST(BookingStateTest, AbandonedAttemptNeverHoldsThePermit)
{
  CHECK_TRUE(feeder.Abandon("a"));
  CHECK_FALSE(feeder.Intent("a")); // the intent was appended late
  STRCMP_EQUAL("", feeder.Holder().c_str());
  CHECK_TRUE(feeder.Intent("b"));
}

TEST(BookingStateTest, SecondAttemptTakesOverAnAbandonedPermit)
{
  // A reader that has already dropped "a" may have granted a permit to "b".
  feeder.Intent("a");
  feeder.Intent("b");
  feeder.Abandon("a");
  STRCMP_EQUAL("b", feeder.Holder().c_str());
  CHECK_FALSE(feeder.Intent("c"));
}

TEST(BookingStateTest, KeyIsKeptForAWindowAfterItsLastRecord)
{
  feeder.Intent("a");
  executor.RunFor(9min);
  feeder.Intent("b");
  executor.RunFor(9min);
  feeder.state.Expire();
  CHECK_FALSE(feeder.Intent("c"));
  executor.RunFor(10min);
  feeder.state.Expire();
  LONGS_EQUAL(0, feeder.state.Keys());
  LONGS_EQUAL(0, feeder.state.Bytes());
  CHECK_TRUE(feeder.Intent("d"));
}

TEST_GROUP(BookingLedgerTest)
{
  VirtualExecutor executor;
  FakeLog log{ { .timeout = 300ms, .lateness = 3s }, executor };
  std::unique_ptr<Daemon> first;
  std::unique_ptr<Daemon> second;
  int attempts = 0;

  void setup() override
  {
    first = std::make_unique<Daemon>(executor, log, "first");
    second = std::make_unique<Daemon>(executor, log, "second");
    first->ledger.Open(PartitionId(0));
    second->ledger.Open(PartitionId(0));
    executor.RunFor(3s);
  }

  // Requests a permit and returns the answer, or nothing if there is none
  // within aSpan.
  std::optional<tl::expected<Permit, LedgerError>> Ask(
    Daemon & aDaemon, const char* aRequest = "request", Duration aSpan = 1s)
  {
    auto answer =
      std::make_shared<std::optional<tl::expected<Permit, LedgerError>>>();
    aDaemon.ledger.RequestPermit(
      { .key = kKey,
        .attempt = AttemptId(std::to_string(++attempts)),
        .digest = DigestOf(aRequest),
        .deadline = executor.Now() + 1s },
      [answer](const auto& aAnswer) { *answer = aAnswer; });
    executor.RunFor(aSpan);
    return *answer;
  }
  void CheckVerdict(Verdict aVerdict, Daemon & aDaemon)
  {
    const auto answer = Ask(aDaemon);
    CHECK_TRUE(answer.has_value() && answer->has_value());
    CHECK(answer->value().verdict == aVerdict);
  }
  void CheckUnavailable(Daemon & aDaemon)
  {
    const auto answer = Ask(aDaemon, "request", 1100ms);
    CHECK_TRUE(answer.has_value());
    CHECK_FALSE(answer->has_value());
  }
};

TEST(BookingLedgerTest, OutcomeIsReturnedToLaterAttemptsAtOtherLedgers)
{
  CheckVerdict(Verdict::kGranted, *first);
  CheckVerdict(Verdict::kOpen, *second);
  bool recorded = false;
  second->ledger.RecordOutcome(
    kKey,
    AttemptId("1"),
    { .status = 201, .answer = "done" },
    [&](const auto& aResult) { recorded = aResult.has_value(); });
  executor.RunFor(2s);
  CHECK_TRUE(recorded);
  const auto answer = Ask(*first);
  CHECK(answer->value().verdict == Verdict::kCompleted);
  STRCMP_EQUAL("done", answer->value().outcome->answer.c_str());
  CHECK(Ask(*first, "another")->value().verdict == Verdict::kMismatch);
  STRCMP_EQUAL("1", first->ledger.Show(kKey)->value().attempt.Value().c_str());
}

TEST(BookingLedgerTest, AbandonedPermitAllowsARetry)
{
  CheckVerdict(Verdict::kGranted, *first);
  second->ledger.Abandon(kKey, AttemptId("1"), [](const auto&) {});
  executor.RunFor(2s);
  CheckVerdict(Verdict::kGranted, *first);
}

TEST(BookingLedgerTest, NoPermitWhileTheLogIsDown)
{
  log.SetDown(true);
  CheckUnavailable(*first);
  log.SetDown(false);
  executor.RunFor(5s);
  CheckVerdict(Verdict::kGranted, *second);
}

TEST(BookingLedgerTest, LostAnswersGrantNoPermitAndLeaveTheKeyFree)
{
  log.SetFaults(1.0, 0, 0);
  CheckUnavailable(*first);
  log.SetFaults(0, 0, 1.0);
  CheckUnavailable(*first);
  log.SetFaults(0, 0, 0);
  executor.RunFor(15s);
  CheckVerdict(Verdict::kGranted, *second);
}

TEST(BookingLedgerTest, PauseBeyondTheDeadlineGrantsNoPermit)
{
  int late = 0;
  int answered = 0;
  int notRun = 0;
  int freeAgain = 0;
  // The pauses start at times from before the append is sent until after it is
  // read back.
  for (auto stop = 10ms; stop <= 90ms; stop += 5ms) {
    const auto deadline = executor.Now() + 1s;
    PermitRequest request{
      .key = BookingKey("stopped-" + std::to_string(stop.count())),
      .attempt = AttemptId("1"),
      .deadline = deadline,
    };
    bool refused = false;
    first->ledger.RequestPermit(request, [&, deadline](const auto& aAnswer) {
      ++answered;
      refused = !aAnswer;
      late += aAnswer && executor.Now() > deadline ? 1 : 0;
    });
    executor.RunFor(stop);
    first->process.Pause();
    executor.RunFor(5s);
    first->process.Resume();
    executor.RunFor(5s);
    if (!refused) {
      continue;
    }
    ++notRun;
    request.attempt = AttemptId("2");
    request.deadline = executor.Now() + 1s;
    second->ledger.RequestPermit(request, [&](const auto& aAnswer) {
      freeAgain += aAnswer && aAnswer->verdict == Verdict::kGranted ? 1 : 0;
    });
    executor.RunFor(1s);
  }
  LONGS_EQUAL(17, answered);
  CHECK_TRUE(notRun > 0);
  LONGS_EQUAL(notRun, freeAgain);
  LONGS_EQUAL(0, late);
}

TEST(BookingLedgerTest, LoserOfARaceDoesNotBlockRetries)
{
  // Both intents are sent before either is read back. The first is sent 12 ms
  // earlier: with a linger of 20 ms and a one-way delay of 5 to 15 ms it is
  // appended before the second.
  Ask(*first, "request", 12ms);
  CheckVerdict(Verdict::kOpen, *second);
  first->ledger.Abandon(kKey, AttemptId("1"), [](const auto&) {});
  executor.RunFor(2s);
  CheckVerdict(Verdict::kGranted, *second);
}

TEST(BookingLedgerTest, KeyOlderThanTheWindowIsRejected)
{
  std::optional<Verdict> verdict;
  first->ledger.RequestPermit(
    { .key = kKey,
      .attempt = AttemptId("old"),
      .deadline = executor.Now() + 1s,
      .keyTime = executor.WallNow() - 1h },
    [&](const auto& aAnswer) { verdict = aAnswer->verdict; });
  executor.RunFor(1s);
  CHECK(verdict == Verdict::kExpired);
}

TEST(BookingLedgerTest, ClosedPartitionFinishesPendingRequests)
{
  const auto none = Ask(*first, "request", 5ms);
  CHECK_FALSE(none.has_value());
  first->ledger.Close(PartitionId(0));
  executor.RunFor(1s);
  LONGS_EQUAL(1, first->ledger.Counters().granted);
  CHECK(Ask(*first)->error().kind == LedgerErrorKind::kNotOwned);
}

namespace {

// Requests permits at the target rate, and checks that the number of appends
// per second is limited to several hundred.
void
MeasurePermitRate(std::uint32_t aPartitions, Duration aLinger)
{
  const WithoutLeakCheck fast;
  constexpr double kBookingsPerSecond = 3800;
  constexpr double kMaxAppendsPerSecond = 900;
  constexpr Duration kSpan = 10s;
  VirtualExecutor executor;
  FakeLog log({ .latency = 10ms }, executor);
  std::vector<std::unique_ptr<Daemon>> daemons;
  for (std::uint32_t n = 0; n < aPartitions; ++n) {
    daemons.push_back(std::make_unique<Daemon>(
      executor, log, "ledger-" + std::to_string(n), aPartitions, aLinger));
    daemons.back()->ledger.Open(PartitionId(n));
  }
  executor.RunFor(3s);
  const auto start = executor.Now();
  const auto before = log.Appends();
  const auto readsBefore = log.Reads();
  Random random(1);
  std::vector<double> latencies;
  std::vector<Timer> timers;
  int bookings = 0;
  std::function<void()> requestPermit = [&] {
    if (executor.Now() - start >= kSpan) {
      return;
    }
    const BookingKey key("order-" + std::to_string(++bookings));
    auto& ledger = daemons.at(PartitionOf(key, aPartitions).Value())->ledger;
    const AttemptId attempt("entry-1/" + std::to_string(bookings));
    const auto asked = executor.Now();
    ledger.RequestPermit(
      { .key = key, .attempt = attempt, .deadline = asked + 1s },
      [&, key, attempt, asked](const auto& aAnswer) {
        CHECK(aAnswer.has_value() && aAnswer->verdict == Verdict::kGranted);
        latencies.push_back(ToSeconds(executor.Now() - asked) * 1000);
        ledger.RecordOutcome(
          key, attempt, { .status = 200, .answer = "ok" }, [](const auto&) {});
      });
    timers.push_back(executor.RunAfter(
      FromSeconds(random.Exponential(1 / kBookingsPerSecond)), requestPermit));
  };
  requestPermit();
  executor.RunFor(kSpan);
  const double appends =
    static_cast<double>(log.Appends() - before) / ToSeconds(kSpan);
  const double reads =
    static_cast<double>(log.Reads() - readsBefore) / ToSeconds(kSpan);
  executor.RunFor(5s);
  std::size_t keys = 0;
  std::size_t bytes = 0;
  for (const auto& it : daemons) {
    keys += it->ledger.Keys();
    bytes += it->ledger.Bytes();
  }
  LONGS_EQUAL(bookings, static_cast<int>(latencies.size()));
  std::sort(latencies.begin(), latencies.end());
  std::printf("%d bookings in 10 s, %u partitions, linger %.0f ms: "
              "%.0f appends/s, "
              "%.0f reads/s, permit ms p50 %.0f p99 %.0f, "
              "%.0f bytes of state a key, %.0f bytes of log a key\n",
              bookings,
              aPartitions,
              ToSeconds(aLinger) * 1000,
              appends,
              reads,
              latencies[latencies.size() / 2],
              latencies[latencies.size() * 99 / 100],
              static_cast<double>(bytes) / static_cast<double>(keys),
              static_cast<double>(log.AppendedBytes()) / bookings);
  CHECK_TRUE(appends < kMaxAppendsPerSecond);
  CHECK_TRUE(bookings > 0.9 * kBookingsPerSecond * ToSeconds(kSpan));
}

} // namespace

TEST_GROUP(BookingRateTest){};

TEST(BookingRateTest, TargetRateNeedsFewAppendsWith16Partitions)
{
  MeasurePermitRate(16, 20ms);
}

TEST(BookingRateTest, TargetRateNeedsFewAppendsWith64Partitions)
{
  MeasurePermitRate(64, 80ms);
}

} // namespace firefly::coord

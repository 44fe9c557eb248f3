#include <map>
#include <optional>

#include "servers/ledger/ledger_client.h"
#include "tests/process/control_deployment.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::BookingKey;
using firefly::LedgerCallError;
using firefly::LedgerClient;
using firefly::coord::Permit;
using firefly::coord::PermitVerdict;
using firefly::coord::RequestDigest;
using firefly::testing::ChildProcess;
using firefly::testing::ControlDeployment;

namespace {

constexpr std::size_t kHosts = 2;

using PermitResult = tl::expected<Permit, LedgerCallError>;

LedgerClient::Booking
BookingOf(const std::string& aKey)
{
  return { .key = BookingKey(aKey), .digest = RequestDigest(1) };
}

} // namespace

TEST_GROUP(LedgerProcessTest)
{
  ControlDeployment deployment{ kHosts };
  LedgerClient first{ deployment.http.Executor(), Options("first") };
  LedgerClient second{ deployment.http.Executor(), Options("second") };

  LedgerClient::Options Options(const std::string& aName)
  {
    return { .attemptPrefix = aName,
             .partitions = 2,
             .ledgers = deployment.Ledgers() };
  }

  PermitResult RequestPermit(LedgerClient & aClient,
                             const std::string& aKey,
                             firefly::Duration aTimeout = 10s)
  {
    std::optional<PermitResult> result;
    aClient.RequestPermit(
      BookingOf(aKey), aTimeout, [&](const PermitResult& aResult) {
        result = aResult;
      });
    CHECK_TRUE(deployment.http.RunUntil([&] { return result.has_value(); }));
    return *result;
  }

  bool IsGranted(const PermitResult& aResult)
  {
    return aResult && aResult->verdict == PermitVerdict::kGranted;
  }

  void Complete(const std::string& aKey, const firefly::AttemptId& aAttempt)
  {
    std::optional<bool> recorded;
    first.RecordOutcome(
      BookingKey(aKey),
      aAttempt,
      { .status = 201, .answer = "booked" },
      [&](const auto& aResult) { recorded = aResult.has_value(); });
    CHECK_TRUE(deployment.http.RunUntil([&] { return recorded.has_value(); }));
    CHECK_TRUE(*recorded);
  }
};

// Two entries request a permit for each key at the same time, while answers to
// appends are lost after the append took effect. Each granted permit counts as
// one execution.
TEST(LedgerProcessTest, LostAppendAnswersNeverGrantAPermitTwice)
{
  constexpr int kKeys = 60;
  deployment.StartLedger(0);
  deployment.StartLedger(1);
  deployment.SetFaults(
    R"({"lose_probability": 0.4, "lose_seed": 7, "lose_stream": "test-booking"})");
  std::map<std::string, int> executions;
  int answers = 0;
  for (int i = 0; i < kKeys; ++i) {
    const std::string key = "key-" + std::to_string(i);
    for (LedgerClient* client : { &first, &second }) {
      client->RequestPermit(
        BookingOf(key), 20s, [&, key](const PermitResult& aResult) {
          ++answers;
          executions[key] += IsGranted(aResult) ? 1 : 0;
        });
    }
  }
  CHECK_TRUE(deployment.http.RunUntil([&] { return answers == 2 * kKeys; }));
  deployment.SetFaults(R"({"lose_probability": 0})");
  int ran = 0;
  for (int i = 0; i < kKeys; ++i) {
    const std::string key = "key-" + std::to_string(i);
    executions[key] += IsGranted(RequestPermit(first, key)) ? 1 : 0;
    executions[key] += IsGranted(RequestPermit(second, key)) ? 1 : 0;
    CHECK_TRUE(executions[key] <= 1);
    ran += executions[key];
  }
  LONGS_EQUAL(kKeys, ran);
}

TEST(LedgerProcessTest, BookingOfAKilledLedgerStaysOpen)
{
  ChildProcess& killed = deployment.StartLedger(0);
  const PermitResult granted = RequestPermit(first, "key");
  CHECK_TRUE(IsGranted(granted));
  killed.Kill();
  deployment.StartLedger(1);
  const PermitResult again = RequestPermit(second, "key");
  CHECK_TRUE(again.has_value());
  CHECK(PermitVerdict::kOpen == again->verdict);
  CHECK(granted->holder == again->holder);
  Complete("key", granted->holder);
  const PermitResult done = RequestPermit(second, "key");
  CHECK_TRUE(done.has_value());
  CHECK(PermitVerdict::kCompleted == done->verdict);
  LONGS_EQUAL(201, done->outcome->status);
  STRCMP_EQUAL("booked", done->outcome->answer.c_str());
}

TEST(LedgerProcessTest, LogOutageRefusesPermitsAndLeavesTheKeyUnused)
{
  deployment.StartLedger(0);
  deployment.StartLedger(1);
  // These keys make the ledgers read both partitions before the log outage.
  for (const char* key : { "a", "b", "c", "d", "e", "f", "g", "h" }) {
    CHECK_TRUE(IsGranted(RequestPermit(first, key)));
  }
  deployment.SetFaults(R"({"outage": true})");
  const PermitResult refused = RequestPermit(first, "key", 3s);
  CHECK_FALSE(refused.has_value());
  CHECK(firefly::LedgerCallErrorKind::kUnavailable == refused.error().kind);
  deployment.SetFaults(R"({"outage": false})");
  CHECK_TRUE(IsGranted(RequestPermit(second, "key", 30s)));
  CHECK_FALSE(IsGranted(RequestPermit(first, "key")));
}

#include <optional>
#include <string>

#include "servers/http/http_server.h"
#include "servers/platform/base64.h"
#include "servers/platform/host_list_client.h"
#include "servers/platform/http_log_client.h"
#include "servers/platform/weight_store_client.h"
#include "tests/helpers/run_until.h"
#include "tests/stand_ins/platform/platform_service.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::HttpCall;
using firefly::PlatformErrorKind;
using firefly::coord::LogErrorKind;
using firefly::coord::LogOffset;
using firefly::coord::StreamName;
using firefly::testing::RunUntil;

namespace {

using Appended = tl::expected<LogOffset, firefly::coord::LogError>;
using Batch = tl::expected<firefly::coord::LogBatch, firefly::coord::LogError>;

} // namespace

TEST_GROUP(Base64Test){};

TEST(Base64Test, AllLengthsAndBytesSurviveEncodingAndDecoding)
{
  std::string bytes;
  for (int i = 0; i < 300; ++i) {
    const std::string text = firefly::EncodeBase64(bytes);
    LONGS_EQUAL(0, text.size() % 4);
    CHECK(firefly::DecodeBase64(text) == bytes);
    bytes += static_cast<char>(i * 7);
  }
  STRCMP_EQUAL("Zm9vYg==", firefly::EncodeBase64("foob").c_str());
}

TEST(Base64Test, MalformedTextIsRefused)
{
  CHECK_FALSE(firefly::DecodeBase64("Zm9").has_value());
  CHECK_FALSE(firefly::DecodeBase64("Zm9*").has_value());
}

// Runs the clients against the platform stand-in over loopback.
TEST_GROUP(PlatformTest)
{
  firefly::AsioExecutor executor;
  firefly::stand_ins::PlatformService service{ executor };
  firefly::HttpServer server{ executor,
                              {},
                              [this](firefly::HttpRequest aRequest,
                                     firefly::HttpResponderPtr aResponder) {
                                service.Handle(std::move(aRequest),
                                               std::move(aResponder));
                              } };
  firefly::CurlClient http{ executor, {} };
  std::string url;

  void setup() override
  {
    CHECK_TRUE(server.Start().has_value());
    url = "http://127.0.0.1:" + std::to_string(server.Port());
  }

  // Calls the stand-in directly, for example its path /control.
  void CallStandIn(const std::string& aMethod,
                   const std::string& aPath,
                   const std::string& aBody)
  {
    HttpCall call;
    call.method = aMethod;
    call.url = url + aPath;
    call.body = aBody;
    std::optional<int> status;
    http.Fetch(call, [&](const auto& aResult) {
      status = aResult ? aResult->status : 0;
    });
    CHECK_TRUE(RunUntil(executor, [&] { return status.has_value(); }));
    LONGS_EQUAL(200, *status);
  }

  Appended Append(firefly::HttpLogClient & aLog, const std::string& aPayload)
  {
    std::optional<Appended> result;
    aLog.Append(StreamName("s"), { aPayload }, [&](const Appended& aResult) {
      result = aResult;
    });
    CHECK_TRUE(RunUntil(executor, [&] { return result.has_value(); }));
    return *result;
  }

  Batch Read(firefly::HttpLogClient & aLog, std::uint64_t aFrom)
  {
    std::optional<Batch> result;
    aLog.Read(StreamName("s"), LogOffset(aFrom), 100, [&](const Batch& aBatch) {
      result = aBatch;
    });
    CHECK_TRUE(RunUntil(executor, [&] { return result.has_value(); }));
    return *result;
  }
};

TEST(PlatformTest, RecordsAreReadInOrder)
{
  firefly::HttpLogClient log(http,
                             { .url = url + "/log", .streamPrefix = "p-" });
  const std::string binary("\0\xff\n\"", 4);
  CHECK(LogOffset(0) == *Append(log, binary));
  CHECK(LogOffset(1) == *Append(log, "b"));
  const Batch batch = Read(log, 0);
  CHECK_TRUE(batch.has_value());
  LONGS_EQUAL(2, batch->records.size());
  CHECK(binary == batch->records[0].payload);
  CHECK(LogOffset(2) == batch->end);
}

TEST(PlatformTest, LostResponseIsUnknownAndTheRecordIsStored)
{
  firefly::HttpLogClient log(http, { .url = url + "/log" });
  CallStandIn("POST", "/control", R"({"lose_next": 1})");
  const Appended lost = Append(log, "a");
  CHECK_FALSE(lost.has_value());
  CHECK(LogErrorKind::kUnknown == lost.error().kind);
  LONGS_EQUAL(1, Read(log, 0)->records.size());
}

TEST(PlatformTest, AppendDuringAnOutageHasNoEffect)
{
  firefly::HttpLogClient log(http, { .url = url + "/log" });
  CallStandIn("POST", "/control", R"({"outage": true})");
  const Appended refused = Append(log, "a");
  CHECK_FALSE(refused.has_value());
  CHECK(LogErrorKind::kUnavailable == refused.error().kind);
  CHECK(LogErrorKind::kUnavailable == Read(log, 0).error().kind);
  CallStandIn("POST", "/control", R"({"outage": false})");
  LONGS_EQUAL(0, Read(log, 0)->records.size());
}

TEST(PlatformTest, AppendToAnUnreachableLogHasNoEffect)
{
  firefly::HttpLogClient log(http, { .url = url + "/log" });
  server.Stop();
  const Appended refused = Append(log, "a");
  CHECK(LogErrorKind::kUnavailable == refused.error().kind);
}

TEST(PlatformTest, RecordsOlderThanRetentionAreTrimmed)
{
  firefly::HttpLogClient log(http, { .url = url + "/log" });
  CallStandIn("POST", "/control", R"({"retention_records": 2})");
  for (const char* payload : { "a", "b", "c" }) {
    CHECK_TRUE(Append(log, payload).has_value());
  }
  CHECK(LogErrorKind::kTrimmed == Read(log, 0).error().kind);
  CHECK(LogOffset(1) == Read(log, 1)->first);
}

TEST(PlatformTest, LongPollReadReturnsWhenARecordArrives)
{
  firefly::HttpLogClient log(http, { .url = url + "/log", .readWait = 25s });
  std::optional<Batch> result;
  log.Read(StreamName("s"), LogOffset(0), 10, [&](const Batch& aBatch) {
    result = aBatch;
  });
  CHECK_TRUE(Append(log, "a").has_value());
  CHECK_TRUE(RunUntil(
    executor, [&] { return result.has_value(); }, 20s));
  LONGS_EQUAL(1, result->value().records.size());
}

TEST(PlatformTest, HostListReflectsAddedAndDeletedHosts)
{
  CallStandIn(
    "PUT", "/hosts/h1", R"({"address": "10.0.0.1", "domain": "yard-1"})");
  CallStandIn(
    "PUT", "/hosts/h2", R"({"address": "10.0.0.2", "leaving": true})");
  CallStandIn("DELETE", "/hosts/h1", "");
  firefly::HostListClient list(http, { .url = url + "/hosts" });
  std::optional<std::vector<firefly::ListedHost>> hosts;
  list.Fetch([&](const auto& aResult) { hosts = aResult.value(); });
  CHECK_TRUE(RunUntil(executor, [&] { return hosts.has_value(); }));
  LONGS_EQUAL(1, hosts->size());
  CHECK(firefly::HostId("h2") == hosts->front().id);
  CHECK_TRUE(hosts->front().leaving);
}

TEST(PlatformTest, ReservationOverTheRateLimitReportsRetryAfter)
{
  CallStandIn("POST", "/control", R"({"loads_per_second": 0.001})");
  firefly::WeightStoreClient store(http, { .url = url + "/weights" });
  std::optional<tl::expected<void, firefly::PlatformError>> second;
  store.Reserve(firefly::ModelId("m"), [&](const auto& aFirst) {
    CHECK_TRUE(aFirst.has_value());
    store.Reserve(firefly::ModelId("m"),
                  [&](const auto& aResult) { second = aResult; });
  });
  CHECK_TRUE(RunUntil(executor, [&] { return second.has_value(); }));
  CHECK_FALSE(second->has_value());
  CHECK(PlatformErrorKind::kLimited == second->error().kind);
  CHECK(1s == second->error().retryAfter);
}

#include "platform/platform_records.h"

#include <string>

#include "core/random.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::BackendAddress;
using firefly::Random;
using firefly::RequestId;
using firefly::platform::PlatformRecords;
using firefly::policy::EngineRole;
using firefly::policy::RouteKind;

namespace {

const std::string kConfig =
  R"({"version":7,"routes":[)"
  R"({"name":"r1","host":"h.example","pathPrefix":"/a/","kind":"streaming",)"
  R"("timeoutMs":3000,"targetLatencyMs":500,"priority":1,"service":"s1",)"
  R"("maxAttempts":2,"sticky":true,"resumable":true,"targetGapMs":200},)"
  R"({"name":"r2","host":"h.example","pathPrefix":"/a/b/",)"
  R"("kind":"non_idempotent","timeoutMs":1000,"targetLatencyMs":100,)"
  R"("priority":2,"split":[{"service":"s1","weight":90},)"
  R"({"service":"s2","weight":10}],"maxAttempts":1}],)"
  R"("services":[{"name":"s1","healthPath":"/health","maxConns":370,)"
  R"("engine":{"slots":64,"kvTokens":468310,"stride":12}},)"
  R"({"name":"s2","maxConns":110}],)"
  R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
  R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

const std::string kEngine =
  R"({"service":"s1","address":"10.128.0.9:8080","zone":"z","version":"v1",)"
  R"("slots":64,"state":"ready","coldLeftMs":0,"stage":"decode",)"
  R"("models":[{"name":"m","version":1,"adapters":[]}],"seqNo":4,"born":17})";

} // namespace

TEST_GROUP(PlatformRecordsTest)
{
  const firefly::KeyHasher keyHasher = *firefly::KeyHasher::Create();
  PlatformRecords records{ keyHasher };
};

TEST(PlatformRecordsTest, DecodesARoutingTable)
{
  const auto table = records.DecodeRouting(kConfig);
  CHECK_TRUE(table.has_value());
  LONGS_EQUAL(7, table->Version().Value());
  const auto* route = table->Match("H.example", "/a/x");
  CHECK(route->kind == RouteKind::kResumableStream);
  CHECK(route->timeout == 3s);
  CHECK(route->patience == 2s);
  CHECK(route->gapObjective == 200ms);
  LONGS_EQUAL(1, route->rank);
  LONGS_EQUAL(2, route->maxAttempts);
  const auto* split = table->Match("h.example", "/a/b/c");
  CHECK(split->kind == RouteKind::kAtMostOnce);
  CHECK_FALSE(split->patience.has_value());
  POINTERS_EQUAL(nullptr, table->Match("h.example", "/b/"));
  POINTERS_EQUAL(nullptr, table->Match("other", "/a/x"));
  int second = 0;
  for (int i = 0; i < 1000; ++i) {
    const auto& to = split->TargetFor(RequestId(std::to_string(i)));
    second += to.Value() == "s2" ? 1 : 0;
  }
  CHECK_TRUE(second > 60 && second < 140);
  LONGS_EQUAL(
    12, table->Service(split->targets[0].service)->engine->tokensPerEvent);
}

TEST(PlatformRecordsTest, DecodesAnEngine)
{
  const auto record = records.DecodeBackend("i-1", kEngine);
  CHECK_TRUE(record.has_value());
  CHECK(record->role == EngineRole::kDecode);
  CHECK(record->address == BackendAddress("10.128.0.9:8080"));
  LONGS_EQUAL(17, record->startedAt);
  CHECK_FALSE(record->isLeaving);
}

TEST(PlatformRecordsTest, RejectsInvalidBackendRecords)
{
  CHECK_FALSE(records.DecodeBackend("i", "").has_value());
  CHECK_FALSE(records.DecodeBackend("i", "[1]").has_value());
  CHECK_FALSE(records.DecodeBackend("i", R"({"state":"ready"})").has_value());
  auto other = kEngine;
  other.replace(other.find("\"ready\""), 7, "\"happy\"");
  CHECK_FALSE(records.DecodeBackend("i", other).has_value());
  other = kEngine;
  other.replace(other.find("\"slots\":64"), 10, "\"slots\":\"6\"");
  CHECK_FALSE(records.DecodeBackend("i", other).has_value());
}

// Another writer may leave such entries beside those of the backend servers.
TEST(PlatformRecordsTest, RejectsBackendRecordsWithValuesOutOfRange)
{
  const auto decodes = [&](const std::string& aOld, const std::string& aNew) {
    auto odd = kEngine;
    odd.replace(odd.find(aOld), aOld.size(), aNew);
    return records.DecodeBackend("i", odd).has_value();
  };
  for (const auto* slots :
       { "-1", "0", "1.5", "4294967360", "1e400", "1e30" }) {
    CHECK_FALSE(decodes("\"slots\":64", std::string("\"slots\":") + slots));
  }
  for (const auto* born : { "-1", "1.5", "1e30", "99999999999999999999" }) {
    CHECK_FALSE(decodes("\"born\":17", std::string("\"born\":") + born));
  }
  const std::string address = "10.128.0.9:8080";
  for (const auto* odd : { "10.128.0.9:65536",
                           "10.128.0.9:99999999999999999999",
                           "10.128.0.9:-1",
                           "10.128.0.9:0",
                           "10.128.0.9",
                           "host:8080",
                           "" }) {
    CHECK_FALSE(decodes(address, odd));
  }
  CHECK_TRUE(decodes(address, "10.128.0.9:65535"));
}

TEST(PlatformRecordsTest, RejectsDeeplyNestedRecords)
{
  constexpr std::size_t kDepth = 100'000;
  const std::string open(kDepth, '[');
  const std::string close(kDepth, ']');
  auto odd = kEngine;
  odd.insert(1, "\"more\":" + open + close + ",");
  CHECK_FALSE(records.DecodeBackend("i", odd).has_value());
  CHECK_FALSE(records.DecodeBackend("i", open).has_value());
  CHECK_FALSE(records.DecodeRouting(open + close).has_value());
}

// The text goes into a log line.
TEST(PlatformRecordsTest, ErrorsOfLongRecordsAreShort)
{
  const auto odd = records.DecodeBackend("i", std::string(200'000, '9'));
  CHECK_FALSE(odd.has_value());
  CHECK(odd.error().message.size() <= 512);
}

TEST(PlatformRecordsTest, DecodesCustomersAndPublicRoutes)
{
  auto text = kConfig;
  text.insert(text.find("\"name\":\"r1\""), R"("public":true,)");
  text.insert(1,
              R"("tenants":[{"name":"anna","apiKeys":["k1","k2"]},)"
              R"({"name":"bert","apiKeys":[],"priority":2},)"
              R"({"name":"carl","apiKeys":["k3"],"priority":0}],)");
  const auto table = records.DecodeRouting(text);
  CHECK_TRUE(table.has_value());
  LONGS_EQUAL(3, table->CustomerCount());
  LONGS_EQUAL(3, table->KeyCount());
  const auto* anna = table->FindCustomer(keyHasher.Hash("k2"));
  STRCMP_EQUAL("anna", anna->name.Value().c_str());
  CHECK_FALSE(anna->rank.has_value());
  LONGS_EQUAL(0, table->FindCustomer(keyHasher.Hash("k3"))->rank.value());
  POINTERS_EQUAL(nullptr, table->FindCustomer(keyHasher.Hash("k4")));
  CHECK_TRUE(table->Match("h.example", "/a/x")->isPublic);
  CHECK_FALSE(table->Match("h.example", "/a/b/c")->isPublic);
}

// Guards against keys that apply although nobody asked for them, or that don't
// apply because the list is empty.
TEST(PlatformRecordsTest, HasCustomersOnlyIfTheConfigurationHasTenants)
{
  CHECK_FALSE(records.DecodeRouting(kConfig)->HasCustomers());
  auto empty = kConfig;
  empty.insert(1, R"("tenants":[],)");
  CHECK_TRUE(records.DecodeRouting(empty)->HasCustomers());
}

// Guards against a damaged list that opens all routes, and against a name that
// would add headers to a request.
TEST(PlatformRecordsTest, RejectsConfigurationsWithInvalidTenants)
{
  for (const auto* tenants : {
         R"(null)",
         R"({})",
         R"(7)",
         R"([7])",
         R"([{"apiKeys":["k1"]}])",
         R"([{"name":"anna"}])",
         R"([{"name":"anna","apiKeys":"k1"}])",
         R"([{"name":"anna","apiKeys":{"k":"k1"}}])",
         R"([{"name":"anna","apiKeys":[1]}])",
         R"([{"name":"","apiKeys":["k1"]}])",
         R"([{"name":"a\r\nX: 1","apiKeys":["k1"]}])",
         R"([{"name":"anna","apiKeys":["k1"],"priority":-1}])",
       }) {
    auto text = kConfig;
    text.insert(1, std::string(R"("tenants":)") + tenants + ",");
    CHECK_FALSE(records.DecodeRouting(text).has_value());
  }
  auto odd = kConfig;
  odd.insert(odd.find("\"name\":\"r1\""), R"("public":"no",)");
  CHECK_FALSE(records.DecodeRouting(odd).has_value());
}

// Guards against a key in the log: the parser's message quotes what it read
// last.
TEST(PlatformRecordsTest, ErrorsOfConfigurationsContainNoKeys)
{
  auto text = kConfig;
  text.insert(1,
              R"("tenants":[{"name":"anna","apiKeys":["secret","secret2"]}],)");
  for (std::size_t n = 0; n < text.size(); ++n) {
    const auto cut = records.DecodeRouting(text.substr(0, n));
    CHECK_FALSE(cut.has_value());
    CHECK(cut.error().message.find("secret") == std::string::npos);
    auto damaged = text;
    damaged[n] = '\x01';
    if (const auto table = records.DecodeRouting(damaged); !table) {
      CHECK(table.error().message.find("secret") == std::string::npos);
    }
  }
}

// Damaged records must be decoded or rejected without a crash. The seed makes a
// failure reproducible.
TEST(PlatformRecordsTest, SurvivesDamagedRecords)
{
  Random random(4);
  for (int i = 0; i < 5000; ++i) {
    auto engine = kEngine;
    auto config = kConfig;
    for (auto n = random.Below(3) + 1; n > 0; --n) {
      engine[random.Below(engine.size())] =
        static_cast<char>(random.Below(256));
      config[random.Below(config.size())] =
        static_cast<char>(random.Below(256));
    }
    (void)records.DecodeBackend("i-1", engine);
    (void)records.DecodeRouting(config);
  }
}

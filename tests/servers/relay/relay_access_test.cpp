// Tests API keys on the request path between a raw caller and scripted backend
// servers on loopback.

#include <string>
#include <vector>

#include "tests/helpers/raw_tcp_client.h"
#include "tests/helpers/stdout_capture.h"
#include "tests/servers/relay/relay_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::CustomerId;
using firefly::Duration;
using firefly::FindHeader;
using firefly::Instant;
using firefly::policy::Customer;
using firefly::policy::EngineRole;
using firefly::policy::RouteKind;
using firefly::testing::AfterReply;
using firefly::testing::HasHeader;
using firefly::testing::kStamp;
using firefly::testing::MakeAnswer;
using firefly::testing::MakeGet;
using firefly::testing::MakeRoute;
using firefly::testing::MakeStream;
using firefly::testing::RawTcpClient;
using firefly::testing::ScriptedReply;
using firefly::testing::ScriptedRequest;

namespace {

const std::string kAnnasKey = "Authorization: Token annas-key\r\n";
const std::string kPrompt = "Fireflyrouter-Model: m\r\n"
                            "Fireflyrouter-Token-Count: 9000,80\r\n"
                            "Fireflyrouter-Prompt-Prefix: a1:6000,b2:3000\r\n";

// Adds a relay for which revocation is strict.
struct RelayAccessFixture : firefly::testing::RelayFixture
{
  std::optional<Instant> confirmedAt;
  std::optional<Instant> logAwaySince;
  // How often the relay asked for a confirmation of its table.
  int confirmations = 0;
  firefly::Relay strictRelay{ { .self = firefly::HostId("strict"),
                                .incarnation = firefly::Incarnation(1),
                                .stalenessBound = 4500ms },
                              { .executor = &executor,
                                .dialect = &dialect,
                                .pool = &pool,
                                .backendRegistry = &backendRegistry,
                                .fleet = &fleet,
                                .routing = &routing,
                                .metrics = &metrics,
                                .tableConfirmedAt =
                                  [this] { return confirmedAt; },
                                .logAwaySince = [this] { return logAwaySince; },
                                .confirmTable = [this] { confirmations++; } } };
  firefly::CallerServer strictCallers{ executor, {}, strictRelay };

  void setup() override
  {
    RelayFixture::setup();
    CHECK_TRUE(strictCallers.Start().has_value());
  }

  [[nodiscard]] Customer MakeCustomer(const std::string& aName) const
  {
    return { .name = CustomerId(aName),
             .keys = { keyHasher.Hash(aName + "s-key") } };
  }

  void SetTable(std::uint64_t aVersion,
                std::optional<std::vector<Customer>> aCustomers)
  {
    auto open = MakeRoute("/open/", RouteKind::kIdempotent, 1);
    open.isPublic = true;
    routing.UpdateIfNewer(
      firefly::policy::RoutingTable(
        { .version = firefly::policy::RoutingVersion(aVersion),
          .routes = { open,
                      MakeRoute("/look/", RouteKind::kIdempotent, 2),
                      MakeRoute("/ask/", RouteKind::kStream, 1, "llm"),
                      MakeRoute(
                        "/resume/", RouteKind::kResumableStream, 2, "llm") },
          .services = { { .id = firefly::ServiceId("desk") },
                        { .id = firefly::ServiceId("llm"),
                          .engine = firefly::policy::EngineTraits{} } },
          .limits = {},
          .customers = std::move(aCustomers) }),
      "test");
  }

  void StartDesk()
  {
    first = StartBackend([](const ScriptedRequest&) -> ScriptedReply {
      return { MakeAnswer(200, "done", kStamp) };
    });
    Register("b1", *first);
  }

  // Returns all that the relay answers.
  std::string Ask(const std::string& aTarget,
                  const std::string& aHeaders = "",
                  bool aIsStrict = false)
  {
    RawTcpClient caller(executor, (aIsStrict ? strictCallers : callers).Port());
    caller.Send(MakeGet(aTarget, aHeaders));
    Await([&] { return caller.HasReceived("\r\n\r\n"); });
    Await(
      [&] { return relay.LiveRequests() + strictRelay.LiveRequests() == 0; });
    return caller.Received();
  }

  std::string Status(const std::string& aTarget,
                     const std::string& aHeaders = "",
                     bool aIsStrict = false)
  {
    return Ask(aTarget, aHeaders, aIsStrict).substr(9, 3);
  }

  // Checks that a request names the customer, once, and carries no key. An
  // empty name stands for none.
  static void CheckNames(const ScriptedRequest& aRequest,
                         const std::string& aCustomer)
  {
    CHECK_FALSE(HasHeader(aRequest, "Authorization"));
    std::vector<std::string> names;
    for (const auto& it : aRequest.head.headers) {
      CHECK(it.value.find("-key") == std::string::npos);
      if (firefly::SameHeaderName(it.name, "Fireflyrouter-Tenant")) {
        names.push_back(it.value);
      }
    }
    LONGS_EQUAL(aCustomer.empty() ? 0 : 1, names.size());
    if (!names.empty()) {
      STRCMP_EQUAL(aCustomer.c_str(), names[0].c_str());
    }
  }
};

} // namespace

TEST_GROUP_BASE(RelayAccessTest, RelayAccessFixture){};

// Guards against a request that runs without a key of a customer.
TEST(RelayAccessTest, AnswersUnauthenticatedWithoutAKnownKey)
{
  StartDesk();
  SetTable(1, std::vector{ MakeCustomer("anna") });
  for (const std::string headers :
       { "",
         "Authorization: Token berts-key\r\n",
         "Authorization: Token\r\n",
         "Authorization: Bearer annas-key\r\n",
         "Authorization: Token annas-key\r\nauthorization: Token annas-key\r\n",
         "Fireflyrouter-Tenant: anna\r\n" }) {
    const auto answer = Ask("/look/1", headers);
    STRCMP_CONTAINS("HTTP/1.1 401 ", answer.c_str());
    STRCMP_CONTAINS("\r\nWWW-Authenticate: Token\r\n", answer.c_str());
    CHECK(answer.find("-key") == std::string::npos);
  }
  LONGS_EQUAL(0, first->Requests().size());
  STRCMP_EQUAL("200", Status("/look/1", kAnnasKey).c_str());
  CheckNames(first->Requests().at(0), "anna");
}

// Guards against a customer that passes for another one, by any spelling of the
// header.
TEST(RelayAccessTest, ReplacesTheCustomerThatTheCallerNamed)
{
  StartDesk();
  SetTable(1, std::vector{ MakeCustomer("anna"), MakeCustomer("bert") });
  const std::string spoofed = "fireflyrouter-TENANT: bert\r\n"
                              "Fireflyrouter-Tenant: bert\r\n";
  Ask("/look/1", spoofed + kAnnasKey);
  Ask("/look/1",
      spoofed + kAnnasKey +
        "Connection: Fireflyrouter-Tenant, Authorization\r\n");
  Ask("/open/1", spoofed);
  CheckNames(first->Requests().at(0), "anna");
  CheckNames(first->Requests().at(1), "anna");
  CheckNames(first->Requests().at(2), "");
}

// Guards against a public route that needs a key, forwards it, or does not name
// its customer.
TEST(RelayAccessTest, NamesTheCustomerOnAPublicRouteIfItIsKnown)
{
  StartDesk();
  SetTable(1, std::vector{ MakeCustomer("anna") });
  STRCMP_EQUAL("200", Status("/open/1").c_str());
  STRCMP_EQUAL("200", Status("/open/1", kAnnasKey).c_str());
  STRCMP_EQUAL("200",
               Status("/open/1", "Authorization: Token berts-key\r\n").c_str());
  STRCMP_EQUAL("200", Status("/open/1", "Authorization: -key\r\n").c_str());
  CheckNames(first->Requests().at(0), "");
  CheckNames(first->Requests().at(1), "anna");
  CheckNames(first->Requests().at(2), "");
  CheckNames(first->Requests().at(3), "");
}

// Guards against a prefill call or a decode call that lacks the customer or
// carries the key.
TEST(RelayAccessTest, NamesTheCustomerOnPrefillAndDecodeCalls)
{
  first = StartBackend([](const ScriptedRequest&) -> ScriptedReply {
    return { MakeAnswer(200, R"({"kvHandle":"ab12"})") };
  });
  second = StartBackend([](const ScriptedRequest&) -> ScriptedReply {
    return { MakeStream("id: 1\ndata: a\n\n", true) };
  });
  Register("p1", *first, EngineRole::kPrefill);
  Register("d1", *second, EngineRole::kDecode);
  SetTable(1, std::vector{ MakeCustomer("anna") });
  Ask("/ask/1", kAnnasKey + kPrompt);
  CHECK(FindHeader(first->Requests().at(0).head.headers,
                   "Fireflyrouter-Stage") == "prefill");
  CheckNames(first->Requests().at(0), "anna");
  CheckNames(second->Requests().at(0), "anna");
}

// Guards against a resumed stream or a retry that lacks the customer or carries
// the key.
TEST(RelayAccessTest, NamesTheCustomerOnResumedStreamsAndRetries)
{
  const auto script = [](const ScriptedRequest& aRequest) -> ScriptedReply {
    if (HasHeader(aRequest, "Last-Event-Id")) {
      return { MakeStream("id: 2\ndata: b\n\n", true) };
    }
    return { MakeStream("id: 1\ndata: a\n\nid: 2\nda", false),
             AfterReply::kClose };
  };
  first = StartBackend(script);
  second = StartBackend(script);
  Register("e1", *first, EngineRole::kDecode);
  Register("e2", *second, EngineRole::kDecode);
  SetTable(1, std::vector{ MakeCustomer("anna") });
  Ask("/resume/1", kAnnasKey + kPrompt);
  LONGS_EQUAL(2, first->Requests().size() + second->Requests().size());
  for (const auto* backend : { first.get(), second.get() }) {
    for (const auto& it : backend->Requests()) {
      CheckNames(it, "anna");
    }
  }
}

// Guards against a table change that does not apply to the next request: a
// removed key that is still accepted, or a new one that is not.
TEST(RelayAccessTest, AppliesKeysOfANewTableToTheNextRequest)
{
  StartDesk();
  SetTable(1, std::vector{ MakeCustomer("anna") });
  const std::string bertsKey = "Authorization: Token berts-key\r\n";
  STRCMP_EQUAL("200", Status("/look/1", kAnnasKey).c_str());
  STRCMP_EQUAL("401", Status("/look/1", bertsKey).c_str());
  SetTable(2, std::vector{ MakeCustomer("bert") });
  STRCMP_EQUAL("401", Status("/look/1", kAnnasKey).c_str());
  STRCMP_EQUAL("200", Status("/look/1", bertsKey).c_str());
  LONGS_EQUAL(2, first->Requests().size());
}

// Guards against a final 401 from a relay that does not know the keys yet.
TEST(RelayAccessTest, AnswersNotReadyToAllRequestsWithoutATable)
{
  for (const auto& headers : { std::string(), kAnnasKey }) {
    const auto answer = Ask("/look/1", headers);
    STRCMP_CONTAINS("HTTP/1.1 503 ", answer.c_str());
    STRCMP_CONTAINS("\r\nRetry-After: ", answer.c_str());
  }
}

// Guards against requests that run with a revoked key while the relay can't
// know that it was revoked.
TEST(RelayAccessTest, AcceptsKeysOnlyWithAConfirmedTableIfRevocationIsStrict)
{
  StartDesk();
  SetTable(1, std::vector{ MakeCustomer("anna") });
  const std::string bertsKey = "Authorization: Token berts-key\r\n";
  for (const auto age : { 0s, 5s }) {
    if (age > 0s) {
      confirmedAt = executor.Now() - age;
    }
    const auto answer = Ask("/look/1", kAnnasKey, true);
    STRCMP_CONTAINS("HTTP/1.1 503 ", answer.c_str());
    STRCMP_CONTAINS("\r\nRetry-After: ", answer.c_str());
    STRCMP_EQUAL("503", Status("/look/1", bertsKey, true).c_str());
    STRCMP_EQUAL("503", Status("/look/1", "", true).c_str());
    STRCMP_EQUAL("200", Status("/open/1", kAnnasKey, true).c_str());
    CheckNames(first->Requests().back(), "");
  }
  LONGS_EQUAL(2, first->Requests().size());
  CHECK_TRUE(strictRelay.ConfirmationAge() >= Duration(5s));
  confirmedAt = executor.Now();
  STRCMP_EQUAL("200", Status("/look/1", kAnnasKey, true).c_str());
  STRCMP_EQUAL("401", Status("/look/1", bertsKey, true).c_str());
  CheckNames(first->Requests().back(), "anna");
}

// Guards against a final refusal out of a table that a newer one may have
// replaced without this relay knowing it.
TEST(RelayAccessTest, RefusesForGoodOnlyWithATableThatIsKnownToBeInForce)
{
  StartDesk();
  SetTable(1, std::vector{ MakeCustomer("anna") });
  const std::string bertsKey = "Authorization: Token berts-key\r\n";
  for (const auto age : { 0s, 60s }) {
    if (age > 0s) {
      confirmedAt = executor.Now() - age;
    }
    const auto answer = Ask("/nowhere/1", kAnnasKey, true);
    STRCMP_CONTAINS("HTTP/1.1 503 ", answer.c_str());
    STRCMP_CONTAINS("\r\nRetry-After: ", answer.c_str());
    STRCMP_EQUAL("503", Status("/look/1", "", true).c_str());
    STRCMP_EQUAL("503", Status("/look/1", bertsKey + bertsKey, true).c_str());
  }
  LONGS_EQUAL(6, confirmations);
  confirmedAt = executor.Now();
  STRCMP_EQUAL("404", Status("/nowhere/1", kAnnasKey, true).c_str());
  STRCMP_EQUAL("401", Status("/look/1", "", true).c_str());
  STRCMP_EQUAL("401", Status("/look/1", bertsKey + bertsKey, true).c_str());
}

// Guards against callers that try again for as long as the log is away,
// although nobody can have added the route.
TEST(RelayAccessTest, RefusesForGoodWhileNoHostCanReadTheLog)
{
  SetTable(1, std::nullopt);
  confirmedAt = executor.Now() - 60s;
  logAwaySince = executor.Now() - 59s;
  STRCMP_EQUAL("404", Status("/nowhere/1", "", true).c_str());
  // Changes before the log went away may have been missed.
  logAwaySince = executor.Now() - 50s;
  STRCMP_EQUAL("503", Status("/nowhere/1", "", true).c_str());
}

// Guards against changed headers in a deployment whose table has no customers.
TEST(RelayAccessTest, ForwardsBothHeadersWithoutCustomersInTheTable)
{
  StartDesk();
  SetTable(1, {});
  STRCMP_EQUAL(
    "200",
    Status("/look/1", kAnnasKey + "Fireflyrouter-Tenant: bert\r\n", true)
      .c_str());
  const auto& headers = first->Requests().at(0).head.headers;
  CHECK(FindHeader(headers, "Authorization") == "Token annas-key");
  CHECK(FindHeader(headers, "Fireflyrouter-Tenant") == "bert");
  CHECK_TRUE(metrics.accessDecisions.Series().empty());
}

// Guards against a customer's priority that has no effect on its requests.
TEST(RelayAccessTest, TheCustomersPriorityTakesPrecedenceOverTheRoutes)
{
  first = StartBackend([](const ScriptedRequest&) -> ScriptedReply {
    return { MakeStream("id: 1\ndata: a\n\n", true) };
  });
  Register("e1", *first, EngineRole::kMixed);
  auto anna = MakeCustomer("anna");
  anna.rank = 2;
  SetTable(1, std::vector{ anna, MakeCustomer("bert") });
  const std::string bertsKey = "Authorization: Token berts-key\r\n";
  // Until the engine's pace is known, the prompt counts as late, which hides
  // priorities.
  Ask("/ask/1", bertsKey + kPrompt);
  Ask("/ask/1", kAnnasKey + kPrompt);
  Ask("/ask/1", bertsKey + kPrompt);
  const auto priority = [&](std::size_t aIndex) {
    return std::stoi(
      std::string(FindHeader(first->Requests().at(aIndex).head.headers,
                             "Fireflyrouter-Request-Priority")));
  };
  CHECK_TRUE(priority(1) >= 6 && priority(1) <= 8);
  CHECK_TRUE(priority(2) <= 2);
}

// Guards against a key in a log line or metric, and against a rejected request
// whose reason operators can't find.
TEST(RelayAccessTest, LogsReasonsButNoKeys)
{
  StartDesk();
  SetTable(17, std::vector{ MakeCustomer("anna") });
  const std::string bertsKey = "Authorization: Token berts-key\r\n";
  std::string lines;
  {
    const firefly::testing::StdoutCapture capture;
    firefly::StartLog({ .level = firefly::LogLevel::kDebug,
                        .layout = firefly::LogLayout::kText });
    Ask("/look/1", kAnnasKey);
    Ask("/look/1", bertsKey);
    Ask("/look/1", "Authorization: Token berts-key\r\n" + bertsKey);
    Ask("/open/1", bertsKey);
    Ask("/look/1", kAnnasKey, true);
    Ask("/nowhere/1");
    confirmedAt = executor.Now();
    Ask("/look/1", kAnnasKey, true);
    confirmedAt = executor.Now() - 60s;
    Ask("/look/1", kAnnasKey, true);
    lines = capture.Text();
    firefly::StartLog({ .level = firefly::LogLevel::kError,
                        .layout = firefly::LogLayout::kText });
  }
  CHECK(lines.find("-key") == std::string::npos);
  CHECK(registry.Expose().find("-key") == std::string::npos);
  for (const auto* text :
       { "customer=anna",
         "status=401 why=\"unknown key\" table=17 source=test",
         "why=\"no route matches\" table=17 source=test",
         "why=\"malformed key\"",
         "status=503 why=\"routing table not confirmed\"",
         "keys not accepted: routing table not confirmed",
         "keys accepted: routing table confirmed",
         "age_ms=6000" }) {
    STRCMP_CONTAINS(text, lines.c_str());
  }
}

// Guards against decisions that operators can't see, and against one series for
// each of thousands of customers.
TEST(RelayAccessTest, CountsDecisionsAndABoundedNumberOfCustomers)
{
  StartDesk();
  SetTable(1, std::vector{ MakeCustomer("anna") });
  Ask("/look/1", kAnnasKey);
  Ask("/look/1");
  Ask("/open/1");
  const auto decisions = [&](const char* aDecision) {
    return metrics.accessDecisions.With({ aDecision }).Value();
  };
  DOUBLES_EQUAL(1, decisions("admitted"), 0);
  DOUBLES_EQUAL(1, decisions("admitted without customer"), 0);
  DOUBLES_EQUAL(1, decisions("no key"), 0);
  DOUBLES_EQUAL(1, metrics.customerRequests.With({ "anna" }).Value(), 0);
  for (int i = 0; i < 2000; ++i) {
    metrics.customerRequests.With({ std::to_string(i) }).Add();
  }
  CHECK_TRUE(metrics.customerRequests.Series().size() <= 129);
}

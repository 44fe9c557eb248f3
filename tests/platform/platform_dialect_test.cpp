#include "platform/platform_dialect.h"

#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "core/random.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::AnswerKind;
using firefly::AttemptTerms;
using firefly::BackendId;
using firefly::CallerRequest;
using firefly::Duration;
using firefly::FencingNumber;
using firefly::HostId;
using firefly::HttpHeaders;
using firefly::KvCacheRef;
using firefly::MessageHead;
using firefly::OwnAnswerKind;
using firefly::Random;
using firefly::RelayRequest;
using firefly::RequestId;
using firefly::ResponseMatch;
using firefly::platform::PlatformDialect;
using firefly::policy::AbsentCredentials;
using firefly::policy::KeyDigest;
using firefly::policy::MalformedCredentials;

namespace {

CallerRequest
MakePromptRequest()
{
  return { .head = { .method = "POST",
                     .target = "/ask/one?way=2",
                     .headers = { { "Host", "desk.example:8080" },
                                  { "Fireflyrouter-Request-Id", "r-17" },
                                  { "fireflyrouter-deadline-ms", "2500" },
                                  { "Fireflyrouter-Model", "m" },
                                  { "Fireflyrouter-Token-Count", "900,40" },
                                  { "Fireflyrouter-Prompt-Prefix",
                                    "a1:500,ff:300,b2:100" },
                                  { "Last-Event-Id", "12" },
                                  { "Connection", "x-hop" },
                                  { "X-Hop", "1" },
                                  { "X-Kept", "2" } } },
           .body = "question",
           .peer = "127.0.0.9" };
}

bool
HasLine(const std::string& aBytes, std::string_view aLine)
{
  return aBytes.find("\r\n" + std::string(aLine) + "\r\n") != std::string::npos;
}

bool
HasHeader(const std::string& aBytes, std::string_view aHeader)
{
  return aBytes.find("\r\n" + std::string(aHeader) + ":") != std::string::npos;
}

} // namespace

TEST_GROUP(PlatformDialectTest)
{
  const firefly::KeyHasher keyHasher = *firefly::KeyHasher::Create();
  PlatformDialect dialect{ keyHasher };

  RelayRequest Read(CallerRequest aRequest)
  {
    auto request = dialect.ReadRequest(std::move(aRequest));
    CHECK_TRUE(request.has_value());
    return std::move(*request);
  }

  std::string Send(const AttemptTerms& aTerms)
  {
    return dialect.ComposeRequest(Read(MakePromptRequest()), aTerms);
  }
};

TEST(PlatformDialectTest, DecodesAPromptRequest)
{
  const auto request = Read(MakePromptRequest());
  STRCMP_EQUAL("r-17", request.id.Value().c_str());
  STRCMP_EQUAL("desk.example", request.host.c_str());
  STRCMP_EQUAL("/ask/one", request.path.c_str());
  STRCMP_EQUAL("/ask/one?way=2", request.target.c_str());
  STRCMP_EQUAL("12", request.lastEventId.c_str());
  STRCMP_EQUAL("question", request.body->c_str());
  CHECK_TRUE(request.callerTimeout == Duration(2500ms));
  CHECK_TRUE(request.prompt.has_value());
  LONGS_EQUAL(900, request.prompt->promptTokens.Value());
  LONGS_EQUAL(40, request.prompt->maxOutputTokens.Value());
  // The last part belongs to this request alone and is not shared.
  LONGS_EQUAL(2, request.sharedParts.size());
  LONGS_EQUAL(0xff, request.sharedParts[1].hash);
  LONGS_EQUAL(300, request.sharedParts[1].tokens.Value());
}

TEST(PlatformDialectTest, RejectsUnusableIdsAndTargets)
{
  for (const auto* id : { "", "two words", "bell\a" }) {
    auto request = MakePromptRequest();
    request.head.headers[1].value = id;
    CHECK_FALSE(dialect.ReadRequest(std::move(request)).has_value());
  }
  auto request = MakePromptRequest();
  request.head.headers[1].value = std::string(129, 'a');
  CHECK_FALSE(dialect.ReadRequest(std::move(request)).has_value());
  request = MakePromptRequest();
  request.head.target = "http://desk.example/ask";
  CHECK_FALSE(dialect.ReadRequest(std::move(request)).has_value());
}

TEST(PlatformDialectTest, RemovesHeadersThatOnlyTheSystemMaySet)
{
  auto request = MakePromptRequest();
  for (const auto* name : { "fireflyrouter-expect-instance",
                            "Fireflyrouter-Stage",
                            "Fireflyrouter-Kv-Source",
                            "Fireflyrouter-Kv-Hold",
                            "Fireflyrouter-Kv-Backup",
                            "KV-FETCH",
                            "Fireflyrouter-Pin-Ms",
                            "Fireflyrouter-Request-Priority" }) {
    request.head.headers.push_back({ name, "forged" });
  }
  const auto bytes =
    dialect.ComposeRequest(Read(std::move(request)),
                           { .backend = BackendId("i-1"), .timeLeft = 700ms });
  CHECK_TRUE(bytes.find("forged") == std::string::npos);
  CHECK_TRUE(HasLine(bytes, "Fireflyrouter-Expect-Instance: i-1"));
  CHECK_TRUE(HasLine(bytes, "Fireflyrouter-Deadline-Ms: 700"));
  CHECK_TRUE(HasLine(bytes, "X-Kept: 2"));
  CHECK_FALSE(HasHeader(bytes, "X-Hop"));
  CHECK_TRUE(HasLine(bytes, "Content-Length: 8"));
  CHECK_TRUE(bytes.ends_with("\r\n\r\n"));
}

TEST(PlatformDialectTest, SendsOnlyTheHeadersThatAnAttemptNeeds)
{
  const auto plain = Send({ .backend = BackendId("i-1"), .timeLeft = 1s });
  for (const auto* name : { "Fireflyrouter-Stage",
                            "Fireflyrouter-Kv-Source",
                            "Kv-Fetch",
                            "Last-Event-Id",
                            "Fireflyrouter-Request-Priority" }) {
    CHECK_FALSE(HasHeader(plain, name));
  }
  const auto prompt = Send({ .backend = BackendId("i-1"),
                             .timeLeft = 1s,
                             .enginePriority = 4,
                             .promptOnly = true,
                             .copyFrom = "10.0.0.3:80" });
  CHECK_TRUE(HasLine(prompt, "Fireflyrouter-Stage: prefill"));
  CHECK_TRUE(HasLine(prompt, "Fireflyrouter-Request-Priority: 4"));
  CHECK_TRUE(HasLine(prompt, "Kv-Fetch: 10.0.0.3:80"));
  const auto output =
    Send({ .backend = BackendId("i-2"),
           .timeLeft = 1s,
           .resumeAfter = "12",
           .kvCache = KvCacheRef{ .address = "10.0.0.4:80", .handle = "h" } });
  CHECK_TRUE(HasLine(output, "Last-Event-Id: 12"));
  CHECK_TRUE(HasLine(output, "Fireflyrouter-Kv-Source: 10.0.0.4:80/h"));
}

// Guards against a key or a forged customer that reaches a backend server,
// under any spelling of the headers and in any kind of attempt.
TEST(PlatformDialectTest, ReplacesKeysByTheNameOfTheCustomer)
{
  auto request = MakePromptRequest();
  for (const auto* name : { "Authorization",
                            "authorization",
                            "AUTHORIZATION",
                            "Fireflyrouter-Tenant",
                            "fireflyrouter-tenant" }) {
    request.head.headers.push_back({ name, "Token secret" });
  }
  const auto read = Read(std::move(request));
  AttemptTerms terms{ .backend = BackendId("i-1"), .timeLeft = 1s };
  const auto asBefore = dialect.ComposeRequest(read, terms);
  CHECK_TRUE(HasLine(asBefore, "AUTHORIZATION: Token secret"));
  CHECK_TRUE(HasLine(asBefore, "fireflyrouter-tenant: Token secret"));
  terms.hidesKeys = true;
  for (const auto isPrefill : { false, true }) {
    terms.promptOnly = isPrefill;
    terms.resumeAfter = isPrefill ? "" : "12";
    terms.customer.reset();
    const auto unnamed = dialect.ComposeRequest(read, terms);
    CHECK(unnamed.find("secret") == std::string::npos);
    CHECK_FALSE(HasHeader(unnamed, "Fireflyrouter-Tenant"));
    terms.customer = firefly::CustomerId("anna");
    const auto named = dialect.ComposeRequest(read, terms);
    CHECK(named.find("secret") == std::string::npos);
    CHECK_TRUE(HasLine(named, "Fireflyrouter-Tenant: anna"));
    CHECK_TRUE(HasLine(named, "X-Kept: 2"));
  }
}

// Guards against credentials that are taken for a key although they are none,
// and against a key that is not recognized.
TEST(PlatformDialectTest, ReadsOneKeyOfTheTokenScheme)
{
  const auto read = [&](const std::vector<std::string>& aValues) {
    auto request = MakePromptRequest();
    for (const auto& it : aValues) {
      request.head.headers.push_back({ "authorization", it });
    }
    return Read(std::move(request)).credentials;
  };
  const auto isMalformed = [&](const std::vector<std::string>& aValues) {
    return std::holds_alternative<MalformedCredentials>(read(aValues));
  };
  CHECK_TRUE(std::holds_alternative<AbsentCredentials>(read({})));
  const auto key = keyHasher.Hash("k1");
  for (const auto* value : { "Token k1", "token k1", "Token   k1 " }) {
    const auto credentials = read({ value });
    CHECK_TRUE(std::holds_alternative<KeyDigest>(credentials));
    CHECK(std::get<KeyDigest>(credentials) == key);
  }
  for (const auto* value :
       { "Token k1, Token k2", "Token k1 k2", "Token K1" }) {
    CHECK_FALSE(std::get<KeyDigest>(read({ value })) == key);
  }
  for (const auto* value : { "",
                             " ",
                             "k1",
                             "Token",
                             "Token ",
                             "Tokenk1",
                             "Bearer k1",
                             "Token\tk1" }) {
    CHECK_TRUE(isMalformed({ value }));
  }
  CHECK_TRUE(isMalformed({ "Token k1", "Token k1" }));
  CHECK_TRUE(isMalformed({ "Token k1", "" }));
  CHECK_TRUE(isMalformed({ "Token " + std::string(1025, 'k') }));
  CHECK_FALSE(isMalformed({ "Token " + std::string(1024, 'k') }));
}

TEST(PlatformDialectTest, ClassifiesAnswers)
{
  const HttpHeaders stamped{ { "Fireflyrouter-Response-Stamp", "s" } };
  const auto kind = [&](int aStatus, HttpHeaders aHeaders) {
    return dialect.Classify(
      { .status = aStatus, .headers = std::move(aHeaders) });
  };
  CHECK_TRUE(kind(200, stamped) == AnswerKind::kSuccess);
  CHECK_TRUE(kind(500, stamped) == AnswerKind::kFailure);
  // Only the header and status 421 promise that the request was not run.
  CHECK_TRUE(kind(503, stamped) == AnswerKind::kFailure);
  CHECK_TRUE(kind(503, { { "Fireflyrouter-Not-Run", "busy" } }) ==
             AnswerKind::kNotRun);
  CHECK_TRUE(kind(421, {}) == AnswerKind::kNotRun);
  CHECK_TRUE(kind(200, {}) == AnswerKind::kForeign);
  CHECK_TRUE(kind(503, {}) == AnswerKind::kForeign);
  CHECK_TRUE(kind(200,
                  { { "Fireflyrouter-Response-Stamp", "s" },
                    { "Content-Encoding", "gzip" } }) == AnswerKind::kForeign);
}

TEST(PlatformDialectTest, RecognizesAnAnswerToAnotherRequest)
{
  const MessageHead late{ .headers = {
                            { "Fireflyrouter-Request-Id", "r-16" } } };
  CHECK_TRUE(dialect.MatchAnswer(late, RequestId("r-17")) ==
             ResponseMatch::kOtherCall);
  CHECK_TRUE(dialect.MatchAnswer(late, RequestId("r-16")) ==
             ResponseMatch::kThisCall);
  CHECK_TRUE(dialect.MatchAnswer({}, RequestId("r-16")) ==
             ResponseMatch::kUnidentified);
}

TEST(PlatformDialectTest, DecodesAndReleasesAKvCacheReference)
{
  const MessageHead head{ .status = 200 };
  const auto kvCache =
    dialect.ReadPrefillAnswer(head, R"({"kvHandle":"h-1"})", "10.0.0.3:80");
  CHECK_TRUE(kvCache.has_value());
  STRCMP_EQUAL("h-1", kvCache->handle.c_str());
  STRCMP_EQUAL("10.0.0.3:80", kvCache->address.c_str());
  const auto release = dialect.ComposeKvCacheRelease(*kvCache);
  CHECK_TRUE(release.starts_with("DELETE /-/kv-handle/h-1 HTTP/1.1\r\n"));
  CHECK_TRUE(HasLine(release, "Host: 10.0.0.3:80"));
  for (const auto* body : { "", "{", "{}", R"({"kvHandle":7})", "[]" }) {
    CHECK_FALSE(dialect.ReadPrefillAnswer(head, body, "a").has_value());
  }
  const MessageHead failed{ .status = 500 };
  CHECK_FALSE(
    dialect.ReadPrefillAnswer(failed, R"({"kvHandle":"h"})", "a").has_value());
}

TEST(PlatformDialectTest, SendsHolderAndFenceInAnOrder)
{
  const auto order =
    dialect.ComposeOrder({ .backend = BackendId("i-1"),
                           .address = "10.0.0.3:80",
                           .role = firefly::policy::EngineRole::kPrefill,
                           .holder = HostId("host-2"),
                           .fence = FencingNumber(0) });
  CHECK_TRUE(order.starts_with("POST /-/order HTTP/1.1\r\n"));
  CHECK_TRUE(HasLine(order, "Fireflyrouter-Expect-Instance: i-1"));
  CHECK_TRUE(order.find(R"("holder":"host-2")") != std::string::npos);
  CHECK_TRUE(order.find(R"("stage":"prefill")") != std::string::npos);
  // The fencing numbers of the platform start at one.
  CHECK_TRUE(order.find(R"("fence":1)") != std::string::npos);
}

TEST(PlatformDialectTest, UsesStatusesForNotRunOnlyIfARequestDidNotRun)
{
  const auto status = [this](OwnAnswerKind aKind) {
    return dialect.Compose(aKind, RequestId("r"), "why", 2s).status;
  };
  LONGS_EQUAL(400, status(OwnAnswerKind::kMalformed));
  LONGS_EQUAL(401, status(OwnAnswerKind::kUnauthenticated));
  LONGS_EQUAL(404, status(OwnAnswerKind::kNoRoute));
  LONGS_EQUAL(503, status(OwnAnswerKind::kNotReady));
  LONGS_EQUAL(503, status(OwnAnswerKind::kRefused));
  LONGS_EQUAL(504, status(OwnAnswerKind::kTimedOut));
  LONGS_EQUAL(502, status(OwnAnswerKind::kFailed));
  const auto retry = [this](OwnAnswerKind aKind) {
    const auto answer = dialect.Compose(aKind, RequestId("r"), "why", 1500ms);
    return std::string(firefly::FindHeader(answer.headers, "Retry-After"));
  };
  STRCMP_EQUAL("1.50", retry(OwnAnswerKind::kRefused).c_str());
  STRCMP_EQUAL("", retry(OwnAnswerKind::kFailed).c_str());
  STRCMP_EQUAL("", retry(OwnAnswerKind::kTimedOut).c_str());
}

// Arbitrary header values must result in a request or an error.
TEST(PlatformDialectTest, SurvivesDamagedHeaders)
{
  Random random(7);
  for (int n = 0; n < 20'000; ++n) {
    auto request = MakePromptRequest();
    auto& header =
      request.head.headers[random.Below(request.head.headers.size())];
    for (int change = 0; change < 3; ++change) {
      const auto at = random.Below(header.value.size() + 1);
      const auto letter = static_cast<char>(random.Below(256));
      if (random.Chance(0.3) && at < header.value.size()) {
        header.value.erase(at, 1 + random.Below(4));
      } else {
        header.value.insert(at, 1, letter);
      }
    }
    const auto read = dialect.ReadRequest(std::move(request));
    if (!read) {
      CHECK_FALSE(read.error().message.empty());
      continue;
    }
    for (const auto letter : read->id.Value()) {
      CHECK_TRUE(letter > ' ' && letter < '\x7f');
    }
  }
}

TEST(PlatformDialectTest, ReadsWhatAServerSaysOfItsAvailability)
{
  const auto read = [&](int aStatus, firefly::HttpHeaders aHeaders) {
    firefly::MessageHead head;
    head.status = aStatus;
    head.headers = std::move(aHeaders);
    return dialect.ReadAvailability(head);
  };
  CHECK_TRUE(read(200, { { "Server-Leaving", "1" } }).isLeaving);
  CHECK_FALSE(read(200, {}).isLeaving);
  CHECK(read(503, { { "Retry-After", "2" } }).wait == 2s);
  CHECK(read(503, { { "Retry-After", "0.25" } }).wait == 250ms);
  CHECK(read(503,
             { { "Retry-After", "Sun, 06 Nov 1994 08:49:40 GMT" },
               { "Date", "Sun, 06 Nov 1994 08:49:37 GMT" } })
          .wait == 3s);
  CHECK_FALSE(read(200, { { "Retry-After", "2" } }).wait.has_value());
  for (const auto* odd : { "",
                           "-1",
                           "soon",
                           "2s",
                           "nan",
                           "inf",
                           "1e5",
                           "Sun, 06 Nov 1994 08:49:37 GMT" }) {
    CHECK_FALSE(read(503, { { "Retry-After", odd } }).wait.has_value());
  }
  CHECK(
    read(503, { { "Retry-After", std::string(300, '9') } }).wait.value_or(0s) >=
    0s);
}

TEST(PlatformDialectTest, ReadsTheRateLimitThatAServerNames)
{
  const auto read = [&](int aStatus, firefly::HttpHeaders aHeaders) {
    firefly::MessageHead head;
    head.status = aStatus;
    head.headers = std::move(aHeaders);
    return dialect.ReadAvailability(head).rateLimit;
  };
  for (const int status : { 200, 503 }) {
    CHECK(read(status, { { "Server-Limit", "6.2" } }) ==
          firefly::policy::RequestRate(6.2));
  }
  CHECK(read(200, { { "server-limit", "0" } }) ==
        firefly::policy::RequestRate(0));
  CHECK_FALSE(read(200, {}).has_value());
  for (const auto* odd : { "", "-1", "nan", "inf", "6 a second", "0x10" }) {
    CHECK_FALSE(read(200, { { "Server-Limit", odd } }).has_value());
  }
}

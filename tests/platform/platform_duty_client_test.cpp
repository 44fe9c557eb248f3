#include "platform/platform_duty_client.h"

#include <memory>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using firefly::CustomerId;
using firefly::DomainId;
using firefly::DutyHolderId;
using firefly::DutyOutcome;
using firefly::DutyToken;
using firefly::FindHeader;
using firefly::HostId;
using firefly::HttpCall;
using firefly::HttpClient;
using firefly::HttpError;
using firefly::HttpErrorKind;
using firefly::HttpStreamHandlers;
using firefly::HttpTransfer;
using firefly::HttpTransferPtr;
using firefly::ServiceId;
using firefly::platform::PlatformDutyClient;
using firefly::policy::UsageWindow;
using nlohmann::json;

namespace {

// Records the last call and lets the test answer it.
class FakeHttpClient : public HttpClient
{
public:
  [[nodiscard]] HttpTransferPtr Stream(HttpCall aCall,
                                       HttpStreamHandlers aHandlers) override
  {
    class NullTransfer : public HttpTransfer
    {
      void Pause() override {}
      void Resume() override {}
    };
    call = std::move(aCall);
    handlers = std::move(aHandlers);
    return std::make_unique<NullTransfer>();
  }

  HttpCall call;
  HttpStreamHandlers handlers;
};

} // namespace

TEST_GROUP(PlatformDutyClientTest)
{
  FakeHttpClient http;
  PlatformDutyClient client{ http, { .url = "http://api:1" } };
  DutyHolderId holder{ .host = HostId("h1"), .token = DutyToken(7) };
  std::optional<DutyOutcome> outcome;

  void Report()
  {
    client.ReportUsage(holder,
                       { .window = UsageWindow(353445120),
                         .counts = { { CustomerId("hule930"), 412 },
                                     { CustomerId("fida11"), 11 } } },
                       [this](DutyOutcome aOutcome) { outcome = aOutcome; });
  }

  void Order(bool aIsSpot)
  {
    client.OrderServers(holder,
                        { .service = ServiceId("huvo11a"),
                          .domain = DomainId("gujarat-west-a"),
                          .servers = 6,
                          .isSpot = aIsSpot },
                        [this](DutyOutcome aOutcome) { outcome = aOutcome; });
  }

  DutyOutcome OutcomeOf(int aStatus)
  {
    Report();
    http.handlers.onHead(aStatus, {});
    http.handlers.onDone({});
    return *outcome;
  }
};

TEST(PlatformDutyClientTest, ComposesCalls)
{
  Report();
  STRCMP_EQUAL("http://api:1/usage", http.call.url.c_str());
  CHECK(FindHeader(http.call.headers, "Fireflyrouter-Duty-Holder") == "h1");
  CHECK(FindHeader(http.call.headers, "Fireflyrouter-Fence-Token") == "7");
  CHECK_TRUE(json::parse(http.call.body) == json::parse(R"({"window":353445120,
                             "counts":{"hule930":412,"fida11":11}})"));
  Order(false);
  STRCMP_EQUAL("http://api:1/scale", http.call.url.c_str());
  CHECK_TRUE(json::parse(http.call.body) ==
             json::parse(
               R"({"service":"huvo11a","zone":"gujarat-west-a","desired":6})"));
  Order(true);
  CHECK_TRUE(json::parse(http.call.body).at("spot").get<bool>());
}

// A window without requests is reported as well, with an empty object.
TEST(PlatformDutyClientTest, ReportsAnEmptyWindow)
{
  client.ReportUsage(
    holder, { .window = UsageWindow(1), .counts = {} }, [](DutyOutcome) {});
  STRCMP_EQUAL(R"({"counts":{},"window":1})", http.call.body.c_str());
}

// libcurl repeats a call whose pooled connection turns out to be dead; the
// repeat would be sent without a check of the lease.
TEST(PlatformDutyClientTest, SendsACallAtMostOnce)
{
  Report();
  CHECK_TRUE(http.call.freshConnection);
}

// An outcome that is taken for another one repeats a rejected call, or drops a
// report that may not have arrived.
TEST(PlatformDutyClientTest, TellsOutcomesApart)
{
  CHECK_TRUE(OutcomeOf(200) == DutyOutcome::kAnswered);
  CHECK_TRUE(OutcomeOf(409) == DutyOutcome::kRejectedForToken);
  CHECK_TRUE(OutcomeOf(429) == DutyOutcome::kTooManyCalls);
  CHECK_TRUE(OutcomeOf(400) == DutyOutcome::kInvalid);
  CHECK_TRUE(OutcomeOf(503) == DutyOutcome::kNoResponse);
  Order(false);
  http.handlers.onHead(409, {});
  http.handlers.onDone({});
  CHECK_TRUE(*outcome == DutyOutcome::kNoneAvailable);
  Report();
  http.handlers.onDone(tl::make_unexpected(
    HttpError{ .kind = HttpErrorKind::kTimeout, .message = "" }));
  CHECK_TRUE(*outcome == DutyOutcome::kNoResponse);
}

// Bookings through entries and ledgers. Each booking runs at most once despite
// failures, and a booking that is refused as "not-run" has not run.

#include "tests/process/deployment.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using firefly::HttpResult;
using firefly::testing::Deployment;
using firefly::testing::WaitFor;

namespace {

const std::string kBody = R"({"pitch": 7})";

HttpResult
Book(Deployment& aDeployment, int aHost, const std::string& aKey)
{
  return aDeployment.Http().SendRequest("POST",
                                        aDeployment.EntryUrl(aHost) +
                                          "/services/desk/book",
                                        kBody,
                                        { { "Idempotency-Key", aKey } });
}

// Returns how often the service ran the booking with that key.
int
RunCount(Deployment& aDeployment, const std::string& aKey)
{
  const auto counts = aDeployment.Http().SendRequest(
    "GET", aDeployment.ServiceUrl(0) + "/counts");
  const auto body = nlohmann::json::parse(counts.body, nullptr, false);
  return body.is_object() ? body["bookings"].value(aKey, 0) : -1;
}

void
SetFaults(Deployment& aDeployment,
          const std::string& aUrl,
          const std::string& aBody)
{
  LONGS_EQUAL(
    200,
    aDeployment.Http().SendRequest("POST", aUrl + "/control", aBody).status);
}

bool
BooksEventually(Deployment& aDeployment, int aHost, const std::string& aKey)
{
  return WaitFor([&] { return Book(aDeployment, aHost, aKey).status == 201; });
}

} // namespace

TEST_GROUP(BookingProcess)
{
  Deployment deployment{ { .hosts = 2, .engines = 1, .ledgers = true } };

  void setup() override
  {
    CHECK_TRUE(deployment.IsReady());
    CHECK_TRUE(BooksEventually(deployment, 0, "warm-up"));
  }
};

TEST(BookingProcess, RetryGetsTheStoredAnswerAtEachEntry)
{
  const auto first = Book(deployment, 0, "k-1");
  LONGS_EQUAL(201, first.status);
  for (int host = 0; host < 2; ++host) {
    const auto again = Book(deployment, host, "k-1");
    LONGS_EQUAL(201, again.status);
    STRCMP_EQUAL(first.body.c_str(), again.body.c_str());
  }
  LONGS_EQUAL(1, RunCount(deployment, "k-1"));
}

TEST(BookingProcess, RequestWithALostAnswerIsUnknownAndNotRunAgain)
{
  SetFaults(deployment, deployment.ServiceUrl(0), R"({"lose_next": 1})");
  const auto lost = Book(deployment, 0, "k-2");
  LONGS_EQUAL(502, lost.status);
  STRCMP_CONTAINS("\"execution\":\"unknown\"", lost.body.c_str());
  const auto again = Book(deployment, 1, "k-2");
  LONGS_EQUAL(409, again.status);
  STRCMP_CONTAINS("\"execution\":\"unknown\"", again.body.c_str());
  LONGS_EQUAL(1, RunCount(deployment, "k-2"));
}

TEST(BookingProcess, KeyOfAnotherRequestIsRefused)
{
  LONGS_EQUAL(201, Book(deployment, 0, "k-3").status);
  const auto other = deployment.Http().SendRequest(
    "POST",
    deployment.EntryUrl(0) + "/services/desk/book",
    R"({"pitch": 8})",
    { { "Idempotency-Key", "k-3" } });
  LONGS_EQUAL(422, other.status);
  LONGS_EQUAL(1, RunCount(deployment, "k-3"));
}

TEST(BookingProcess, LogOutageRefusesOnlyBookings)
{
  SetFaults(deployment, deployment.PlatformUrl(), R"({"outage": true})");
  const auto refused = Book(deployment, 0, "k-4");
  LONGS_EQUAL(503, refused.status);
  STRCMP_CONTAINS("\"execution\":\"not-run\"", refused.body.c_str());
  LONGS_EQUAL(0, RunCount(deployment, "k-4"));
  const auto lookup = deployment.Http().SendRequest(
    "POST", deployment.EntryUrl(0) + "/services/desk/lookup?stall=4");
  LONGS_EQUAL(200, lookup.status);
  const auto model = deployment.Http().SendRequest(
    "POST",
    deployment.EntryUrl(0) + "/v1/completions",
    firefly::testing::CompletionBody("prompt", 4, false));
  LONGS_EQUAL(200, model.status);
  SetFaults(deployment, deployment.PlatformUrl(), R"({"outage": false})");
  CHECK_TRUE(BooksEventually(deployment, 0, "k-4"));
  LONGS_EQUAL(1, RunCount(deployment, "k-4"));
}

TEST(BookingProcess, BookingRunsAtMostOnceAfterEntryAndLedgerAreKilled)
{
  SetFaults(deployment, deployment.ServiceUrl(0), R"({"delay_ms": 1500})");
  firefly::HttpCall call;
  call.method = "POST";
  call.url = deployment.EntryUrl(0) + "/services/desk/book";
  call.body = kBody;
  call.headers = { { "Idempotency-Key", "k-5" } };
  firefly::AsioExecutor executor;
  firefly::CurlClient client(executor, {});
  bool ended = false;
  client.Fetch(std::move(call), [&](const auto&) { ended = true; });
  const auto sent = [&] {
    executor.Context().poll();
    executor.Context().restart();
    return deployment.Metric(0, "firefly_backend_outstanding") >= 1;
  };
  CHECK_TRUE(WaitFor(sent));
  deployment.Entry(0).Kill();
  deployment.Ledger(0).Kill();
  CHECK_TRUE(WaitFor([&] { return RunCount(deployment, "k-5") == 1; }));
  // The killed entry held the permit, so no other entry may run the booking.
  const auto again = Book(deployment, 1, "k-5");
  LONGS_EQUAL(409, again.status);
  LONGS_EQUAL(1, RunCount(deployment, "k-5"));
  SetFaults(deployment, deployment.ServiceUrl(0), R"({"delay_ms": 0})");
  CHECK_TRUE(BooksEventually(deployment, 1, "k-6"));
}

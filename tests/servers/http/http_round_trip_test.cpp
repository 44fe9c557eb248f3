#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "servers/http/http_client.h"
#include "servers/http/http_server.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::AsioExecutor;
using firefly::CurlClient;
using firefly::HttpCall;
using firefly::HttpError;
using firefly::HttpErrorKind;
using firefly::HttpRequest;
using firefly::HttpResponderPtr;
using firefly::HttpResult;
using firefly::HttpServer;
using firefly::HttpStreamHandlers;
using firefly::HttpTransferPtr;

namespace {

constexpr auto kWaitLimit = 20s;
constexpr std::size_t kBodyLimit = 1000;

} // namespace

TEST_GROUP(HttpRoundTripTest)
{
  AsioExecutor executor;
  std::function<void(HttpRequest, HttpResponderPtr)> handler;
  HttpServer server{ executor,
                     { .maxBodyBytes = kBodyLimit },
                     [this](HttpRequest aRequest, HttpResponderPtr aResponder) {
                       handler(std::move(aRequest), std::move(aResponder));
                     } };
  CurlClient client{ executor, {} };

  void setup() override
  {
    CHECK_TRUE(server.Start().has_value());
  }

  std::string Url(const std::string& aPath)
  {
    return "http://127.0.0.1:" + std::to_string(server.Port()) + aPath;
  }

  void RunUntil(const std::function<bool()>& aCondition)
  {
    const auto end = executor.Now() + kWaitLimit;
    while (!aCondition() && executor.Now() < end) {
      executor.Context().run_one_for(100ms);
    }
    CHECK_TRUE(aCondition());
  }

  tl::expected<HttpResult, HttpError> Fetch(HttpCall aCall)
  {
    std::optional<tl::expected<HttpResult, HttpError>> result;
    client.Fetch(std::move(aCall), [&](auto aResult) { result = aResult; });
    RunUntil([&] { return result.has_value(); });
    return *result;
  }
};

TEST(HttpRoundTripTest, CompleteResponseIsReceived)
{
  handler = [](const HttpRequest& aRequest,
               const HttpResponderPtr& aResponder) {
    aResponder->Send({ .status = 201,
                       .contentType = "text/plain",
                       .headers = { { "X-Path", aRequest.path } },
                       .body = aRequest.method + aRequest.body });
  };
  const auto result =
    Fetch({ .method = "POST", .url = Url("/here?x=1"), .body = "hello" });
  CHECK_TRUE(result.has_value());
  LONGS_EQUAL(201, result->status);
  CHECK(result->body == "POSThello");
  CHECK(FindHeader(result->headers, "x-path") == "/here");
}

TEST(HttpRoundTripTest, OversizedBodyIsRejectedBeforeTheHandler)
{
  bool reached = false;
  handler = [&](const HttpRequest&, const HttpResponderPtr&) {
    reached = true;
  };
  const auto result = Fetch({ .method = "POST",
                              .url = Url("/"),
                              .body = std::string(kBodyLimit + 1, 'x') });
  CHECK_TRUE(result.has_value());
  LONGS_EQUAL(413, result->status);
  CHECK_FALSE(reached);
}

TEST(HttpRoundTripTest, RefusedConnectionIsReportedAsNotSent)
{
  const auto port = server.Port();
  server.Stop();
  const auto result =
    Fetch({ .url = "http://127.0.0.1:" + std::to_string(port) + "/" });
  CHECK_FALSE(result.has_value());
  CHECK(result.error().kind == HttpErrorKind::kNotSent);
}

TEST(HttpRoundTripTest, MissingResponseIsReportedAsTimeout)
{
  HttpResponderPtr heldResponder;
  handler = [&](const HttpRequest&, HttpResponderPtr aResponder) {
    heldResponder = std::move(aResponder);
  };
  const auto result = Fetch({ .url = Url("/"), .stallTimeout = 50ms });
  CHECK_FALSE(result.has_value());
  CHECK(result.error().kind == HttpErrorKind::kTimeout);
}

TEST(HttpRoundTripTest, PausedTransferDeliversNoDataUntilResumed)
{
  handler = [](const HttpRequest&, const HttpResponderPtr& aResponder) {
    aResponder->Begin(200, { { "Content-Type", "text/event-stream" } });
    aResponder->Write("one", {});
    aResponder->Write("two", {});
    aResponder->End();
  };
  std::string received;
  bool done = false;
  HttpTransferPtr transfer;
  HttpStreamHandlers handlers;
  handlers.onHead = [&](int, const auto&) { transfer->Pause(); };
  handlers.onBody = [&](std::string_view aBytes) { received += aBytes; };
  handlers.onDone = [&](auto) { done = true; };
  transfer = client.Stream({ .url = Url("/") }, std::move(handlers));
  executor.Context().run_for(100ms);
  CHECK(received.empty());
  CHECK_FALSE(done);
  transfer->Resume();
  RunUntil([&] { return done; });
  CHECK(received == "onetwo");
}

TEST(HttpRoundTripTest, AbortedStreamIsReportedAsLostConnection)
{
  handler = [](const HttpRequest&, const HttpResponderPtr& aResponder) {
    aResponder->Begin(200, {});
    aResponder->Write("one", [aResponder](bool) { aResponder->Abort(); });
  };
  const auto result = Fetch({ .url = Url("/") });
  CHECK_FALSE(result.has_value());
  CHECK(result.error().kind == HttpErrorKind::kConnectionLost);
}

TEST(HttpRoundTripTest, TransferCanBeDestroyedInItsOwnHandler)
{
  handler = [](const HttpRequest&, const HttpResponderPtr& aResponder) {
    aResponder->Begin(200, {});
    aResponder->Write("one", {});
    aResponder->End();
  };
  bool dropped = false;
  bool nextDone = false;
  HttpTransferPtr transfer;
  HttpTransferPtr next;
  HttpStreamHandlers handlers;
  handlers.onBody = [&](std::string_view) {
    transfer.reset();
    dropped = true;
    HttpStreamHandlers nextHandlers;
    nextHandlers.onDone = [&](auto aDone) { nextDone = aDone.has_value(); };
    next = client.Stream({ .url = Url("/") }, std::move(nextHandlers));
  };
  handlers.onDone = [](auto) { FAIL("destroyed transfer called onDone"); };
  transfer = client.Stream({ .url = Url("/") }, std::move(handlers));
  RunUntil([&] { return nextDone; });
  CHECK_TRUE(dropped);
}

// Requests beyond the budget would take the process out of memory.
TEST(HttpRoundTripTest, ARequestWithoutMemoryIsRefusedAsNotRun)
{
  HttpServer smallServer{
    executor,
    { .maxBodyBytes = kBodyLimit, .memoryBytes = 4 * kBodyLimit },
    [this](HttpRequest aRequest, HttpResponderPtr aResponder) {
      handler(std::move(aRequest), std::move(aResponder));
    }
  };
  CHECK_TRUE(smallServer.Start().has_value());
  const auto url = "http://127.0.0.1:" + std::to_string(smallServer.Port());
  HttpResponderPtr held;
  handler = [&](const HttpRequest&, HttpResponderPtr aResponder) {
    held = std::move(aResponder);
  };
  const std::string body(kBodyLimit, 'x');
  bool isFirstDone = false;
  client.Fetch({ .method = "POST", .url = url, .body = body },
               [&](const auto&) { isFirstDone = true; });
  RunUntil([&] { return held != nullptr; });
  const auto refused = Fetch({ .method = "POST", .url = url, .body = body });
  CHECK_TRUE(refused.has_value());
  LONGS_EQUAL(503, refused->status);
  CHECK(FindHeader(refused->headers, "retry-after") == "1");
  CHECK(refused->body.find(R"("execution":"not-run")") != std::string::npos);
  // The memory is free again once the first request is answered.
  held->Send({ .headers = {}, .body = "late" });
  held.reset();
  RunUntil([&] { return isFirstDone; });
  handler = [](const HttpRequest&, const HttpResponderPtr& aResponder) {
    aResponder->Send({ .headers = {}, .body = "ok" });
  };
  const auto served = Fetch({ .method = "POST", .url = url, .body = body });
  CHECK_TRUE(served.has_value());
  LONGS_EQUAL(200, served->status);
}

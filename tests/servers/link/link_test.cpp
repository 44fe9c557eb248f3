#include <optional>
#include <string>
#include <vector>

#include <asio/ip/tcp.hpp>

#include "servers/link/link_client.h"
#include "servers/link/link_server.h"
#include "tests/helpers/run_until.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::AsioExecutor;
using firefly::LinkClient;
using firefly::LinkError;
using firefly::LinkErrorKind;
using firefly::LinkServer;
using firefly::testing::RunUntil;

namespace {

using Result = tl::expected<std::string, LinkError>;

// A link server whose reply depends on the path: "/refuse" replies with status
// 409, "/late" stores the reply function for the test, and every other path
// echoes the body.
struct TestPeer
{
  explicit TestPeer(AsioExecutor& aExecutor)
    : server(aExecutor,
             { .maxBodyBytes = 3U << 20U },
             [this](const std::string& aPath,
                    std::string aBody,
                    LinkServer::Reply aReply) {
               Answer(aPath, std::move(aBody), std::move(aReply));
             })
  {
    started = server.Start().has_value();
  }

  void Answer(const std::string& aPath,
              std::string aBody,
              LinkServer::Reply aReply)
  {
    ++requests;
    if (aPath == "/late") {
      late.push_back(std::move(aReply));
    } else if (aPath == "/refuse") {
      aReply({ .status = 409, .body = "conflict" });
    } else {
      aReply({ .status = 200, .body = std::move(aBody) });
    }
  }

  bool started = false;
  int requests = 0;
  std::vector<LinkServer::Reply> late;
  LinkServer server;
};

Result
CallAndWait(AsioExecutor& aExecutor,
            LinkClient& aClient,
            const std::string& aPath,
            std::string aBody,
            firefly::Duration aTimeout = 30s)
{
  std::optional<Result> result;
  aClient.Call(aPath, std::move(aBody), aTimeout, [&](Result aResult) {
    result = std::move(aResult);
  });
  CHECK_FALSE(result.has_value());
  CHECK_TRUE(RunUntil(aExecutor, [&] { return result.has_value(); }));
  return *result;
}

void
CheckFailed(LinkErrorKind aKind, const Result& aResult)
{
  CHECK_FALSE(aResult.has_value());
  CHECK(aKind == aResult.error().kind);
}

} // namespace

TEST_GROUP(LinkTest)
{
  AsioExecutor executor;
};

TEST(LinkTest, ManyConcurrentCallsGetTheirOwnReplies)
{
  TestPeer peer(executor);
  CHECK_TRUE(peer.started);
  LinkClient client(executor, { .port = peer.server.Port() });
  constexpr int kCalls = 200;
  int matchingReplies = 0;
  for (int i = 0; i < kCalls; ++i) {
    const std::string body(static_cast<std::size_t>(i) * 100,
                           static_cast<char>('a' + i % 26));
    client.Call("/echo", body, 30s, [&matchingReplies, body](Result aResult) {
      matchingReplies += aResult.has_value() && *aResult == body ? 1 : 0;
    });
  }
  CHECK_TRUE(RunUntil(executor, [&] { return client.Outstanding() == 0; }));
  LONGS_EQUAL(kCalls, matchingReplies);
}

TEST(LinkTest, LargeBodyArrivesAndOversizedBodyIsRejected)
{
  TestPeer peer(executor);
  LinkClient client(executor,
                    { .port = peer.server.Port(), .maxBodyBytes = 3U << 20U });
  const std::string large(2U << 20U, 'x');
  const Result received = CallAndWait(executor, client, "/echo", large);
  CHECK_TRUE(received.has_value() && *received == large);
  const std::string excess(4U << 20U, 'x');
  CHECK_FALSE(CallAndWait(executor, client, "/echo", excess).has_value());
  LONGS_EQUAL(1, peer.requests);
}

TEST(LinkTest, RefusalReportsTheStatusOfThePeer)
{
  TestPeer peer(executor);
  LinkClient client(executor, { .port = peer.server.Port() });
  const Result result = CallAndWait(executor, client, "/refuse", "");
  CheckFailed(LinkErrorKind::kRefused, result);
  LONGS_EQUAL(409, result.error().status);
  STRCMP_EQUAL("conflict", result.error().message.c_str());
}

TEST(LinkTest, CallToAnUnreachablePeerIsNotSentAndStartsABackoff)
{
  std::uint16_t port = 0;
  {
    TestPeer peer(executor);
    port = peer.server.Port();
  }
  LinkClient client(
    executor, { .port = port, .firstBackoff = 10min, .maxBackoff = 10min });
  CheckFailed(LinkErrorKind::kNotSent,
              CallAndWait(executor, client, "/echo", ""));
  CheckFailed(LinkErrorKind::kNotSent,
              CallAndWait(executor, client, "/echo", ""));
}

TEST(LinkTest, ReplyAfterTheTimeoutIsUnknownAndIgnored)
{
  TestPeer peer(executor);
  LinkClient client(executor, { .port = peer.server.Port() });
  CheckFailed(LinkErrorKind::kUnknown,
              CallAndWait(executor, client, "/late", "", 200ms));
  CHECK_TRUE(RunUntil(executor, [&] { return !peer.late.empty(); }));
  peer.late.front()({ .status = 200, .body = "late" });
  const Result next = CallAndWait(executor, client, "/echo", "next");
  CHECK_TRUE(next.has_value() && *next == "next");
}

TEST(LinkTest, PingDetectsADeadConnectionAndTheNextCallReconnects)
{
  asio::ip::tcp::acceptor silent(
    executor.Context(),
    asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  const std::uint16_t port = silent.local_endpoint().port();
  LinkClient client(
    executor, { .port = port, .pingInterval = 20ms, .pingTimeout = 50ms });
  const Result lost = CallAndWait(executor, client, "/echo", "a", 10min);
  CheckFailed(LinkErrorKind::kUnknown, lost);
  STRCMP_EQUAL("the peer sent no data within the PING timeout",
               lost.error().message.c_str());
  silent.close();
  LinkServer server(
    executor,
    { .port = port },
    [](const std::string&, std::string aBody, const LinkServer::Reply& aReply) {
      aReply({ .status = 200, .body = std::move(aBody) });
    });
  CHECK_TRUE(server.Start().has_value());
  const Result reconnected = CallAndWait(executor, client, "/echo", "b");
  CHECK_TRUE(reconnected.has_value() && *reconnected == "b");
}

TEST(LinkTest, OutstandingCallsAreLimited)
{
  TestPeer peer(executor);
  LinkClient client(executor, { .port = peer.server.Port(), .maxCalls = 1 });
  int failed = 0;
  client.Call("/late", "", 30s, [&](const Result& aResult) {
    failed += aResult.has_value() ? 0 : 1;
  });
  CheckFailed(LinkErrorKind::kNotSent,
              CallAndWait(executor, client, "/echo", ""));
  CHECK_TRUE(RunUntil(executor, [&] { return !peer.late.empty(); }));
  peer.server.Stop();
  CHECK_TRUE(RunUntil(executor, [&] { return failed == 1; }));
}

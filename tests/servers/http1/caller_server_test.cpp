// Tests what callers that hold memory or connections get, with a budget that a
// few of them fill.

#include "servers/http1/caller_server.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "tests/helpers/raw_tcp_client.h"
#include "tests/helpers/run_until.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::AsioExecutor;
using firefly::CallerAnswer;
using firefly::CallerHandler;
using firefly::CallerRejection;
using firefly::CallerRequest;
using firefly::CallerServer;
using firefly::MemoryBudget;
using firefly::MemoryUse;
using firefly::RejectionCause;
using firefly::testing::RawTcpClient;
using firefly::testing::RunUntil;

namespace {

constexpr std::size_t kMegabyte = 1U << 20U;
constexpr std::size_t kBudget = 2 * kMegabyte;
// Two of these exceed the budget.
constexpr std::size_t kLargeBody = kMegabyte + (kMegabyte / 4);

class HoldingHandler : public CallerHandler
{
public:
  void OnRequest(CallerRequest aRequest,
                 std::shared_ptr<CallerAnswer> aAnswer) override
  {
    aAnswer->Send(200, "OK", {}, answer);
    if (keepsRequests) {
      requests.push_back(std::move(aRequest));
    }
  }
  void OnRejected(const CallerRejection& aRejection) override
  {
    rejections.push_back(aRejection.cause);
  }

  std::string answer = "done";
  bool keepsRequests = false;
  std::vector<CallerRequest> requests;
  std::vector<RejectionCause> rejections;
};

std::string
MakePost(std::size_t aBytes, const std::string& aHeaders = "")
{
  return "POST / HTTP/1.1\r\nHost: h\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBytes) + "\r\n\r\n";
}

} // namespace

TEST_GROUP(CallerServerTest)
{
  AsioExecutor executor;
  HoldingHandler handler;
  std::shared_ptr<MemoryBudget> budget =
    std::make_shared<MemoryBudget>(kBudget);
  std::unique_ptr<CallerServer> server;

  void Start(std::size_t aMaxConnections = 100)
  {
    server = std::make_unique<CallerServer>(
      executor,
      CallerServer::Options{
        .maxConnections = aMaxConnections,
        .memory = budget,
        .liveness = {},
        .limits = { .headTimeout = 60s, .idleTimeout = 60s } },
      handler);
    CHECK_TRUE(server->Start().has_value());
  }

  std::unique_ptr<RawTcpClient> Connect(const std::string& aBytes = "")
  {
    auto caller = std::make_unique<RawTcpClient>(executor, server->Port());
    if (!aBytes.empty()) {
      caller->Send(aBytes);
    }
    return caller;
  }

  void Await(const std::function<bool()>& aCondition)
  {
    CHECK_TRUE(RunUntil(executor, aCondition, 20s));
  }

  bool IsOnlyRejection(RejectionCause aCause) const
  {
    return handler.rejections == std::vector<RejectionCause>{ aCause };
  }
};

// Guards against bodies without progress that keep their memory while others
// need it.
TEST(CallerServerTest, AStalledBodyGivesWayToAnotherOne)
{
  Start();
  const auto stalled = Connect(MakePost(kLargeBody) + "x");
  Await([&] { return budget->Held() >= kLargeBody; });
  const auto other = Connect(MakePost(kLargeBody));
  Await([&] { return stalled->HasReceived("HTTP/1.1 408"); });
  other->Send(std::string(kLargeBody, 'x'));
  Await([&] { return other->HasReceived("done"); });
  CHECK_TRUE(IsOnlyRejection(RejectionCause::kStalled));
}

TEST(CallerServerTest, AStalledBodyStaysWhileNobodyNeedsItsMemory)
{
  Start();
  const auto slow = Connect(MakePost(kLargeBody) + "x");
  const auto end = executor.Now() + 1500ms;
  Await([&] { return executor.Now() > end; });
  slow->Send(std::string(kLargeBody - 1, 'x'));
  Await([&] { return slow->HasReceived("done"); });
}

// A request that can't have its memory is refused, and the refusal is true.
TEST(CallerServerTest, ABodyThatFindsNoMemoryIsRefused)
{
  handler.keepsRequests = true;
  Start();
  const auto first =
    Connect(MakePost(kLargeBody) + std::string(kLargeBody, 'x'));
  Await([&] { return handler.requests.size() == 1; });
  const auto second = Connect(MakePost(kLargeBody));
  Await([&] { return second->HasReceived("HTTP/1.1 503"); });
  CHECK_TRUE(second->HasReceived("Retry-After: "));
  CHECK_TRUE(second->HasReceived("Connection: close"));
  LONGS_EQUAL(1, handler.requests.size());
  CHECK_TRUE(IsOnlyRejection(RejectionCause::kNoMemory));
  // A small request does not wait behind the large one.
  const auto small = Connect(MakePost(4) + "abcd");
  Await([&] { return small->HasReceived("done"); });
}

TEST(CallerServerTest, ABodyThatWaitsGetsTheMemoryThatIsReleased)
{
  handler.keepsRequests = true;
  Start();
  const auto first =
    Connect(MakePost(kLargeBody) + std::string(kLargeBody, 'x'));
  Await([&] { return handler.requests.size() == 1; });
  const auto second = Connect(MakePost(kLargeBody, "Expect: 100-continue\r\n"));
  Await([&] { return server->BusyConnections() == 1; });
  CHECK_FALSE(second->HasReceived("100 Continue"));
  handler.requests.clear();
  Await([&] { return second->HasReceived("100 Continue"); });
  second->Send(std::string(kLargeBody, 'x'));
  Await([&] { return second->HasReceived("done"); });
  CHECK_TRUE(handler.rejections.empty());
}

TEST(CallerServerTest, ABodyOverTheLimitIsRejectedAndItsMemoryFreed)
{
  Start();
  const auto announced = Connect(MakePost(std::size_t{ 1 } << 40U));
  Await([&] { return announced->HasReceived("HTTP/1.1 413"); });
  const auto chunked = Connect("POST / HTTP/1.1\r\nHost: h\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n"
                               "ffffffff\r\nx");
  Await([&] { return chunked->HasReceived("HTTP/1.1 413"); });
  UNSIGNED_LONGS_EQUAL(0, budget->Held(MemoryUse::kInput));
}

// Guards against answers that nobody reads and that keep their memory.
TEST(CallerServerTest, AnAnswerThatIsNotReadGivesWayToABody)
{
  handler.answer = std::string(64 * kMegabyte, 'x');
  Start();
  asio::ip::tcp::socket reader(executor.Context());
  reader.connect({ asio::ip::address_v4::loopback(), server->Port() });
  asio::write(reader, asio::buffer(MakePost(0)));
  Await([&] { return budget->Held(MemoryUse::kAnswers) > kBudget; });
  handler.answer = "done";
  const auto other = Connect(MakePost(4) + "abcd");
  Await([&] { return other->HasReceived("HTTP/1.1 503"); });
  const auto end = executor.Now() + 6s;
  Await([&] { return executor.Now() > end; });
  const auto later = Connect(MakePost(4) + "abcd");
  Await([&] { return later->HasReceived("done"); });
}

// Guards against idle connections that keep out newcomers.
TEST(CallerServerTest, TheLongestIdleConnectionGivesWayToANewcomer)
{
  constexpr std::size_t kPlaces = 3;
  Start(kPlaces);
  std::vector<std::unique_ptr<RawTcpClient>> idle;
  for (std::size_t i = 0; i < kPlaces; i++) {
    idle.push_back(Connect());
    Await([&] { return server->Connections() == i + 1; });
  }
  const auto newcomer = Connect(MakePost(4) + "abcd");
  Await([&] { return newcomer->HasReceived("done"); });
  Await([&] { return idle[0]->IsClosed(); });
  CHECK_FALSE(idle[1]->IsClosed());
  CHECK_FALSE(idle[2]->IsClosed());
  CHECK_TRUE(IsOnlyRejection(RejectionCause::kNoConnection));
}

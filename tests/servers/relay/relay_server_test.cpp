// Tests two complete relays on loopback. The log is in memory and may refuse
// one of them.

#include "servers/relay/relay_server.h"

#include <chrono>
#include <memory>
#include <set>
#include <string>

#include "core/state_chart_loader.h"
#include "platform/platform_dialect.h"
#include "platform/platform_records.h"
#include "tests/helpers/raw_tcp_client.h"
#include "tests/helpers/run_until.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::AsioExecutor;
using firefly::CurlClient;
using firefly::Duration;
using firefly::RelayServer;
using firefly::RelaySettings;
using firefly::StateChart;
using firefly::Timer;
using firefly::coord::KeyedBatch;
using firefly::coord::KeyedLogClient;
using firefly::coord::KeyedRecord;
using firefly::coord::LogError;
using firefly::coord::LogErrorKind;
using firefly::coord::LogOffset;
using firefly::coord::NewestPage;
using firefly::coord::StreamName;
using firefly::platform::PlatformDialect;
using firefly::platform::PlatformRecords;
using firefly::testing::RawTcpClient;
using firefly::testing::RunUntil;

namespace {

constexpr int kFirstPort = 18300;
constexpr Duration kAnswerTime = std::chrono::milliseconds(20);

// Gives one relay access to the streams; may refuse all its calls.
class FakeLog : public KeyedLogClient
{
public:
  FakeLog(AsioExecutor& aExecutor, std::vector<KeyedRecord>& aRouting)
    : mExecutor(aExecutor)
    , mRouting(aRouting)
  {
  }

  void ReadNewest(const StreamName& aStream,
                  const std::string& /*aAfterKey*/,
                  NewestCallback aCallback) override
  {
    CallLater([this, aStream, aCallback] {
      if (isRefusing) {
        aCallback(tl::make_unexpected(
          LogError{ LogErrorKind::kUnavailable, "refused" }));
        return;
      }
      NewestPage page;
      if (IsRouting(aStream) && !mRouting.empty()) {
        page.records.push_back(mRouting.back());
        page.end = LogOffset(mRouting.size());
      }
      aCallback(page);
    });
  }

  void ReadFrom(const StreamName& aStream,
                LogOffset aFrom,
                Duration /*aWait*/,
                BatchCallback aCallback) override
  {
    CallLater([this, aStream, aFrom, aCallback] {
      if (isRefusing) {
        aCallback(tl::make_unexpected(
          LogError{ LogErrorKind::kUnavailable, "refused" }));
        return;
      }
      KeyedBatch batch{ .records = {}, .next = aFrom, .end = aFrom };
      if (IsRouting(aStream)) {
        for (auto i = aFrom.Value(); i < mRouting.size(); ++i) {
          readOffsets.insert(i);
          batch.records.push_back(mRouting[i]);
        }
        batch.next = LogOffset(mRouting.size());
        batch.end = batch.next;
      }
      aCallback(batch);
    });
  }

  bool isRefusing = false;
  // The offsets of the routing records that this relay read from the log.
  std::set<std::uint64_t> readOffsets;

private:
  static bool IsRouting(const StreamName& aStream)
  {
    return aStream == PlatformRecords().RoutingStream();
  }

  void CallLater(std::function<void()> aStep)
  {
    mTimers.push_back(mExecutor.RunAfter(kAnswerTime, std::move(aStep)));
  }

  AsioExecutor& mExecutor;
  std::vector<KeyedRecord>& mRouting;
  std::vector<Timer> mTimers;
};

} // namespace

TEST_GROUP(RelayServerTest)
{
  AsioExecutor executor;
  CurlClient client{ executor, {} };
  PlatformDialect dialect;
  PlatformRecords records;
  StateChart authority = *firefly::LoadStateChart(
    std::string(FIREFLY_SOURCE_DIR) + "/charts/authority.toml");
  StateChart backend = *firefly::LoadStateChart(
    std::string(FIREFLY_SOURCE_DIR) + "/charts/backend.toml");
  std::vector<KeyedRecord> routing;
  FakeLog firstLog{ executor, routing };
  FakeLog secondLog{ executor, routing };
  std::unique_ptr<RelayServer> first;
  std::unique_ptr<RelayServer> second;

  // Publishes a table with one route, whose path contains the version.
  void Publish(int aVersion, std::size_t aPadding = 0)
  {
    const auto version = std::to_string(aVersion);
    routing.push_back(
      { "config",
        R"({"version":)" + version +
          R"(,"routes":[{"name":"r","host":"h","pathPrefix":"/v)" + version +
          R"(/","kind":"idempotent","timeoutMs":300,"service":"s"}],)"
          R"("services":[{"name":"s"}],"pad":")" +
          std::string(aPadding, 'x') + R"("})",
        LogOffset(routing.size()) });
  }

  // The relays use the same port numbers on different addresses.
  std::unique_ptr<RelayServer> Start(const std::string& aAddress, FakeLog& aLog)
  {
    RelaySettings settings;
    settings.host = firefly::HostId("relay-" + aAddress);
    settings.callers = { aAddress, kFirstPort };
    settings.status = { aAddress, kFirstPort + 1 };
    settings.peerPort = kFirstPort + 2;
    settings.updatePort = kFirstPort + 3;
    settings.peerSeeds = { "127.0.0.1", "127.0.0.2" };
    settings.peerInterval = 50ms;
    settings.backendPoll = 100ms;
    settings.sharedPoll = 300ms;
    settings.routingWait = 100ms;
    settings.maxConnections = 100;
    settings.queueBound = 10;
    settings.stopGrace = 1500ms;
    settings.unreadyGrace = 300ms;
    auto server = std::make_unique<RelayServer>(
      RelayServer::Parts{ .executor = &executor,
                          .keyedLog = &aLog,
                          .streamLog = nullptr,
                          .client = &client,
                          .dialect = &dialect,
                          .decoder = &records,
                          .authorityChart = &authority,
                          .backendChart = &backend },
      settings);
    CHECK_TRUE(server->Start().has_value());
    return server;
  }

  // Returns the status that the relay answers on the route of that version.
  std::string RequestStatus(const std::string& aAddress, int aVersion)
  {
    RawTcpClient caller(executor, kFirstPort, aAddress);
    caller.Send("GET /v" + std::to_string(aVersion) +
                "/ HTTP/1.1\r\nHost: h\r\n"
                "Fireflyrouter-Request-Id: q\r\n\r\n");
    RunUntil(executor, [&] { return caller.Received().size() > 12; });
    return caller.Received().substr(9, 3);
  }

  bool Serves(const std::string& aAddress, int aVersion)
  {
    return RequestStatus(aAddress, aVersion) != "404";
  }

  void RunFor(std::chrono::milliseconds aSpan)
  {
    const auto end = executor.Now() + aSpan;
    RunUntil(executor, [&] { return executor.Now() >= end; });
  }
};

// Guards against a relay that keeps an old table while the log refuses it,
// although its peers have the new one. In incident inc-8ca0 the log refused
// three relays for nine seconds.
TEST(RelayServerTest, FetchesANewTableFromAPeerWhileTheLogRefuses)
{
  Publish(1);
  first = Start("127.0.0.1", firstLog);
  second = Start("127.0.0.2", secondLog);
  RunFor(1s);
  CHECK_TRUE(Serves("127.0.0.2", 1));
  secondLog.isRefusing = true;
  RunFor(500ms);
  Publish(2);
  RunFor(1500ms);
  CHECK_TRUE(Serves("127.0.0.1", 2));
  CHECK_TRUE(Serves("127.0.0.2", 2));
  CHECK_FALSE(Serves("127.0.0.2", 1));
}

// A relay that the log refuses must go on to serve authenticated requests while
// a peer reads for it, and must not once nobody reads: then it may have missed
// that a key was revoked.
TEST(RelayServerTest, APeersReadsConfirmTheTableOnlyWhileTheLogAnswersIt)
{
  Publish(1);
  first = Start("127.0.0.1", firstLog);
  CHECK_FALSE(first->RoutingConfirmedAt().has_value());
  second = Start("127.0.0.2", secondLog);
  CHECK_TRUE(RunUntil(
    executor, [&] { return second->RoutingConfirmedAt().has_value(); }));
  secondLog.isRefusing = true;
  const auto refused = executor.Now();
  CHECK_TRUE(
    RunUntil(executor, [&] { return second->RoutingConfirmedAt() > refused; }));
  firstLog.isRefusing = true;
  const auto lost = executor.Now();
  RunFor(1500ms);
  CHECK_TRUE(first->RoutingConfirmedAt() <= lost);
  CHECK_TRUE(second->RoutingConfirmedAt() <= lost);
}

// Guards against overloading the link of the relay that announces a large
// table. On macaskill-rota-grown 74 relays fetched a table of 280 KB from the
// one that had announced it and saturated its link for many seconds.
TEST(RelayServerTest, ReadsALargeTableFromTheLogInsteadOfAPeer)
{
  Publish(1);
  first = Start("127.0.0.1", firstLog);
  second = Start("127.0.0.2", secondLog);
  RunFor(1s);
  constexpr std::size_t kTooLargeForPeerFetch = 2'000'000;
  Publish(2, kTooLargeForPeerFetch);
  RunFor(1500ms);
  CHECK_TRUE(Serves("127.0.0.1", 2));
  CHECK_TRUE(Serves("127.0.0.2", 2));
  CHECK_TRUE(firstLog.readOffsets.contains(1));
  CHECK_TRUE(secondLog.readOffsets.contains(1));
}

TEST(RelayServerTest, IsNotReadyWithoutATable)
{
  first = Start("127.0.0.1", firstLog);
  RunFor(300ms);
  STRCMP_EQUAL("503", RequestStatus("127.0.0.1", 1).c_str());
  RawTcpClient probe(executor, kFirstPort + 1);
  probe.Send("GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK_TRUE(
    RunUntil(executor, [&] { return probe.HasReceived("HTTP/1.1 503"); }));
}

TEST(RelayServerTest, DrainsForTheUnreadyGraceBeforeItEnds)
{
  Publish(1);
  first = Start("127.0.0.1", firstLog);
  RunFor(500ms);
  bool ended = false;
  const auto stopped = executor.Now();
  first->Drain([&] { ended = true; });
  RunFor(100ms);
  CHECK_FALSE(ended);
  CHECK_TRUE(RunUntil(executor, [&] { return ended; }));
  CHECK_TRUE(executor.Now() - stopped >= 300ms);
  CHECK_TRUE(executor.Now() - stopped < 1500ms);
}

// Tests two complete relays on loopback. The log is in memory and may refuse
// one of them.

#include "servers/relay/relay_server.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "core/random.h"
#include "core/state_chart_loader.h"
#include "platform/platform_dialect.h"
#include "platform/platform_records.h"
#include "tests/helpers/raw_tcp_client.h"
#include "tests/helpers/run_until.h"

#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::AsioExecutor;
using firefly::CurlClient;
using firefly::Duration;
using firefly::DutyClient;
using firefly::DutyHolderId;
using firefly::DutyOutcome;
using firefly::DutySettings;
using firefly::HostId;
using firefly::RelayServer;
using firefly::RelaySettings;
using firefly::ServerOrder;
using firefly::StateChart;
using firefly::Timer;
using firefly::coord::KeyedBatch;
using firefly::coord::KeyedLogClient;
using firefly::coord::KeyedReadTerms;
using firefly::coord::KeyedRecord;
using firefly::coord::LogBatch;
using firefly::coord::LogClient;
using firefly::coord::LogError;
using firefly::coord::LogErrorKind;
using firefly::coord::LogOffset;
using firefly::coord::NewestPage;
using firefly::coord::StreamName;
using firefly::platform::PlatformDialect;
using firefly::platform::PlatformRecords;
using firefly::policy::UsageReport;
using firefly::policy::UsageWindow;
using firefly::testing::RawTcpClient;
using firefly::testing::RunUntil;

namespace {

// Depends on the process, so that runs in several checkouts don't take each
// other's ports.
std::uint16_t
PortAt(int aIndex)
{
  constexpr int kFirstPort = 20000;
  constexpr int kRuns = 2000;
  constexpr int kPortsOfRun = 4;
  return static_cast<std::uint16_t>(kFirstPort +
                                    getpid() % kRuns * kPortsOfRun + aIndex);
}

constexpr Duration kUsageWindow = std::chrono::seconds(1);
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
        readOffsets.insert(mRouting.size() - 1);
        page.records.push_back(mRouting.back());
        page.end = LogOffset(mRouting.size());
      }
      aCallback(page);
    });
  }

  void ReadFrom(const StreamName& aStream,
                LogOffset aFrom,
                const KeyedReadTerms& /*aTerms*/,
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
    return aStream == firefly::coord::StreamName("keyed.op");
  }

  void CallLater(std::function<void()> aStep)
  {
    mTimers.push_back(mExecutor.RunAfter(kAnswerTime, std::move(aStep)));
  }

  AsioExecutor& mExecutor;
  std::vector<KeyedRecord>& mRouting;
  std::vector<Timer> mTimers;
};

// The streams that the relays write to, in memory.
class FakeStreams : public LogClient
{
public:
  explicit FakeStreams(AsioExecutor& aExecutor)
    : mExecutor(aExecutor)
  {
  }

  void Append(const StreamName& aStream,
              std::vector<std::string> aPayloads,
              AppendCallback aCallback) override
  {
    mExecutor.Post([this, aStream, aPayloads, aCallback] {
      auto& records = streams[aStream];
      const LogOffset first(records.size());
      records.insert(records.end(), aPayloads.begin(), aPayloads.end());
      aCallback(first);
    });
  }

  void Read(const StreamName& aStream,
            LogOffset aFrom,
            std::size_t /*aLimit*/,
            ReadCallback aCallback) override
  {
    reads++;
    mExecutor.Post([this, aStream, aFrom, aCallback] {
      const auto& records = streams[aStream];
      LogBatch batch;
      batch.end = LogOffset(records.size());
      for (auto i = aFrom.Value(); i < records.size(); ++i) {
        batch.records.push_back({ LogOffset(i), records[i] });
      }
      aCallback(batch);
    });
  }

  std::map<StreamName, std::vector<std::string>> streams;
  int reads = 0;

private:
  AsioExecutor& mExecutor;
};

// Answers all calls and records who reported each window, and when.
class FakeDutyClient : public DutyClient
{
public:
  explicit FakeDutyClient(AsioExecutor& aExecutor)
    : mExecutor(aExecutor)
  {
  }

  void ReportUsage(const DutyHolderId& aHolder,
                   const UsageReport& aReport,
                   Callback aCallback) override
  {
    holders.insert(aHolder.host);
    maxDelay = std::max<Duration>(
      maxDelay, mExecutor.WallNow() - EndOf(aReport.window, kUsageWindow));
    isDuplicate = isDuplicate || !windows.insert(aReport.window).second;
    mExecutor.Post([aCallback] { aCallback(DutyOutcome::kAnswered); });
  }
  void OrderServers(const DutyHolderId& /*aHolder*/,
                    const ServerOrder& /*aOrder*/,
                    Callback /*aCallback*/) override
  {
  }

  std::set<HostId> holders;
  std::set<UsageWindow> windows;
  bool isDuplicate = false;
  Duration maxDelay{};

private:
  AsioExecutor& mExecutor;
};

std::string
IncompressibleText(std::size_t aBytes)
{
  constexpr std::string_view kDigits =
    "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_";
  firefly::Random random(1);
  std::string text;
  while (text.size() < aBytes) {
    text += kDigits[random.Below(kDigits.size())];
  }
  return text;
}

} // namespace

TEST_GROUP(RelayServerTest)
{
  AsioExecutor executor;
  CurlClient client{ executor, {} };
  const firefly::KeyHasher keyHasher = *firefly::KeyHasher::Create();
  PlatformDialect dialect{ keyHasher };
  PlatformRecords records{ keyHasher };
  // Each process has its own hash key.
  const firefly::KeyHasher secondHasher = *firefly::KeyHasher::Create();
  PlatformDialect secondDialect{ secondHasher };
  PlatformRecords secondRecords{ secondHasher };
  StateChart authority = *firefly::LoadStateChart(
    std::string(FIREFLY_SOURCE_DIR) + "/charts/authority.toml");
  StateChart backend = *firefly::LoadStateChart(
    std::string(FIREFLY_SOURCE_DIR) + "/charts/backend.toml");
  std::vector<KeyedRecord> routing;
  FakeLog firstLog{ executor, routing };
  FakeLog secondLog{ executor, routing };
  FakeStreams streams{ executor };
  FakeDutyClient duties{ executor };
  bool reportsUsage = false;
  std::unique_ptr<RelayServer> first;
  std::unique_ptr<RelayServer> second;

  // Publishes a table with one route, whose path contains the version. aMore
  // are further fields of the record.
  void Publish(
    int aVersion, std::size_t aPadding = 0, const std::string& aMore = "")
  {
    const auto version = std::to_string(aVersion);
    routing.push_back(
      { "config",
        R"({"version":)" + version +
          R"(,"routes":[{"name":"r","host":"h","pathPrefix":"/v)" + version +
          R"(/","kind":"idempotent","timeoutMs":300,"service":"s"}],)"
          R"("services":[{"name":"s"}],)" +
          aMore + R"("pad":")" + IncompressibleText(aPadding) + R"("})",
        LogOffset(routing.size()) });
  }

  // The relays use the same port numbers on different addresses.
  std::unique_ptr<RelayServer> Start(const std::string& aAddress, FakeLog& aLog)
  {
    RelaySettings settings;
    settings.host = firefly::HostId("relay-" + aAddress);
    const bool isSecond = aAddress == "127.0.0.2";
    settings.callers = { aAddress, PortAt(0) };
    settings.status = { aAddress, PortAt(1) };
    settings.peerPort = PortAt(2);
    settings.updatePort = PortAt(3);
    settings.peerSeeds = { "127.0.0.1", "127.0.0.2" };
    settings.peerInterval = 50ms;
    settings.backendPoll = 100ms;
    settings.sharedPoll = 300ms;
    settings.routingWait = 100ms;
    settings.maxConnections = 100;
    settings.queueBound = 10;
    settings.stopGrace = 1500ms;
    settings.unreadyGrace = 300ms;
    if (reportsUsage) {
      settings.duties = DutySettings{ .apiUrl = "http://unused",
                                      .names = {},
                                      .usage = true,
                                      .usageWindow = kUsageWindow,
                                      .maxCallsPerSecond = 50,
                                      .lease = 3s };
    }
    auto server = std::make_unique<RelayServer>(
      RelayServer::Parts{ .executor = &executor,
                          .keyedLog = &aLog,
                          .streamLog = &streams,
                          .client = &client,
                          .dutyClient = &duties,
                          .dialect = isSecond ? &secondDialect : &dialect,
                          .decoder = isSecond ? &secondRecords : &records,
                          .authorityChart = &authority,
                          .backendChart = &backend },
      settings);
    CHECK_TRUE(server->Start().has_value());
    return server;
  }

  // Returns what the relay answers on the route of that version.
  std::string Request(
    const std::string& aAddress, int aVersion, const std::string& aHeaders = "")
  {
    RawTcpClient caller(executor, PortAt(0), aAddress);
    caller.Send("GET /v" + std::to_string(aVersion) +
                "/ HTTP/1.1\r\nHost: h\r\n"
                "Fireflyrouter-Request-Id: q\r\n" +
                aHeaders + "\r\n");
    RunUntil(executor, [&] { return caller.HasReceived("\r\n\r\n{"); });
    return caller.Received();
  }

  std::string RequestStatus(
    const std::string& aAddress, int aVersion, const std::string& aHeaders = "")
  {
    return Request(aAddress, aVersion, aHeaders).substr(9, 3);
  }

  bool Serves(const std::string& aAddress, int aVersion)
  {
    // The status is 503 while the table is not confirmed.
    const auto answer = Request(aAddress, aVersion);
    return answer.find("no route matches") == std::string::npos;
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

// Guards against a relay that cannot check the keys of a table that it has from
// a peer, whose digests differ from its own.
TEST(RelayServerTest, ChecksTheKeysOfATableThatItFetchedFromAPeer)
{
  Publish(1);
  first = Start("127.0.0.1", firstLog);
  second = Start("127.0.0.2", secondLog);
  RunFor(1s);
  secondLog.isRefusing = true;
  RunFor(500ms);
  Publish(2, 0, R"("tenants":[{"name":"anna","apiKeys":["k1"]}],)");
  RunFor(1500ms);
  CHECK_FALSE(secondLog.readOffsets.contains(1));
  for (const auto* address : { "127.0.0.1", "127.0.0.2" }) {
    const auto status = [&](const std::string& aHeaders) {
      return RequestStatus(address, 2, aHeaders);
    };
    STRCMP_EQUAL("401", status("").c_str());
    STRCMP_EQUAL("401", status("Authorization: Token k2\r\n").c_str());
    // There is no backend server.
    STRCMP_EQUAL("503", status("Authorization: Token k1\r\n").c_str());
  }
}

TEST(RelayServerTest, IsNotReadyWithoutATable)
{
  first = Start("127.0.0.1", firstLog);
  RunFor(300ms);
  STRCMP_EQUAL("503", RequestStatus("127.0.0.1", 1).c_str());
  RawTcpClient probe(executor, PortAt(1));
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

// Guards against counts that do not reach the holder: windows would then close
// 6 s after their end only. With 1 s to claim the lease and 0.5 s for each of
// three ticks, a report takes less than 4 s.
TEST(RelayServerTest, OneRelayReportsTheUsageOfBoth)
{
  reportsUsage = true;
  Publish(1);
  first = Start("127.0.0.1", firstLog);
  second = Start("127.0.0.2", secondLog);
  RunFor(12s);
  LONGS_EQUAL(1, duties.holders.size());
  CHECK_TRUE(duties.windows.size() >= 3);
  CHECK_FALSE(duties.isDuplicate);
  CHECK_TRUE(duties.maxDelay < 4s);
  // Each call to the log has a cost: two candidates poll once a second, and the
  // holder reads its renewals back.
  LONGS_EQUAL(2, streams.streams.size());
  CHECK_TRUE(streams.reads < 60);
}

// A deployment without duties must not read their streams.
TEST(RelayServerTest, HasNoCallsForDutiesWithoutTheirSettings)
{
  Publish(1);
  first = Start("127.0.0.1", firstLog);
  RunFor(5s);
  LONGS_EQUAL(0, streams.reads);
  CHECK_TRUE(duties.windows.empty());
}

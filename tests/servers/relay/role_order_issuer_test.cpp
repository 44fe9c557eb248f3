#include "servers/relay/role_order_issuer.h"

#include <chrono>
#include <memory>
#include <set>
#include <string>

#include "core/state_chart_loader.h"
#include "platform/platform_dialect.h"
#include "tests/helpers/run_until.h"
#include "tests/helpers/scripted_backend.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::AsioExecutor;
using firefly::BackendAddress;
using firefly::BackendId;
using firefly::BackendPool;
using firefly::BackendRegistry;
using firefly::HostId;
using firefly::Incarnation;
using firefly::RoleOrderIssuer;
using firefly::ServiceId;
using firefly::StateChart;
using firefly::coord::LogBatch;
using firefly::coord::LogClient;
using firefly::coord::LogError;
using firefly::coord::LogErrorKind;
using firefly::coord::LogOffset;
using firefly::coord::LogRecord;
using firefly::coord::StreamName;
using firefly::platform::PlatformDialect;
using firefly::policy::EngineRole;
using firefly::policy::FleetView;
using firefly::testing::RunUntil;
using firefly::testing::ScriptedBackend;
using firefly::testing::ScriptedReply;
using firefly::testing::ScriptedRequest;

namespace {

StateChart
LoadChart(const std::string& aName)
{
  return *firefly::LoadStateChart(std::string(FIREFLY_SOURCE_DIR) + "/charts/" +
                                  aName);
}

// A log with one stream in memory, which can be unavailable.
class MemoryLog : public LogClient
{
public:
  explicit MemoryLog(AsioExecutor& aExecutor)
    : mExecutor(aExecutor)
  {
  }

  void Append(const StreamName& /*aStream*/,
              std::vector<std::string> aPayloads,
              AppendCallback aCallback) override
  {
    mExecutor.Post([this, aPayloads, aCallback] {
      if (isUnavailable) {
        aCallback(
          tl::make_unexpected(LogError{ LogErrorKind::kUnavailable, "" }));
        return;
      }
      const LogOffset first(records.size());
      for (const auto& it : aPayloads) {
        records.push_back({ LogOffset(records.size()), it });
      }
      aCallback(first);
    });
  }

  void Read(const StreamName& /*aStream*/,
            LogOffset aFrom,
            std::size_t /*aLimit*/,
            ReadCallback aCallback) override
  {
    reads++;
    mExecutor.Post([this, aFrom, aCallback] {
      if (isUnavailable) {
        aCallback(
          tl::make_unexpected(LogError{ LogErrorKind::kUnavailable, "" }));
        return;
      }
      LogBatch batch;
      batch.end = LogOffset(records.size());
      for (auto i = aFrom.Value(); i < records.size(); ++i) {
        batch.records.push_back(records[i]);
      }
      aCallback(batch);
    });
  }

  std::vector<LogRecord> records;
  bool isUnavailable = false;
  int reads = 0;

private:
  AsioExecutor& mExecutor;
};

} // namespace

TEST_GROUP(RoleOrderIssuerTest)
{
  AsioExecutor executor;
  const firefly::KeyHasher keyHasher = *firefly::KeyHasher::Create();
  PlatformDialect dialect{ keyHasher };
  FleetView fleet;
  BackendPool pool{ executor, {} };
  BackendRegistry backendRegistry{ {}, executor, fleet, pool };
  MemoryLog log{ executor };
  StateChart authority = LoadChart("authority.toml");
  StateChart backend = LoadChart("backend.toml");
  std::unique_ptr<ScriptedBackend> engine;

  void setup() override
  {
    engine =
      std::make_unique<ScriptedBackend>(executor, [](const ScriptedRequest&) {
        return ScriptedReply{
          "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
        };
      });
  }

  // Adds engines that all have the decode role and share one address.
  void AddEngines(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      backendRegistry.Apply({ .id = BackendId("e" + std::to_string(i)),
                              .service = ServiceId("llm"),
                              .address = BackendAddress(engine->Address()),
                              .domain = {},
                              .slots = 8,
                              .role = EngineRole::kDecode,
                              .models = { "m" } });
    }
  }

  std::unique_ptr<RoleOrderIssuer> MakeIssuer(const std::string& aHost)
  {
    return std::make_unique<RoleOrderIssuer>(
      RoleOrderIssuer::Options{ .host = HostId(aHost),
                                .incarnation = Incarnation(1),
                                .plan = { .prefillShare = 0.5 },
                                .authorityChart = &authority,
                                .backendChart = &backend },
      RoleOrderIssuer::Parts{
        .executor = &executor,
        .log = &log,
        .dialect = &dialect,
        .pool = &pool,
        .backendRegistry = &backendRegistry,
        .fleet = &fleet,
        .rank = [] { return std::size_t{ 0 }; },
        .loadsOf =
          [](const firefly::ModelId&) { return firefly::policy::StageLoads{}; },
        .hasRoutedRequest = [] { return false; } });
  }

  void RunFor(std::chrono::milliseconds aSpan)
  {
    const auto end = executor.Now() + aSpan;
    RunUntil(executor, [&] { return executor.Now() >= end; });
  }
};

// Both relays want the same changes at the same time.
TEST(RoleOrderIssuerTest, OnlyOneOfTwoRelaysSendsEachOrderOnce)
{
  AddEngines(4);
  const auto first = MakeIssuer("h1");
  const auto second = MakeIssuer("h2");
  first->Start();
  second->Start();
  CHECK_TRUE(
    RunUntil(executor, [&] { return engine->Requests().size() >= 2; }));
  RunFor(1500ms);
  LONGS_EQUAL(2, engine->Requests().size());
  std::set<std::string> holders;
  for (const auto& it : engine->Requests()) {
    STRCMP_EQUAL("/-/order", it.head.target.c_str());
    holders.insert(it.body.substr(it.body.find("holder")));
  }
  // In both bodies, "holder" is followed by the holder and the stage.
  LONGS_EQUAL(1, holders.size());
}

TEST(RoleOrderIssuerTest, SendsNoOrdersWithoutTheLog)
{
  log.isUnavailable = true;
  AddEngines(4);
  const auto issuer = MakeIssuer("h1");
  issuer->Start();
  RunFor(4s);
  LONGS_EQUAL(0, engine->Requests().size());
}

TEST(RoleOrderIssuerTest, DoesNotReadTheLogWhileNoChangeIsWanted)
{
  const auto issuer = MakeIssuer("h1");
  issuer->Start();
  RunFor(2s);
  LONGS_EQUAL(0, log.reads);
}

// Runs the operators' programs as processes against two entries that serve the
// table from the platform's log.

#include <algorithm>
#include <fstream>
#include <memory>
#include <sstream>

#include "servers/platform/http_log_client.h"
#include "servers/status/status_server.h"
#include "servers/table/log_table_store.h"
#include "tests/helpers/run_until.h"
#include "tests/process/process_harness.h"
#include "tests/stand_ins/platform/platform_service.h"

#include <CppUTest/TestHarness.h>

using firefly::HostId;
using firefly::HttpRequest;
using firefly::HttpResponderPtr;
using firefly::TableMember;
using firefly::TableVersion;
using firefly::coord::Snapshot;
using firefly::testing::ChildProcess;
using firefly::testing::LoopbackUrl;
using firefly::testing::RunUntil;
using firefly::testing::TemporaryDirectory;

namespace {

std::string
ReadFile(const std::filesystem::path& aFile)
{
  std::stringstream text;
  text << std::ifstream(aFile).rdbuf();
  return text.str();
}

// The admin port of an entry, with its table and metrics only.
class AdminOnlyEntry
  : public firefly::TableMembersView
  , public firefly::coord::TableObserver
{
public:
  AdminOnlyEntry(firefly::AsioExecutor& aExecutor,
                 const firefly::Settings& aSettings,
                 const std::string& aName,
                 const std::string& aPlatform)
    : mName(aName)
    , mClient(aExecutor, {})
    , mLog(mClient, { .url = aPlatform + "/log", .streamPrefix = "" })
    , mTable({ .writer = firefly::coord::WriterId(aName),
               .pollInterval = std::chrono::milliseconds(50),
               .applyTimeout = std::chrono::seconds(2) },
             aExecutor,
             mLog,
             this)
    , mStore(mTable)
    , mAdmin(aSettings, aExecutor, mStore, *this)
    , mServer(aExecutor,
              { .address = "127.0.0.1",
                .port = 0,
                .ready = [] { return std::string(); },
                .handler =
                  [this](const HttpRequest& aRequest,
                         const HttpResponderPtr& aResponder) {
                    mAdmin.Handle(aRequest,
                                  [aResponder](firefly::HttpResponse aAnswer) {
                                    aResponder->Send(std::move(aAnswer));
                                  });
                  } },
              metrics)
  {
    mTable.Start();
  }

  bool Start() { return mServer.Start().has_value(); }

  [[nodiscard]] bool Ready() const { return mTable.Ready(); }

  [[nodiscard]] std::string Url() const { return LoopbackUrl(mServer.Port()); }

  void OnVersion(const Snapshot& aSnapshot) override
  {
    mAdmin.RecordVersion(aSnapshot);
  }

  [[nodiscard]] std::vector<TableMember> TableMembers() const override
  {
    return { { .host = HostId(mName),
               .live = true,
               .version = mTable.Current() ? mTable.Current()->version
                                           : TableVersion(0) } };
  }

  firefly::MetricRegistry metrics;

private:
  std::string mName;
  firefly::CurlClient mClient;
  firefly::HttpLogClient mLog;
  firefly::coord::VersionedTable mTable;
  firefly::LogTableStore mStore;
  firefly::TableAdmin mAdmin;
  firefly::StatusServer mServer;
};

} // namespace

TEST_GROUP(OperatorsProcessTest)
{
  TemporaryDirectory directory;
  firefly::AsioExecutor executor;
  firefly::Settings settings = *firefly::LoadSettings(
    { .file = FIREFLY_SOURCE_DIR "/settings/demo.toml", .needsHost = false });
  firefly::stand_ins::PlatformService platform{ executor };
  firefly::HttpServer platformServer{
    executor,
    {},
    [this](HttpRequest aRequest, HttpResponderPtr aResponder) {
      platform.Handle(std::move(aRequest), std::move(aResponder));
    }
  };
  std::unique_ptr<AdminOnlyEntry> a;
  std::unique_ptr<AdminOnlyEntry> b;

  void setup() override
  {
    CHECK_TRUE(platformServer.Start().has_value());
    a = MakeEntry("host-a");
    b = MakeEntry("host-b");
    CHECK_TRUE(RunUntil(executor, [&] { return a->Ready() && b->Ready(); }));
  }

  void teardown() override
  {
    a.reset();
    b.reset();
  }

  std::unique_ptr<AdminOnlyEntry> MakeEntry(const std::string& aName)
  {
    auto entry = std::make_unique<AdminOnlyEntry>(
      executor, settings, aName, LoopbackUrl(platformServer.Port()));
    CHECK_TRUE(entry->Start());
    return entry;
  }

  // Sets the fault switches of the platform's stand-in.
  void SetFaults(const std::string& aSwitches)
  {
    firefly::CurlClient client(executor, {});
    bool done = false;
    firefly::HttpCall call;
    call.method = "POST";
    call.url = LoopbackUrl(platformServer.Port()) + "/control";
    call.body = aSwitches;
    client.Fetch(std::move(call), [&](const auto& aResult) {
      done = aResult && aResult->status == 200;
    });
    CHECK_TRUE(RunUntil(executor, [&] { return done; }));
  }

  // Starts one of the operators' programs with the addresses of both entries.
  std::unique_ptr<ChildProcess> Spawn(const std::string& aProgram,
                                      std::vector<std::string> aArguments,
                                      const std::string& aOutput)
  {
    aArguments.push_back("--entry=" + a->Url());
    aArguments.push_back("--entry=" + b->Url());
    return std::make_unique<ChildProcess>(
      ChildProcess::Options{ .program = "main/" + aProgram,
                             .arguments = std::move(aArguments),
                             .output = directory.Path() / aOutput });
  }

  // Runs the event loop until the process has ended and returns its exit code.
  int WaitForExitCode(ChildProcess & aProcess)
  {
    CHECK_TRUE(RunUntil(executor, [&] { return !aProcess.IsRunning(); }));
    const int status = aProcess.WaitStatus().value_or(-1);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

  int Run(const std::string& aProgram,
          std::vector<std::string> aArguments,
          const std::string& aOutput)
  {
    const auto child = Spawn(aProgram, std::move(aArguments), aOutput);
    return WaitForExitCode(*child);
  }

  std::string Output(const std::string& aName)
  {
    return ReadFile(directory.Path() / aName);
  }
};

TEST(OperatorsProcessTest, ApplyReturnsOnceAllEntriesHaveTheVersion)
{
  LONGS_EQUAL(
    0, Run("fireflyctl", { "table", "export", "--format=json" }, "shown"));
  STRCMP_CONTAINS("\"version\":0", Output("shown").c_str());
  const auto csv = firefly::FormatTable(firefly::MakeDefaultTable(settings)) +
                   "desk,book,acme,2,5,,,\r\n";
  const auto file = directory.Write("table.csv", csv).string();
  LONGS_EQUAL(0, Run("fireflyctl", { "table", "apply", file }, "applied"));
  STRCMP_EQUAL("version 1 is in force at host-a, host-b\n",
               Output("applied").c_str());
  LONGS_EQUAL(0, Run("fireflyctl", { "table", "diff", file }, "diff"));
  STRCMP_EQUAL("", Output("diff").c_str());
  LONGS_EQUAL(0, Run("fireflyctl", { "table", "history" }, "history"));
  STRCMP_CONTAINS("+ desk book acme: weight=2 max_concurrent=5\n",
                  Output("history").c_str());
  LONGS_EQUAL(
    5, Run("fireflyctl", { "table", "wait", "2", "--timeout=0" }, "waited"));
  STRCMP_CONTAINS("not yet confirmed by host-a, host-b",
                  Output("waited").c_str());
}

TEST(OperatorsProcessTest,
     OneOfSeveralConcurrentEditsIsAcceptedAndTheOthersConflict)
{
  constexpr int kOperators = 4;
  std::vector<std::unique_ptr<ChildProcess>> children;
  for (int n = 0; n < kOperators; ++n) {
    auto table = firefly::MakeDefaultTable(settings);
    table.Add({ .service = firefly::ServiceId("desk"),
                .requestType = firefly::RequestType("book"),
                .customer = firefly::CustomerId("c" + std::to_string(n)),
                .maxConcurrent = {},
                .ratePerSecond = {},
                .worth = {},
                .lateAfter = {} });
    const auto file = directory.Write("edit" + std::to_string(n) + ".csv",
                                      firefly::FormatTable(table));
    children.push_back(Spawn("fireflyctl",
                             { "table", "apply", file.string(), "--base=0" },
                             "out" + std::to_string(n)));
  }
  std::vector<int> codes;
  codes.reserve(children.size());
  for (const auto& it : children) {
    codes.push_back(WaitForExitCode(*it));
  }
  LONGS_EQUAL(1, std::ranges::count(codes, 0));
  LONGS_EQUAL(kOperators - 1, std::ranges::count(codes, 4));
}

TEST(OperatorsProcessTest, AnEditIsAppliedOnceIfTheAnswerToItsAppendIsLost)
{
  const auto csv = firefly::FormatTable(firefly::MakeDefaultTable(settings));
  const auto file = directory.Write("table.csv", csv).string();
  SetFaults(R"({"lose_next":1})");
  LONGS_EQUAL(0, Run("fireflyctl", { "table", "apply", file }, "applied"));
  STRCMP_CONTAINS("version 1 is in force at", Output("applied").c_str());
  LONGS_EQUAL(
    0, Run("fireflyctl", { "table", "export", "--format=json" }, "shown"));
  STRCMP_CONTAINS("\"version\":1", Output("shown").c_str());
}

TEST(OperatorsProcessTest, AnEditDuringAnOutageOfTheLogChangesNothing)
{
  const auto csv = firefly::FormatTable(firefly::MakeDefaultTable(settings));
  const auto file = directory.Write("table.csv", csv).string();
  SetFaults(R"({"outage":true})");
  LONGS_EQUAL(
    1, Run("fireflyctl", { "table", "apply", file, "--base=0" }, "refused"));
  STRCMP_CONTAINS("nothing changed", Output("refused").c_str());
  SetFaults(R"({"outage":false})");
  LONGS_EQUAL(
    0, Run("fireflyctl", { "table", "apply", file, "--base=0" }, "applied"));
  STRCMP_EQUAL("version 1 is in force at host-a, host-b\n",
               Output("applied").c_str());
}

TEST(OperatorsProcessTest, TheBurnReportReadsTheMetricsOfEntries)
{
  const std::vector<std::string> labels{ "service", "request_type", "outcome" };
  auto& requests = a->metrics.Counters(
    { .name = "firefly_requests_total", .help = "", .labelNames = labels });
  requests.With({ "desk", "book", "in_time" }).Add(7);
  const auto report = (directory.Path() / "burn.html").string();
  LONGS_EQUAL(0,
              Run("firefly-burn",
                  { "--samples=2",
                    "--interval=1",
                    "--entry=http://127.0.0.1:1",
                    "--format=html",
                    "--output=" + report },
                  "burn"));
  const auto page = ReadFile(report);
  STRCMP_CONTAINS("desk &middot; book", page.c_str());
  STRCMP_CONTAINS("http://127.0.0.1:1: can't be reached", page.c_str());
}

TEST(OperatorsProcessTest, ReportsAnUnreachableEntryAndUsesTheOthers)
{
  const std::vector<std::string> words{ "table",
                                        "export",
                                        "--entry=http://127.0.0.1:1" };
  LONGS_EQUAL(0, Run("fireflyctl", words, "shown"));
  STRCMP_CONTAINS("away: http://127.0.0.1:1: can't be reached",
                  Output("shown").c_str());
  STRCMP_CONTAINS("service,request_type,customer", Output("shown").c_str());
}

#include "servers/control/table_commands.h"

#include <algorithm>
#include <sstream>

#include "tests/servers/control/fake_fetcher.h"

#include <CppUTest/TestHarness.h>

using firefly::ControlOptions;
using firefly::ExitCode;
using firefly::FakeFetcher;
using firefly::HttpErrorKind;
using firefly::OutputFormat;
using firefly::TableCommands;

namespace {

const std::string kHeader = "service,request_type,customer,weight,"
                            "max_concurrent,rate_per_second,worth,"
                            "late_after_ms\r\n";
const std::string kOldTable = kHeader + "desk,book,*,1,,,,\r\n";
const std::string kNewTable = kHeader + "desk,book,*,2,,,,\r\n";

// The answer to GET /admin/table.
std::string
TableBody(int aVersion, const std::string& aCsv)
{
  std::string escaped;
  for (const char it : aCsv) {
    escaped += it == '\r' ? "\\r" : it == '\n' ? "\\n" : std::string(1, it);
  }
  return "{\"version\":" + std::to_string(aVersion) + ",\"csv\":\"" + escaped +
         "\"}";
}

} // namespace

TEST_GROUP(TableCommandsTest)
{
  FakeFetcher fetcher;
  std::ostringstream out;
  std::ostringstream err;
  ControlOptions options{ .targets = { .entries = { "http://a", "http://b" },
                                       .stewards = {} },
                          .format = OutputFormat::kText,
                          .timeout = std::chrono::seconds(10),
                          .out = out,
                          .err = err };
  TableCommands commands{ fetcher, options };

  void CheckCode(ExitCode aExpected, ExitCode aCode)
  {
    LONGS_EQUAL(static_cast<int>(aExpected), static_cast<int>(aCode));
  }

  void AnswerTableRequests()
  {
    fetcher.Answer("GET http://a/admin/table", 200, TableBody(3, kOldTable));
    fetcher.Answer("GET http://b/admin/table", 200, TableBody(4, kOldTable));
  }
};

TEST(TableCommandsTest, ExportsTheNewestTable)
{
  AnswerTableRequests();
  CheckCode(ExitCode::kOk, commands.Export());
  STRCMP_EQUAL(kOldTable.c_str(), out.str().c_str());
  STRCMP_EQUAL("version 4\n", err.str().c_str());
}

TEST(TableCommandsTest, ApplyReturnsOnceAllLiveEntriesConfirmed)
{
  AnswerTableRequests();
  fetcher.Answer("POST http://a/admin/table?base=4", 200, "{\"version\":5}");
  const std::string a = "GET http://a/admin/table/confirmed?version=5";
  const std::string b = "GET http://b/admin/table/confirmed?version=5";
  fetcher.Answer(a, 200, R"({"confirmed":["h1"],"pending":["h2"]})");
  fetcher.Answer(a, 200, R"({"confirmed":["h1"],"pending":["h2"]})");
  fetcher.Answer(b, 200, R"({"confirmed":[],"pending":["h1","h2"]})");
  fetcher.Answer(b, 200, R"({"confirmed":["h2"],"pending":["h1"]})");
  CheckCode(ExitCode::kOk, commands.Apply(kNewTable, {}));
  STRCMP_EQUAL("version 5 is in force at h1, h2\n", out.str().c_str());
  LONGS_EQUAL(2, std::ranges::count(fetcher.calls, b));
}

TEST(TableCommandsTest, ApplyListsEntriesThatHaveNotConfirmed)
{
  AnswerTableRequests();
  fetcher.Answer("POST http://a/admin/table?base=4", 200, "{\"version\":5}");
  fetcher.Answer("GET http://a/admin/table/confirmed?version=5",
                 200,
                 R"({"confirmed":["h1"],"pending":["h2"]})");
  CheckCode(ExitCode::kPending, commands.Apply(kNewTable, {}));
  STRCMP_CONTAINS("not yet confirmed by h2\n", err.str().c_str());
  CHECK_TRUE(fetcher.Now().time_since_epoch() >= options.timeout);
}

TEST(TableCommandsTest, AnEditOfAnOldVersionIsAConflict)
{
  fetcher.Answer(
    "POST http://a/admin/table?base=4", 409, R"({"title":"x","version":5})");
  CheckCode(ExitCode::kConflict, commands.Apply(kNewTable, 4));
  STRCMP_EQUAL("another edit came first: the newest version is 5; nothing "
               "changed\n",
               err.str().c_str());
}

TEST(TableCommandsTest, ReportsAnUnreachableEntryAndTriesTheNext)
{
  fetcher.Answer(
    "POST http://b/admin/table?base=4", 503, R"({"title":"no log"})");
  CheckCode(ExitCode::kFailed, commands.Apply(kNewTable, 4));
  STRCMP_EQUAL("away: http://a: can't be reached (refused)\n"
               "not accepted: no log (status 503); nothing changed\n",
               err.str().c_str());
}

TEST(TableCommandsTest, ReadsTheTableBackAfterALostAnswer)
{
  // The edit may already be accepted, so it must not be sent again to any
  // entry.
  const std::string post = "POST http://a/admin/table?base=4";
  fetcher.Fail(post, HttpErrorKind::kTimeout);
  AnswerTableRequests();
  fetcher.Answer("GET http://b/admin/table", 200, TableBody(5, kNewTable));
  fetcher.Answer("GET http://b/admin/table/confirmed?version=5",
                 200,
                 R"({"confirmed":["h1","h2"],"pending":[]})");
  CheckCode(ExitCode::kOk, commands.Apply(kNewTable, 4));
  LONGS_EQUAL(1, std::ranges::count(fetcher.calls, post));
  LONGS_EQUAL(
    0, std::ranges::count(fetcher.calls, "POST http://b/admin/table?base=4"));
}

TEST(TableCommandsTest, ALostAnswerCanEndAsConflictOrUnknown)
{
  fetcher.Fail("POST http://a/admin/table?base=4",
               HttpErrorKind::kConnectionLost);
  fetcher.Answer("GET http://a/admin/table", 200, TableBody(5, kOldTable));
  CheckCode(ExitCode::kConflict, commands.Apply(kNewTable, 4));
  fetcher.Fail("POST http://a/admin/table?base=5",
               HttpErrorKind::kConnectionLost);
  CheckCode(ExitCode::kFailed, commands.Apply(kNewTable, 5));
  STRCMP_CONTAINS("not known whether the edit was accepted", err.str().c_str());
}

TEST(TableCommandsTest, ReportsInvalidRowsWithoutQueryingAnEntry)
{
  CheckCode(ExitCode::kUsage,
            commands.Apply(kHeader + "desk,book,*,x,,,,\n", 4));
  STRCMP_EQUAL("line 2, column weight: \"x\" is not allowed; must be a number "
               "from 0 to 1000\n",
               err.str().c_str());
  LONGS_EQUAL(0, fetcher.calls.size());
}

TEST(TableCommandsTest, ReportsRowsThatTheEntryRejects)
{
  fetcher.Answer(
    "POST http://a/admin/table?base=4",
    422,
    R"({"problems":[{"line":2,"column":"service","message":"no"}]})");
  CheckCode(ExitCode::kUsage, commands.Apply(kNewTable, 4));
  STRCMP_EQUAL("line 2, column service: no\n", err.str().c_str());
}

TEST(TableCommandsTest, PrintsDifferencesAndHistory)
{
  AnswerTableRequests();
  CheckCode(ExitCode::kOk, commands.Diff(kNewTable));
  STRCMP_EQUAL("~ desk book *: weight=1->2\n", out.str().c_str());
  out.str("");
  fetcher.Answer("GET http://b/admin/table/history",
                 200,
                 R"({"versions":[{"version":4,"seen_ms":86400000,"rows":1,)"
                 R"("changes":"~ x\n"}]})");
  CheckCode(ExitCode::kOk, commands.History());
  STRCMP_EQUAL("version 4, seen 1970-01-02 00:00:00Z, 1 rows\n~ x\n",
               out.str().c_str());
}

TEST(TableCommandsTest, ReportsThatNoEntryIsReachable)
{
  CheckCode(ExitCode::kUnreachable, commands.Export());
  CheckCode(ExitCode::kUnreachable, commands.Apply(kNewTable, 4));
  CheckCode(ExitCode::kUnreachable, commands.Wait(4));
  STRCMP_CONTAINS("away: http://b: can't be reached", err.str().c_str());
}

#include "servers/burn/burn_program.h"

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

#include <nlohmann/json.hpp>

#include "servers/burn/burn_sample.h"
#include "tests/servers/control/fake_fetcher.h"
#include "tests/servers/settings/prepare_docopt.h"

#include <CppUTest/TestHarness.h>

using firefly::ExitCode;
using firefly::FakeFetcher;
using firefly::FormatSnapshot;
using firefly::ParseSnapshot;
using firefly::PrepareDocopt;
using firefly::RunBurn;
using firefly::WallTime;

namespace {

const bool kDocoptPrepared = PrepareDocopt();

// The metrics of an entry after this many requests, a tenth of which were late.
std::string
MakeMetrics(int aRequests)
{
  const std::string labels = "service=\"rota<b>\",request_type=\"lookup\"";
  const std::string inTime = std::to_string(aRequests * 9 / 10);
  const std::string late = std::to_string(aRequests / 10);
  return "process_start_time_seconds 5\n"
         "firefly_requests_total{" +
         labels + ",outcome=\"in_time\"} " + inTime +
         "\nfirefly_requests_total{" + labels + ",outcome=\"late\"} " + late +
         "\nfirefly_worth_total{" + labels + ",outcome=\"late\"} " + late +
         "\nfirefly_refunds_total{" + labels + "} " + late +
         "\nfirefly_first_token_seconds_bucket{" + labels + ",le=\"0.5\"} " +
         late + "\nfirefly_first_token_seconds_bucket{" + labels +
         ",le=\"+Inf\"} " + late + "\n";
}

std::string
ReadFile(const std::string& aName)
{
  std::stringstream text;
  text << std::ifstream(aName).rdbuf();
  return text.str();
}

} // namespace

TEST_GROUP(BurnProgramTest)
{
  FakeFetcher fetcher;
  std::ostringstream out;
  std::ostringstream err;
  std::string file = std::filesystem::temp_directory_path() /
                     ("firefly_burn_" + std::to_string(getpid()));

  void teardown() override
  {
    std::filesystem::remove(file);
  }

  void Run(ExitCode aExpected, std::vector<const char*> aArguments)
  {
    out.str("");
    err.str("");
    aArguments.insert(aArguments.begin(), "firefly-burn");
    const auto now = [this] {
      return WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(
        fetcher.Now().time_since_epoch()));
    };
    const auto code = RunBurn({ .fetcher = fetcher,
                                .wallNow = now,
                                .out = out,
                                .err = err,
                                .version = "1" },
                              static_cast<int>(aArguments.size()),
                              aArguments.data());
    LONGS_EQUAL_TEXT(
      static_cast<int>(aExpected), static_cast<int>(code), err.str().c_str());
  }

  void ServeMetrics()
  {
    fetcher.Answer("GET http://a/metrics", 200, MakeMetrics(1000));
    fetcher.Answer("GET http://a/metrics", 200, MakeMetrics(3000));
    fetcher.Answer("GET http://c/metrics", 200, "x{\n");
  }
};

TEST(BurnProgramTest, WritesTextAndListsUnreachableEntries)
{
  ServeMetrics();
  Run(ExitCode::kOk,
      { "--entry=http://a",
        "--entry=http://b",
        "--entry=http://c",
        "--interval=600" });
  const std::string text = out.str();
  STRCMP_CONTAINS("from 1970-01-01 00:00:00Z to 1970-01-01 00:10:00Z (10 min)",
                  text.c_str());
  STRCMP_CONTAINS("away: http://b: can't be reached (refused), never seen\n",
                  text.c_str());
  STRCMP_CONTAINS("away: http://c: metrics, line 1: a label must be",
                  text.c_str());
  STRCMP_CONTAINS("6 h / 30 min  10    10     6           10 min   unknown",
                  text.c_str());
  STRCMP_CONTAINS("rota<b>  lookup        99 %       1800     200",
                  text.c_str());
}

TEST(BurnProgramTest, WritesJson)
{
  ServeMetrics();
  Run(ExitCode::kOk,
      { "--entry=http://a",
        "--entry=http://b",
        "--interval=600",
        "--format=json" });
  const auto report = nlohmann::json::parse(out.str());
  const auto& row = report["rows"][0];
  LONGS_EQUAL(200, row["requests"]["late"].get<int>());
  LONGS_EQUAL(200, row["refunds"].get<int>());
  DOUBLES_EQUAL(10, row["windows"][0]["long_burn"].get<double>(), 1e-9);
  STRCMP_EQUAL("quiet", row["windows"][0]["state"].get<std::string>().c_str());
  STRCMP_EQUAL("unknown",
               row["windows"][1]["state"].get<std::string>().c_str());
  STRCMP_EQUAL("can't be reached (refused)",
               report["entries"][1]["error"].get<std::string>().c_str());
}

TEST(BurnProgramTest, WritesSelfContainedHtml)
{
  ServeMetrics();
  Run(ExitCode::kOk,
      { "--entry=http://a",
        "--entry=http://b",
        "--interval=600",
        "--format=html",
        "--output",
        file.c_str() });
  const std::string page = ReadFile(file);
  STRCMP_CONTAINS("<polyline", page.c_str());
  STRCMP_CONTAINS("rota&lt;b&gt;", page.c_str());
  STRCMP_CONTAINS("http://b: can't be reached", page.c_str());
  for (const char* it : { "<script", "src=", "href=", "rota<b>", "@import" }) {
    CHECK_TRUE_TEXT(page.find(it) == std::string::npos, it);
  }
}

TEST(BurnProgramTest, ReplayOfARecordGivesTheSameReport)
{
  ServeMetrics();
  Run(ExitCode::kOk,
      { "--entry=http://a",
        "--entry=http://b",
        "--interval=600",
        "--record",
        file.c_str() });
  const std::string live = out.str();
  Run(ExitCode::kOk, { "--replay", file.c_str(), "--samples=0" });
  STRCMP_EQUAL(live.c_str(), out.str().c_str());
  std::ifstream in(file);
  for (std::string line; std::getline(in, line);) {
    STRCMP_EQUAL(line.c_str(), FormatSnapshot(*ParseSnapshot(line)).c_str());
  }
}

TEST(BurnProgramTest, ReadsObjectivesFromTheSettings)
{
  const std::string labels =
    "{service=\"assistant\",request_type=\"question\",outcome=\"late\"} ";
  fetcher.Answer("GET http://127.0.0.1:17101/metrics",
                 200,
                 "firefly_requests_total" + labels + "1\n");
  Run(ExitCode::kOk,
      { "--settings",
        FIREFLY_SOURCE_DIR "/settings/demo.toml",
        "--format=json" });
  const auto report = nlohmann::json::parse(out.str());
  LONGS_EQUAL(3, report["entries"].size());
  DOUBLES_EQUAL(0.99, report["rows"][0]["objective"].get<double>(), 0);
}

TEST(BurnProgramTest, ReportsErrorsByExitCode)
{
  CHECK_TRUE(kDocoptPrepared);
  Run(ExitCode::kUsage, {});
  Run(ExitCode::kUsage, { "--samples=0" });
  Run(ExitCode::kUsage, { "--entry=http://a", "--interval=0" });
  Run(ExitCode::kUsage, { "--entry=http://a", "--format=pdf" });
  Run(ExitCode::kUnreachable, { "--entry=http://a" });
  Run(ExitCode::kFailed, { "--samples=0", "--replay=/no/such" });
  std::ofstream(file) << "{}\n";
  Run(ExitCode::kFailed, { "--samples=0", "--replay", file.c_str() });
  STRCMP_CONTAINS((file + ":1: not a sample: ").c_str(), err.str().c_str());
  Run(ExitCode::kOk, { "--help" });
}

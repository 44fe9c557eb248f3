#include "servers/log/log.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

#include <nlohmann/json.hpp>

#include "tests/helpers/stdout_capture.h"

// CppUTest must be included last, since it redefines new and delete as macros.
#include <CppUTest/TestHarness.h>

using firefly::Log;
using firefly::LogLayout;
using firefly::LogLevel;
using firefly::StartLog;
using firefly::testing::StdoutCapture;

TEST_GROUP(LogTest){};

TEST(LogTest, WritesPlainText)
{
  const StdoutCapture capture;
  StartLog({ .level = LogLevel::kInfo, .layout = LogLayout::kText });
  const Log log("membership");
  log.Debug("unseen");
  log.Info("host left", { { "host", "h1" }, { "why", "a\n\"b\"" } });
  const auto text = capture.Text();
  STRCMP_CONTAINS("INFO  membership: host left host=h1 why=\"a \\\"b\\\"\"\n",
                  text.c_str());
  CHECK_TRUE(text.find("unseen") == std::string::npos);
}

TEST(LogTest, WritesOneJsonObjectPerLine)
{
  const StdoutCapture capture;
  StartLog({ .level = LogLevel::kWarning, .layout = LogLayout::kJson });
  const Log log("steward");
  log.Info("unseen");
  log.Error("lease lost", { { "fencing", "1\"2\n" } });
  log.Warning("lease late");
  std::istringstream lines(capture.Text());
  std::string line;
  std::getline(lines, line);
  const auto object = nlohmann::json::parse(line);
  STRCMP_EQUAL("lease lost", object["message"].get<std::string>().c_str());
  STRCMP_EQUAL("steward", object["logger"].get<std::string>().c_str());
  STRCMP_EQUAL("ERROR", object["level"].get<std::string>().c_str());
  STRCMP_EQUAL("1\"2\n",
               object["context_map"]["fencing"].get<std::string>().c_str());
  std::getline(lines, line);
  CHECK_FALSE(nlohmann::json::parse(line).contains("context_map"));
  CHECK_FALSE(std::getline(lines, line));
}

TEST(LogTest, DropsAndCountsLinesAboveTheRateLimit)
{
  std::string text;
  {
    const StdoutCapture capture;
    StartLog({ .layout = LogLayout::kJson, .linesPerSecond = 20 });
    const Log log("burst");
    for (int i = 0; i < 1000; ++i) {
      log.Info("line");
    }
    usleep(200000);
    log.Info("after");
    text = capture.Text();
  }
  const auto lines = std::count(text.begin(), text.end(), '\n');
  CHECK_TRUE(lines >= 20 && lines < 40);
  CHECK_TRUE(text.find("lines dropped") != std::string::npos);
}

// If nobody reads the pipe, logging must drop lines and not block the process.
TEST(LogTest, AStoppedReaderDoesNotBlockTheProcess)
{
  int ends[2];
  LONGS_EQUAL(0, pipe(ends));
  std::fflush(stdout);
  const int saved = dup(STDOUT_FILENO);
  dup2(ends[1], STDOUT_FILENO);
  StartLog({ .layout = LogLayout::kJson, .linesPerSecond = 100000 });
  const Log log("pipe");
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < 5000; ++i) {
    log.Info("a line that nobody reads, long enough to fill the pipe soon");
  }
  const auto took = std::chrono::steady_clock::now() - begin;
  dup2(saved, STDOUT_FILENO);
  for (const int it : { saved, ends[0], ends[1] }) {
    close(it);
  }
  CHECK_TRUE(took < std::chrono::seconds(10));
}

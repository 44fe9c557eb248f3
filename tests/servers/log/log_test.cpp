#include "servers/log/log.h"

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

// The harness comes last: it replaces new and delete by macros.
#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using firefly::Log;
using firefly::LogLayout;
using firefly::LogLevel;
using firefly::StartLog;

namespace {

// Sends stdout into a file for as long as it lives.
class StdoutCapture
{
public:
  StdoutCapture()
  {
    std::fflush(stdout);
    mSaved = dup(STDOUT_FILENO);
    const int file = mkstemp(mName);
    dup2(file, STDOUT_FILENO);
    close(file);
  }

  ~StdoutCapture()
  {
    std::fflush(stdout);
    dup2(mSaved, STDOUT_FILENO);
    close(mSaved);
    unlink(mName);
  }

  StdoutCapture(const StdoutCapture&) = delete;
  StdoutCapture& operator=(const StdoutCapture&) = delete;

  [[nodiscard]] std::string Text() const
  {
    std::fflush(stdout);
    std::stringstream text;
    text << std::ifstream(mName).rdbuf();
    return text.str();
  }

private:
  int mSaved = -1;
  char mName[32] = "/tmp/firefly_log_XXXXXX";
};

} // namespace

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

TEST(LogTest, WritesAJsonObjectALine)
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

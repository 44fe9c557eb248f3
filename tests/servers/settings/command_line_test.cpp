#include "servers/settings/command_line.h"

#include <string>

#include "tests/servers/settings/prepare_docopt.h"

#include <CppUTest/TestHarness.h>

using firefly::DaemonOptions;
using firefly::ExitCode;
using firefly::LoadDaemonSettings;
using firefly::PrepareDocopt;
using firefly::Settings;

namespace {

const DaemonOptions kDaemonOptions{ .program = "firefly-test",
                                    .purpose = "Tests the command line.",
                                    .version = "1.2.3" };

tl::expected<Settings, ExitCode>
Load(std::vector<const char*> aWords)
{
  aWords.insert(aWords.begin(), "firefly-test");
  return LoadDaemonSettings(
    kDaemonOptions, static_cast<int>(aWords.size()), aWords.data());
}

const bool kDocoptPrepared = PrepareDocopt();

void
CheckExit(ExitCode aCode, const tl::expected<Settings, ExitCode>& aResult)
{
  CHECK_FALSE(aResult.has_value());
  LONGS_EQUAL(static_cast<int>(aCode), static_cast<int>(aResult.error()));
}

} // namespace

TEST_GROUP(CommandLineTest){};

TEST(CommandLineTest, AcceptsTheSampleFiles)
{
  const std::string directory = FIREFLY_SOURCE_DIR "/settings/";
  for (const char* name : { "macaskill.toml", "hooghly.toml", "demo.toml" }) {
    const std::string file = directory + name;
    CheckExit(ExitCode::kOk,
              Load({ "--settings", file.c_str(), "--check-settings" }));
  }
}

TEST(CommandLineTest, SelectsTheHostByItsId)
{
  const std::string file = FIREFLY_SOURCE_DIR "/settings/macaskill.toml";
  const auto settings =
    Load({ "--settings", file.c_str(), "--host", "entry-9" });
  CHECK_TRUE(settings.has_value());
  STRCMP_EQUAL("yard-3", settings->host.domain.Value().c_str());
}

TEST(CommandLineTest, HelpAndVersionExitWithSuccess)
{
  CheckExit(ExitCode::kOk, Load({ "--help" }));
  CheckExit(ExitCode::kOk, Load({ "--version" }));
}

TEST(CommandLineTest, InvalidArgumentsAndSettingsAreUsageErrors)
{
  CHECK_TRUE(kDocoptPrepared);
  CheckExit(ExitCode::kUsage, Load({}));
  CheckExit(ExitCode::kUsage, Load({ "--nonsense" }));
  CheckExit(ExitCode::kUsage, Load({ "--settings", "/no/such.toml" }));
}

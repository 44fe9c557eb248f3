#include "servers/relay/relay_settings.h"

#include <cstdio>
#include <fstream>
#include <string>

#include "platform/platform_settings.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::LoadRelaySettings;

namespace {

const std::string kSample =
  std::string(FIREFLY_SOURCE_DIR) + "/settings/relay.toml";

std::string
ReadSample()
{
  std::ifstream file(kSample);
  return { std::istreambuf_iterator<char>(file), {} };
}

} // namespace

TEST_GROUP(RelaySettingsTest)
{
  std::string path = "relay_settings_test.toml";

  void teardown() override
  {
    std::remove(path.c_str());
  }

  // Returns the error lines of the sample after one text is replaced.
  std::vector<std::string> LoadErrorsWith(const std::string& aOld,
                                          const std::string& aNew)
  {
    auto text = ReadSample();
    const auto at = text.find(aOld);
    CHECK_TRUE(at != std::string::npos);
    text.replace(at, aOld.size(), aNew);
    std::ofstream(path) << text;
    const auto settings = LoadRelaySettings(path);
    return settings ? std::vector<std::string>{} : settings.error().lines;
  }
};

TEST(RelaySettingsTest, AcceptsTheSample)
{
  const auto settings = LoadRelaySettings(kSample);
  CHECK_TRUE(settings.has_value());
  LONGS_EQUAL(8100, settings->callers.port);
  LONGS_EQUAL(2, settings->peerSeeds.size());
  STRCMP_EQUAL("127.0.0.2", settings->peerSeeds[1].c_str());
  CHECK(settings->stopGrace == 8s);
}

TEST(RelaySettingsTest, NamesTheKeyOfAFault)
{
  const auto faults = LoadErrorsWith("127.0.0.1:8100", "here:8100");
  LONGS_EQUAL(1, faults.size());
  CHECK_TRUE(faults[0].find("callers") != std::string::npos);
}

TEST(RelaySettingsTest, RejectsAnUnknownKey)
{
  LONGS_EQUAL(1, LoadErrorsWith("[log]", "[log]\nlevle = \"info\"").size());
}

TEST(RelaySettingsTest, LimitsWhatIsHeldForCallersByTheHostsMemory)
{
  CHECK_TRUE(LoadErrorsWith("[relay]",
                            "[relay]\nmemory_mb = 120\n"
                            "max_descriptors = 500\n"
                            "caller_memory_share = 0.25")
               .empty());
  const auto settings = LoadRelaySettings(path);
  UNSIGNED_LONGS_EQUAL(120U << 20U, settings->memoryBytes);
  CHECK_TRUE(settings->maxDescriptors <= 500);
  DOUBLES_EQUAL(0.25, settings->callerMemoryShare, 0);
}

TEST(RelaySettingsTest, RejectsLimitsThatLeaveNoRoom)
{
  LONGS_EQUAL(3,
              LoadErrorsWith("[relay]",
                             "[relay]\nmemory_mb = 8\n"
                             "max_descriptors = 10\n"
                             "caller_memory_share = 0.95")
                .size());
}

// Guards against a bound below the age of a confirmation in normal operation,
// with which ordinary requests would be rejected.
TEST(RelaySettingsTest, RevocationIsOffOrLongEnoughForConfirmations)
{
  CHECK_FALSE(LoadRelaySettings(kSample)->stalenessBound.has_value());
  const auto load = [&](const std::string& aValue) {
    return LoadErrorsWith("[log]",
                          "[access]\nrevocation_ms = " + aValue + "\n[log]");
  };
  LONGS_EQUAL(0, load("5000").size());
  CHECK(LoadRelaySettings(path)->stalenessBound == 4500ms);
  LONGS_EQUAL(0, load("0").size());
  CHECK_FALSE(LoadRelaySettings(path)->stalenessBound.has_value());
  LONGS_EQUAL(0, load("3000").size());
  for (const auto* odd : { "2999", "1", "-1", "600001", "true", "5.5" }) {
    const auto faults = load(odd);
    LONGS_EQUAL(1, faults.size());
    STRCMP_CONTAINS("revocation_ms", faults[0].c_str());
  }
}

TEST(RelaySettingsTest, RejectsAStopGraceThatLeavesNoTimeForLiveRequests)
{
  const auto faults =
    LoadErrorsWith("stop_grace_ms = 8000", "stop_grace_ms = 2000");
  LONGS_EQUAL(1, faults.size());
  CHECK_TRUE(faults[0].find("unready_grace_ms") != std::string::npos);
}

// A deployment without the section must not report usage.
TEST(RelaySettingsTest, EnablesDutiesOnlyWithTheirApi)
{
  CHECK_FALSE(LoadRelaySettings(kSample)->duties.has_value());
  LONGS_EQUAL(0, LoadErrorsWith("[log]", "[duties]\nnames = []\n[log]").size());
  CHECK_FALSE(LoadRelaySettings(path)->duties.has_value());
  // The template writes the lease of engines here as well, of any length.
  LONGS_EQUAL(
    0, LoadErrorsWith("[log]", "[duties]\nlease_ms = 200\n[log]").size());
  LONGS_EQUAL(1,
              LoadErrorsWith("[log]",
                             "[duties]\napi_url = \"http://127.0.0.1:1\"\n"
                             "lease_ms = 200\n[log]")
                .size());
  LONGS_EQUAL(1,
              LoadErrorsWith("[log]", "[duties]\nusage = true\n[log]").size());
  LONGS_EQUAL(1,
              LoadErrorsWith("[log]",
                             "[duties]\napi_url = \"http://127.0.0.1:1\"\n"
                             "usage_window_s = 0\n[log]")
                .size());
}

// The template passes on the platform's names of the duties.
TEST(RelaySettingsTest, EnablesTheDutiesThatThePlatformNames)
{
  const std::string api = "[duties]\napi_url = \"http://127.0.0.1:1\"\n";
  LoadErrorsWith("[log]", api + "names = [\"autoscale\"]\n[log]");
  auto settings = LoadRelaySettings(path);
  firefly::platform::ApplyDutyNames(*settings);
  CHECK_FALSE(settings->duties->usage);
  LoadErrorsWith("[log]",
                 api + "names = [\"autoscale\", \"usage_report\"]\n[log]");
  settings = LoadRelaySettings(path);
  firefly::platform::ApplyDutyNames(*settings);
  CHECK_TRUE(settings->duties->usage);
  CHECK(settings->duties->usageWindow == 5s);
  CHECK(settings->duties->lease == 3s);
}

// A wrong unit or a bound below the age of a table in normal operation would
// reject all authenticated requests.
TEST(RelaySettingsTest, BoundsTheStalenessOnlyWhereRevocationIsStrict)
{
  const auto load = [this](const std::string& aAccess) {
    std::ofstream(path) << aAccess << "\n" << ReadSample();
    return LoadRelaySettings(path);
  };
  CHECK_FALSE(load("")->stalenessBound.has_value());
  CHECK_FALSE(load("[access]\nrevocation_ms = 0")->stalenessBound.has_value());
  CHECK(load("[access]\nrevocation_ms = 5000")->stalenessBound == 4500ms);
  CHECK_FALSE(load("[access]\nrevocation_ms = 5").has_value());
  CHECK_FALSE(load("[access]\nrevocation_ms = -1").has_value());
  CHECK(load("[access]\nrevocation_ms = 0")->changeBound == 2s);
  CHECK_FALSE(load("[access]\nrevocations_ms = 5000").has_value());
}

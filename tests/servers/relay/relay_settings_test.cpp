#include "servers/relay/relay_settings.h"

#include <cstdio>
#include <fstream>
#include <string>

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

TEST(RelaySettingsTest, RejectsAStopGraceThatLeavesNoTimeForLiveRequests)
{
  const auto faults =
    LoadErrorsWith("stop_grace_ms = 8000", "stop_grace_ms = 2000");
  LONGS_EQUAL(1, faults.size());
  CHECK_TRUE(faults[0].find("unready_grace_ms") != std::string::npos);
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
  CHECK_FALSE(load("[access]\nrevocations_ms = 5000").has_value());
}

#include "servers/relay/version_history_exchange.h"

#include <optional>
#include <string>
#include <vector>

#include "core/virtual_executor.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::BackendId;
using firefly::DecodeVersionHistory;
using firefly::DecodeVersionHistoryQuery;
using firefly::EncodeVersionHistory;
using firefly::EncodeVersionHistoryQuery;
using firefly::Instant;
using firefly::ServiceId;
using firefly::VersionHistoryExchange;
using firefly::VersionHistoryPeers;
using firefly::VirtualExecutor;
using firefly::policy::LogPlace;
using firefly::policy::OriginSource;
using firefly::policy::SoftwareVersion;
using firefly::policy::SoftwareVersionOf;
using firefly::policy::StreamOriginTracker;
using firefly::policy::VersionHistory;

namespace {

const ServiceId kService("llm");
const SoftwareVersion kVersion = SoftwareVersionOf(kService, "v1");

class MockPeers : public VersionHistoryPeers
{
public:
  void AskForVersions() override { asked++; }
  void SendVersions(const VersionHistory& aHistory,
                    const std::string& aHost) override
  {
    histories.push_back(aHistory);
    hosts.push_back(aHost);
  }

  int asked = 0;
  std::vector<VersionHistory> histories;
  std::vector<std::string> hosts;
};

VersionHistory
MakeHistory(Instant aNow)
{
  return { .since = aNow - 20s,
           .through = LogPlace(7),
           .versions = {
             { .service = kService, .version = kVersion, .goneAt = {} },
             { .service = kService,
               .version = SoftwareVersionOf(kService, "v2"),
               .goneAt = aNow - 1500ms } } };
}

} // namespace

TEST_GROUP(VersionHistoryExchangeTest)
{
  VirtualExecutor executor;
  StreamOriginTracker tracker{ { .lifetime = 10s, .lateSends = 5s } };
  MockPeers peers;
  VersionHistoryExchange exchange{ executor, tracker, peers };

  void setup() override
  {
    executor.RunFor(60s);
  }

  // Confirms that all changes up to now are known, from this place on.
  void Confirm(LogPlace aPlace)
  {
    const auto now = executor.Now();
    tracker.OnConfirmed(
      { .readAt = now, .unchangedUntil = now, .place = aPlace });
  }

  // Lets time pass in which all changes become known.
  void Pass(firefly::Duration aTime)
  {
    for (firefly::Duration passed{}; passed < aTime; passed += 500ms) {
      executor.RunFor(500ms);
      Confirm(LogPlace(7));
    }
  }
};

// Guards against a started relay that refuses streams for as long as it has
// served alone (review/7).
TEST(VersionHistoryExchangeTest, AStartedRelayAsksUntilItHasAnAnswer)
{
  exchange.AskIfNeeded();
  LONGS_EQUAL(0, peers.asked); // it knows no place in the log yet
  tracker.OnBackend(BackendId("b"), kService, kVersion, executor.Now());
  Confirm(LogPlace(7));
  exchange.AskIfNeeded();
  exchange.AskIfNeeded();
  LONGS_EQUAL(2, peers.asked);
  auto history = MakeHistory(executor.Now());
  history.versions.pop_back();
  exchange.OnHistory(history);
  exchange.AskIfNeeded();
  LONGS_EQUAL(2, peers.asked);
  const auto now = executor.Now();
  const auto origin = tracker.OriginOf(kService, std::nullopt, now, now);
  CHECK_TRUE(origin.source == OriginSource::kOnlyVersion);
}

// Guards against messages of relays that know enough, and against a relay that
// answers before it knows anything.
TEST(VersionHistoryExchangeTest, AnswersTheRelayThatAsks)
{
  exchange.OnQuery({ .host = "127.0.1.2" });
  LONGS_EQUAL(0, peers.histories.size());
  tracker.OnBackend(BackendId("b"), kService, kVersion, executor.Now());
  Confirm(LogPlace(7));
  const auto since = executor.Now();
  Pass(20s);
  exchange.AskIfNeeded();
  LONGS_EQUAL(0, peers.asked);
  exchange.OnQuery({ .host = "127.0.1.2" });
  STRCMP_EQUAL("127.0.1.2", peers.hosts.at(0).c_str());
  CHECK_TRUE(peers.histories.at(0).since == since);
  CHECK_TRUE(peers.histories.at(0).through == LogPlace(7));
  LONGS_EQUAL(1, peers.histories.at(0).versions.size());
}

TEST(VersionHistoryExchangeTest, MessagesAreDecodedAsTheyWereEncoded)
{
  const auto query = EncodeVersionHistoryQuery({ .host = "127.0.1.2" });
  STRCMP_EQUAL("127.0.1.2", DecodeVersionHistoryQuery(query)->host.c_str());
  const auto now = executor.Now();
  const auto sent = MakeHistory(now);
  const auto bytes = EncodeVersionHistory(sent, now);
  const auto decoded = DecodeVersionHistory(bytes, now);
  CHECK_TRUE(decoded.has_value());
  CHECK_TRUE(decoded->since == sent.since);
  CHECK_TRUE(decoded->through == sent.through);
  LONGS_EQUAL(2, decoded->versions.size());
  for (std::size_t i = 0; i < 2; ++i) {
    CHECK_TRUE(decoded->versions[i].service == sent.versions[i].service);
    CHECK_TRUE(decoded->versions[i].version == sent.versions[i].version);
    CHECK_TRUE(decoded->versions[i].goneAt == sent.versions[i].goneAt);
  }
}

// Guards against a stream of a version that left longer ago, by a message that
// was delayed, than a stream can live.
TEST(VersionHistoryExchangeTest, ADelayedHistoryClaimsNoMoreThanItKnows)
{
  const auto now = executor.Now();
  const auto sent = MakeHistory(now);
  const auto decoded =
    DecodeVersionHistory(EncodeVersionHistory(sent, now), now + 30s);
  CHECK_TRUE(decoded->since > sent.since);
  CHECK_TRUE(*decoded->versions[1].goneAt > *sent.versions[1].goneAt);
}

TEST(VersionHistoryExchangeTest, RejectsMessagesThatAreNotWhole)
{
  const auto now = executor.Now();
  const auto query = EncodeVersionHistoryQuery({ .host = "127.0.1.2" });
  const auto history = EncodeVersionHistory(MakeHistory(now), now);
  for (std::size_t n = 0; n < query.size(); ++n) {
    CHECK_FALSE(DecodeVersionHistoryQuery(query.substr(0, n)).has_value());
  }
  for (std::size_t n = 0; n < history.size(); ++n) {
    CHECK_FALSE(DecodeVersionHistory(history.substr(0, n), now).has_value());
  }
  CHECK_FALSE(DecodeVersionHistoryQuery(query + "x").has_value());
  CHECK_FALSE(DecodeVersionHistory(history + "x", now).has_value());
  CHECK_FALSE(DecodeVersionHistory(query, now).has_value());
  CHECK_FALSE(DecodeVersionHistoryQuery(history).has_value());
}

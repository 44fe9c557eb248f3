#include "servers/relay/peer_update_channel.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coord/codec.h"
#include "core/random.h"
#include "tests/helpers/run_until.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::AsioExecutor;
using firefly::CustomerId;
using firefly::DecodeCrashSuspicions;
using firefly::DecodeFeedUpdate;
using firefly::DecodeForwarded;
using firefly::DecodeHostUsage;
using firefly::DecodeNotice;
using firefly::DecodeReadFailure;
using firefly::DecodeRoutingUpdate;
using firefly::DecodeStreamSend;
using firefly::DecodeTimeMessage;
using firefly::EncodeCrashSuspicions;
using firefly::EncodeFeedUpdate;
using firefly::EncodeForwarded;
using firefly::EncodeHostUsage;
using firefly::EncodeNotice;
using firefly::EncodeReadFailure;
using firefly::EncodeRoutingUpdate;
using firefly::EncodeStreamSend;
using firefly::EncodeTimeMessage;
using firefly::FeedUpdate;
using firefly::HostId;
using firefly::Incarnation;
using firefly::PeerTargets;
using firefly::PeerUpdateChannel;
using firefly::Random;
using firefly::SharedFeed;
using firefly::WallTime;
using firefly::coord::FeedProgress;
using firefly::coord::LogOffset;
using firefly::policy::BackendNotice;
using firefly::policy::CrashSuspicion;
using firefly::policy::CrashTrait;
using firefly::policy::HostUsage;
using firefly::policy::Tokens;
using firefly::policy::UsageCounter;
using firefly::policy::UsageWindow;
using firefly::testing::RunUntil;

TEST_GROUP(PeerUpdateChannelTest)
{
  FeedUpdate update{ .feed = SharedFeed::kRouting,
                     .progress = { .from = LogOffset(5),
                                   .next = LogOffset(9),
                                   .newRecords = {
                                     { "a", "one", LogOffset(6) },
                                     { "b", std::nullopt, LogOffset(7) } } } };
};

TEST(PeerUpdateChannelTest, DecodesAnEncodedFeedUpdate)
{
  const auto datagrams = EncodeFeedUpdate(update);
  LONGS_EQUAL(1, datagrams.size());
  const auto decoded = DecodeFeedUpdate(datagrams[0]);
  CHECK(decoded->feed == SharedFeed::kRouting);
  LONGS_EQUAL(5, decoded->progress.from.Value());
  LONGS_EQUAL(9, decoded->progress.next.Value());
  LONGS_EQUAL(2, decoded->progress.newRecords.size());
  STRCMP_EQUAL("one", decoded->progress.newRecords[0].value->c_str());
  CHECK_FALSE(decoded->progress.newRecords[1].value.has_value());
}

// An age that is understated makes an old table seem confirmed.
TEST(PeerUpdateChannelTest, StatesAnAgeOnlyWhereTheReadEnds)
{
  update.age = 2'000'001ns;
  CHECK(DecodeFeedUpdate(EncodeFeedUpdate(update)[0])->age == 3ms);
  update.age = std::chrono::hours(2);
  CHECK_FALSE(DecodeFeedUpdate(EncodeFeedUpdate(update)[0])->age.has_value());
  update.age.reset();
  CHECK_FALSE(DecodeFeedUpdate(EncodeFeedUpdate(update)[0])->age.has_value());
  update.age = 5ms;
  update.progress.newRecords.push_back(
    { "c", std::string(1395, 'x'), LogOffset(8) });
  const auto split = EncodeFeedUpdate(update);
  LONGS_EQUAL(1, split.size()); // "c" does not fit in any datagram
  CHECK_FALSE(DecodeFeedUpdate(split[0])->age.has_value());
  update.progress.newRecords.back().value = std::string(1375, 'x');
  const auto two = EncodeFeedUpdate(update);
  LONGS_EQUAL(2, two.size());
  CHECK_FALSE(DecodeFeedUpdate(two[0])->age.has_value());
  CHECK(DecodeFeedUpdate(two[1])->age == 5ms);
}

TEST(PeerUpdateChannelTest, IgnoresAFeedUpdateWithAnAgeOutOfRange)
{
  const auto whole = EncodeFeedUpdate(update).at(0);
  const auto head = whole.substr(0, whole.size() - 1);
  const auto withAge = [&](std::int64_t aAge) {
    return head + firefly::coord::FieldWriter().Signed(aAge).Take();
  };
  CHECK_TRUE(DecodeFeedUpdate(withAge(3'600'000)).has_value());
  CHECK_FALSE(DecodeFeedUpdate(withAge(3'600'001)).has_value());
  CHECK_FALSE(DecodeFeedUpdate(withAge(-2)).has_value());
  CHECK_FALSE(DecodeFeedUpdate(withAge(INT64_MAX)).has_value());
  CHECK_FALSE(DecodeFeedUpdate(head).has_value()); // no age
}

// A new fleet of 140 engines writes all its records at once. If they are not
// split into datagrams, each relay has to read them from the log itself.
TEST(PeerUpdateChannelTest, SplitsManyRecordsIntoSeveralDatagrams)
{
  FeedProgress sent{ .from = LogOffset(0),
                     .next = LogOffset(300),
                     .newRecords = {} };
  for (std::uint64_t i = 0; i < 140; ++i) {
    sent.newRecords.push_back(
      { "i-" + std::to_string(i), std::string(250, 'x'), LogOffset(2 * i) });
  }
  auto next = LogOffset(0);
  std::size_t records = 0;
  for (const auto& it : EncodeFeedUpdate({ .progress = sent })) {
    CHECK(it.size() <= 1400);
    const auto decoded = DecodeFeedUpdate(it);
    CHECK(decoded->progress.from == next);
    next = decoded->progress.next;
    for (const auto& record : decoded->progress.newRecords) {
      CHECK(record.offset < next);
      STRCMP_EQUAL(sent.newRecords[records].key.c_str(), record.key.c_str());
      ++records;
    }
  }
  LONGS_EQUAL(140, records);
  LONGS_EQUAL(300, next.Value());
}

TEST(PeerUpdateChannelTest, EndsAFeedUpdateBeforeARecordTooLargeForADatagram)
{
  auto& progress = update.progress;
  progress.newRecords.push_back({ "c", std::string(2000, 'x'), LogOffset(8) });
  const auto datagrams = EncodeFeedUpdate(update);
  LONGS_EQUAL(1, datagrams.size());
  const auto decoded = DecodeFeedUpdate(datagrams[0]);
  LONGS_EQUAL(2, decoded->progress.newRecords.size());
  LONGS_EQUAL(8, decoded->progress.next.Value());
  progress.newRecords.erase(progress.newRecords.begin(),
                            progress.newRecords.begin() + 2);
  const auto alone = DecodeFeedUpdate(EncodeFeedUpdate(update).at(0));
  LONGS_EQUAL(0, alone->progress.newRecords.size());
  LONGS_EQUAL(8, alone->progress.next.Value());
}

TEST(PeerUpdateChannelTest, DecodesAnEncodedRoutingUpdate)
{
  const auto bytes = EncodeRoutingUpdate(
    { .version = 11, .next = LogOffset(4), .bytes = 900, .host = "10.0.0.1" });
  const auto decoded = DecodeRoutingUpdate(bytes);
  LONGS_EQUAL(11, decoded->version);
  LONGS_EQUAL(4, decoded->next.Value());
  LONGS_EQUAL(900, decoded->bytes);
  STRCMP_EQUAL("10.0.0.1", decoded->host.c_str());
  CHECK_FALSE(DecodeFeedUpdate(bytes).has_value());
  CHECK_FALSE(DecodeNotice(bytes, firefly::Instant{}).has_value());
}

TEST(PeerUpdateChannelTest, SurvivesDamagedBytes)
{
  Random random(9);
  const auto whole = EncodeFeedUpdate(update).at(0);
  for (int i = 0; i < 5000; ++i) {
    auto bytes = whole.substr(0, random.Below(whole.size() + 1));
    if (!bytes.empty()) {
      bytes[random.Below(bytes.size())] = static_cast<char>(random.Below(256));
    }
    (void)DecodeFeedUpdate(bytes);
    (void)DecodeNotice(bytes, firefly::Instant{});
    (void)DecodeRoutingUpdate(bytes);
    (void)DecodeReadFailure(bytes);
    (void)DecodeStreamSend(bytes);
  }
}

TEST(PeerUpdateChannelTest, DecodesAnEncodedReadFailure)
{
  const auto bytes =
    EncodeReadFailure({ .feed = SharedFeed::kRouting, .host = "10.0.0.7" });
  const auto failure = DecodeReadFailure(bytes);
  CHECK(failure->feed == SharedFeed::kRouting);
  STRCMP_EQUAL("10.0.0.7", failure->host.c_str());
  CHECK_FALSE(DecodeNotice(bytes, firefly::Instant{}).has_value());
  CHECK_FALSE(DecodeReadFailure(EncodeFeedUpdate(update).at(0)).has_value());
}

TEST(PeerUpdateChannelTest, DecodesAnEncodedSendOfAStream)
{
  const firefly::policy::StreamSend sent{ .stream =
                                            firefly::policy::StreamHash(~0ULL),
                                          .version =
                                            firefly::policy::SoftwareVersion(7),
                                          .backend = 9,
                                          .hasBegun = true };
  const auto bytes = EncodeStreamSend(sent);
  const auto decoded = DecodeStreamSend(bytes);
  CHECK(decoded->stream == sent.stream);
  CHECK(decoded->version == sent.version);
  CHECK(decoded->backend == sent.backend);
  CHECK_TRUE(decoded->hasBegun);
  CHECK_FALSE(DecodeNotice(bytes, firefly::Instant{}).has_value());
  CHECK_FALSE(DecodeStreamSend(bytes + "x").has_value());
}

TEST(PeerUpdateChannelTest, DecodesAnEncodedNoticeWithItsLongestPrefixes)
{
  const BackendNotice sent{ .kind = BackendNotice::Kind::kPromptDispatched,
                            .backend = ~0ULL,
                            .uncached = Tokens(3720),
                            .prefixes = { 1, 2, 3, 4, 5, 6 } };
  const auto bytes = EncodeNotice(sent, firefly::Instant{});
  CHECK_FALSE(DecodeFeedUpdate(bytes).has_value());
  const auto notice = DecodeNotice(bytes, firefly::Instant{});
  CHECK(notice->kind == BackendNotice::Kind::kPromptDispatched);
  CHECK(notice->backend == ~0ULL);
  LONGS_EQUAL(3720, notice->uncached.Value());
  LONGS_EQUAL(4, notice->prefixes.size());
  CHECK(notice->prefixes.back() == 6);
  CHECK_FALSE(DecodeNotice(EncodeFeedUpdate(update).at(0), firefly::Instant{})
                .has_value());
}

TEST(PeerUpdateChannelTest, ANoticeOfARateLimitStatesItsAge)
{
  using firefly::policy::RequestRate;
  const firefly::Instant sentAt{ 50s };
  const firefly::Instant receivedAt{ 90s };
  BackendNotice sent{ .kind = BackendNotice::Kind::kRateLimit,
                      .backend = 5,
                      .limit = { .startedAt = 1771376889069,
                                 .rate = RequestRate(6.25),
                                 .heardAt = sentAt - 1500ms },
                      .places = 1 };
  const auto decoded = DecodeNotice(EncodeNotice(sent, sentAt), receivedAt);
  CHECK(decoded->kind == BackendNotice::Kind::kRateLimit);
  CHECK(decoded->backend == 5);
  CHECK(decoded->limit.startedAt == 1771376889069);
  CHECK(decoded->limit.rate == RequestRate(6.25));
  CHECK(decoded->limit.heardAt == receivedAt - 1500ms);
  LONGS_EQUAL(1, decoded->places);
  sent.limit.rate.reset();
  const auto ended = DecodeNotice(EncodeNotice(sent, sentAt), receivedAt);
  CHECK_FALSE(ended->limit.rate.has_value());
}

TEST(PeerUpdateChannelTest, DecodesCrashSuspicionsOfSeveralDatagrams)
{
  std::vector<CrashSuspicion> sent;
  for (std::uint32_t i = 0; i < 100; ++i) {
    sent.push_back({ .traits = { CrashTrait(i), CrashTrait(~0ULL) },
                     .clearances = i,
                     .crashes = 2,
                     .trials = 3,
                     .isContrasted = true });
  }
  const auto datagrams = EncodeCrashSuspicions(sent);
  CHECK(datagrams.size() > 1);
  std::vector<CrashSuspicion> received;
  for (const auto& it : datagrams) {
    CHECK(it.size() <= 1400);
    const auto decoded = DecodeCrashSuspicions(it);
    received.insert(received.end(), decoded->begin(), decoded->end());
  }
  LONGS_EQUAL(sent.size(), received.size());
  CHECK(received[99].traits == sent[99].traits);
  LONGS_EQUAL(99, received[99].clearances);
  LONGS_EQUAL(2, received[99].crashes);
  LONGS_EQUAL(3, received[99].trials);
  CHECK_TRUE(received[99].isContrasted);
}

TEST(PeerUpdateChannelTest, IgnoresDamagedCrashSuspicions)
{
  const auto bytes = EncodeCrashSuspicions(
    { { .traits = { CrashTrait(1), CrashTrait(2) }, .crashes = 1 } })[0];
  for (std::size_t n = 1; n < bytes.size(); ++n) {
    const auto decoded = DecodeCrashSuspicions(bytes.substr(0, n));
    CHECK(!decoded || decoded->empty());
  }
  CHECK_FALSE(
    DecodeCrashSuspicions(EncodeNotice({}, firefly::Instant{})).has_value());
}

TEST(PeerUpdateChannelTest, DecodesAForwardedDatagram)
{
  STRCMP_EQUAL("bytes", DecodeForwarded(EncodeForwarded("bytes"))->c_str());
  CHECK_FALSE(DecodeForwarded("bytes").has_value());
  CHECK_FALSE(
    DecodeNotice(EncodeForwarded("bytes"), firefly::Instant{}).has_value());
}

// A forwarder that passes an update on as it came hides the time for which it
// was stopped. Holds at any speed of the machine; the wait only makes sure that
// a missing rule shows, as it is longer than the allowance for the network.
TEST(PeerUpdateChannelTest, AForwardedUpdateSeemsNoNewerThanItsRead)
{
  constexpr std::uint16_t kPort = 27433;
  AsioExecutor sending;
  AsioExecutor forwarding;
  AsioExecutor receiving;
  std::optional<firefly::Instant> atForwarder;
  std::optional<firefly::Instant> atReceiver;
  const auto open = [&](AsioExecutor& aExecutor,
                        const std::string& aHost,
                        std::optional<firefly::Instant>& aReadAt,
                        const std::vector<std::string>& aDomainPeers) {
    auto channel = std::make_unique<PeerUpdateChannel>(
      PeerUpdateChannel::Options{
        .address = aHost, .port = kPort, .socketCheck = 1ms },
      aExecutor,
      PeerUpdateChannel::Handlers{
        .onFeedUpdate =
          [&aReadAt](const FeedUpdate& aUpdate) {
            aReadAt = aUpdate.progress.readAt;
          },
        .onReadFailure = {},
        .onRoutingUpdate = {},
        .onNotice = {},
        .onStreamSend = {},
        .onVersionQuery = {},
        .onVersionHistory = {},
        .onCrashSuspicions = {},
        .domainPeers = [aDomainPeers] { return aDomainPeers; } });
    CHECK_TRUE(channel->Start().has_value());
    return channel;
  };
  std::optional<firefly::Instant> unused;
  const auto sender = open(sending, "127.0.1.1", unused, {});
  const auto forwarder =
    open(forwarding, "127.0.1.2", atForwarder, { "127.0.1.3" });
  const auto receiver = open(receiving, "127.0.1.3", atReceiver, {});
  const auto readAt = sending.Now();
  update.progress.readAt = readAt;
  sender->Send(update, { .direct = {}, .forwarders = { "127.0.1.2" } });
  // The forwarder is stopped meanwhile.
  CHECK_TRUE(
    RunUntil(receiving, [&] { return receiving.Now() > readAt + 700ms; }));
  CHECK_TRUE(RunUntil(forwarding, [&] { return atForwarder.has_value(); }));
  CHECK_TRUE(RunUntil(receiving, [&] { return atReceiver.has_value(); }));
  CHECK_TRUE(*atForwarder <= readAt);
  CHECK_TRUE(*atReceiver <= readAt);
}

// One copy of a message crosses to another failure domain, where its receiver
// forwards it once to each of the others. An announcement of a routing table is
// not forwarded: the forwarder announces its own copy once it has fetched it.
TEST(PeerUpdateChannelTest, AForwarderSendsMessagesToItsDomain)
{
  AsioExecutor executor;
  constexpr std::uint16_t kPort = 27431;
  const std::vector<std::string> hosts{ "127.0.1.1", "127.0.1.2", "127.0.1.3" };
  std::map<std::string, int> received;
  std::map<std::string, int> announced;
  std::vector<std::unique_ptr<PeerUpdateChannel>> channels;
  for (const auto& host : hosts) {
    const auto count = [&received, host](const auto&) { received[host]++; };
    channels.push_back(std::make_unique<PeerUpdateChannel>(
      PeerUpdateChannel::Options{ .address = host, .port = kPort },
      executor,
      PeerUpdateChannel::Handlers{
        .onFeedUpdate = count,
        .onReadFailure = count,
        .onRoutingUpdate =
          [&announced, host](const auto&, bool aIsForwarder) {
            announced[host] += aIsForwarder ? 1 : 100;
          },
        .onNotice = count,
        .onStreamSend = count,
        .onVersionQuery = {},
        .onVersionHistory = {},
        .onCrashSuspicions = count,
        .domainPeers =
          [host] {
            return host == "127.0.1.2"
                     ? std::vector<std::string>{ "127.0.1.3" }
                     : std::vector<std::string>{ "127.0.1.2" };
          } }));
    CHECK_TRUE(channels.back()->Start().has_value());
  }
  const PeerTargets targets{ .direct = {}, .forwarders = { "127.0.1.2" } };
  channels[0]->Send(BackendNotice{ .backend = 7 }, targets);
  channels[0]->Send(update, targets);
  channels[0]->Send(firefly::ReadFailure{}, targets);
  channels[0]->Send(firefly::policy::StreamSend{}, targets);
  channels[0]->Send(
    firefly::RoutingUpdate{ .version = 3, .next = {}, .host = {} }, targets);
  CHECK_TRUE(RunUntil(
    executor,
    [&] { return received["127.0.1.3"] > 3; },
    std::chrono::seconds(2)));
  RunUntil(
    executor, [] { return false; }, std::chrono::seconds(1));
  LONGS_EQUAL(0, received["127.0.1.1"]);
  LONGS_EQUAL(4, received["127.0.1.2"]);
  LONGS_EQUAL(4, received["127.0.1.3"]);
  LONGS_EQUAL(1, announced["127.0.1.2"]);
  LONGS_EQUAL(0, announced["127.0.1.3"]);
}

// A relay without the duty must ignore their messages, and a malformed one must
// not be taken for counts.
TEST(PeerUpdateChannelTest, DecodesCountsAndTimes)
{
  const HostUsage usage{ .host = HostId("h"),
                         .incarnation = Incarnation(7),
                         .completeBefore = UsageWindow(9),
                         .windows = {
                           { .window = UsageWindow(9),
                             .total = 4,
                             .counts = { { CustomerId("c"), 3 } } } } };
  const auto bytes = EncodeHostUsage(usage);
  CHECK(DecodeHostUsage(bytes) == usage);
  CHECK_FALSE(DecodeHostUsage(bytes + "x").has_value());
  CHECK_FALSE(DecodeHostUsage(bytes.substr(0, bytes.size() - 1)).has_value());
  CHECK_FALSE(DecodeNotice(bytes, firefly::Instant{}).has_value());
  const auto time = EncodeTimeMessage(
    { .host = HostId("h"), .time = WallTime(std::chrono::seconds(5)) });
  CHECK(DecodeTimeMessage(time)->time == WallTime(std::chrono::seconds(5)));
  CHECK_FALSE(DecodeHostUsage(time).has_value());
}

// Limits of the page for a deployment with 88 customers: 1,200 bytes for a
// datagram, 3 KB/s for a host with the headers of UDP and IP. All customers
// have a request on the host between any two messages.
TEST(PeerUpdateChannelTest, CountsStayWithinTheirLimits)
{
  constexpr std::size_t kHeaderBytes = 28;
  UsageCounter counter({ .host = HostId("dinanath-fr-117"),
                         .incarnation = Incarnation(1'796'547'600'000) });
  std::size_t bytes = 0;
  constexpr int kCalls = 100;
  for (int call = 0; call < kCalls; ++call) {
    counter.Advance(UsageWindow(353'445'120 + call / 10));
    for (int i = 0; i < 88; ++i) {
      counter.Count(CustomerId("hule9" + std::to_string(10 + i)));
    }
    for (const auto& it : counter.TakeMessages()) {
      const auto datagram = EncodeHostUsage(it);
      CHECK_TRUE(datagram.size() <= 1200);
      bytes += datagram.size() + kHeaderBytes;
    }
  }
  // Twice a second to two relays.
  CHECK_TRUE(bytes * 4 / kCalls < 3000);
}

// With many customers, the counts need several datagrams. All of them must be
// sent well before the window closes.
TEST(PeerUpdateChannelTest, SplitsTheCountsOfManyCustomers)
{
  UsageCounter counter({ .host = HostId("h"), .incarnation = Incarnation(1) });
  counter.Advance(UsageWindow(353'445'120));
  for (int i = 0; i < 2000; ++i) {
    counter.Count(CustomerId("customer-" + std::to_string(i)));
  }
  std::set<CustomerId> sent;
  for (int call = 0; call < 3; ++call) {
    for (const auto& it : counter.TakeMessages()) {
      CHECK_TRUE(EncodeHostUsage(it).size() <= 1200);
      for (const auto& [customer, count] : it.windows.back().counts) {
        sent.insert(customer);
      }
    }
  }
  LONGS_EQUAL(2000, sent.size());
}

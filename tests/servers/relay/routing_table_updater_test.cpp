// Relays on a virtual clock that keep a large routing table current while an
// operator changes it many times in quick succession. Each has a slow link, the
// log has a limited rate of reading, and a share of the datagrams is lost.

#include "servers/relay/routing_table_updater.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/random.h"
#include "core/virtual_executor.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::BackendRecord;
using firefly::DecodeFeedUpdate;
using firefly::Duration;
using firefly::EncodeFeedUpdate;
using firefly::FeedUpdate;
using firefly::HttpCall;
using firefly::HttpClient;
using firefly::HttpStreamHandlers;
using firefly::HttpTransfer;
using firefly::HttpTransferPtr;
using firefly::Instant;
using firefly::MetricRegistry;
using firefly::Random;
using firefly::ReadInstant;
using firefly::RecordDecoder;
using firefly::RecordError;
using firefly::RelayMetrics;
using firefly::RoutingTablePeers;
using firefly::RoutingTableReplica;
using firefly::RoutingTableServer;
using firefly::RoutingTableUpdater;
using firefly::RoutingUpdate;
using firefly::SharedFeed;
using firefly::Timer;
using firefly::VirtualExecutor;
using firefly::coord::FeedProgress;
using firefly::coord::KeyedBatch;
using firefly::coord::KeyedLogClient;
using firefly::coord::KeyedReadTerms;
using firefly::coord::KeyedRecord;
using firefly::coord::LogError;
using firefly::coord::LogOffset;
using firefly::coord::NewestPage;
using firefly::coord::StreamName;
using firefly::policy::RoutingTable;
using firefly::policy::RoutingVersion;

namespace {

// A table of 1,051 routes.
constexpr std::size_t kTableBytes = 216'000;
// 10 Mbit/s.
constexpr double kLinkBytesPerSecond = 1.25e6;
constexpr double kLogBytesPerSecond = 80e6;
constexpr Duration kAnswerTime = std::chrono::milliseconds(4);
// A read of the log fails if it takes longer.
constexpr Duration kReadTimeout = std::chrono::milliseconds(1500);
constexpr Duration kAppendTime = std::chrono::milliseconds(13);
// Within which a change has to be in force.
constexpr Duration kApplyWithin = std::chrono::seconds(2);
// The same on deployments that have the largest tables.
constexpr Duration kApplyLargeWithin = std::chrono::seconds(3);
constexpr std::size_t kDomains = 3;
constexpr int kSpreadTargets = 8;

// Transfers that run one after the other.
class Link
{
public:
  explicit Link(double aBytesPerSecond)
    : mBytesPerSecond(aBytesPerSecond)
  {
  }

  // Returns when a transfer that begins at aStart ends.
  Instant Transfer(Instant aStart, std::size_t aBytes)
  {
    mFreeAt =
      std::max(mFreeAt, aStart) +
      firefly::FromSeconds(static_cast<double>(aBytes) / mBytesPerSecond);
    return mFreeAt;
  }

private:
  double mBytesPerSecond;
  Instant mFreeAt{};
};

// A record whose routes are the same in all versions, as an operator writes
// them.
std::string
MakeRecord(std::uint64_t aVersion, std::size_t aBytes)
{
  auto record = std::to_string(aVersion) + ";";
  Random random(1);
  while (record.size() < aBytes) {
    const auto number = std::to_string(random.Below(1'000'000'000));
    record += R"({"name":"r-)";
    record += number;
    record += R"(","host":"wura96.example","pathPrefix":"/)";
    record += number;
    record += R"(/","kind":"idempotent","timeoutMs":800,)"
              R"("targetLatencyMs":150,"priority":2,"service":"kase3b",)"
              R"("maxAttempts":2,"public":false,"sticky":false},)";
  }
  return record;
}

std::uint64_t
VersionOf(const std::string& aRecord)
{
  std::uint64_t version = 0;
  std::from_chars(aRecord.data(), aRecord.data() + aRecord.size(), version);
  return version;
}

class FakeDecoder : public RecordDecoder
{
public:
  [[nodiscard]] StreamName RoutingStream() const override
  {
    return StreamName("tables");
  }
  [[nodiscard]] std::string RoutingKey() const override { return "config"; }
  [[nodiscard]] StreamName BackendStream() const override { return {}; }
  [[nodiscard]] tl::expected<RoutingTable, RecordError> DecodeRouting(
    const std::string& aValue) const override
  {
    decoded++;
    return RoutingTable({ .version = RoutingVersion(VersionOf(aValue)),
                          .routes = {},
                          .services = {},
                          .limits = {} });
  }
  [[nodiscard]] tl::expected<BackendRecord, RecordError> DecodeBackend(
    const std::string& /*aKey*/,
    const std::string& /*aValue*/) const override
  {
    return tl::make_unexpected(RecordError{});
  }

  mutable int decoded = 0;
};

struct Log
{
  std::vector<KeyedRecord> records;
  Link reads{ kLogBytesPerSecond };
  int calls = 0;
};

class Deployment;

// One relay.
class Host
  : public KeyedLogClient
  , public HttpClient
  , public RoutingTablePeers
{
public:
  Host(Deployment& aDeployment, std::size_t aIndex);

  void ReadNewest(const StreamName& aStream,
                  const std::string& aAfterKey,
                  NewestCallback aCallback) override;
  void ReadFrom(const StreamName& aStream,
                LogOffset aFrom,
                const KeyedReadTerms& aTerms,
                BatchCallback aCallback) override;
  HttpTransferPtr Stream(HttpCall aCall, HttpStreamHandlers aHandlers) override;
  void ShareProgress(const FeedProgress& aProgress) override;
  void ShareReadFailure() override;
  void Announce(const RoutingUpdate& aUpdate, Audience aAudience) override;
  [[nodiscard]] std::size_t AnnouncementCount() const override;

  [[nodiscard]] std::uint64_t Version() const
  {
    const auto& table = replica.Current();
    return table ? table->Version().Value() : 0;
  }

  FakeDecoder decoder;
  RoutingTableReplica replica;
  RoutingTableServer server{ replica };
  Link link{ kLinkBytesPerSecond };
  std::unique_ptr<RoutingTableUpdater> updater;

private:
  // Runs the step once an answer of that size has crossed the log's and this
  // host's link, or the other one when that takes longer than a call may.
  void AnswerFromLog(std::size_t aBytes,
                     std::function<void()> aStep,
                     std::function<void()> aTimeout);

  Deployment& mDeployment;
  std::size_t mIndex;
  MetricRegistry mRegistry;
  RelayMetrics mMetrics{ mRegistry };
};

class Deployment
{
public:
  Deployment(std::size_t aHosts, std::uint64_t aSeed)
    : random(aSeed)
  {
    for (std::size_t i = 0; i < aHosts; ++i) {
      hosts.push_back(std::make_unique<Host>(*this, i));
    }
  }

  void Start()
  {
    for (const auto& it : hosts) {
      it->updater->Start();
    }
    After(500ms, [this] {
      for (const auto& it : hosts) {
        it->updater->Feed().SetPeerCount(hosts.size() - 1);
      }
    });
    executor.RunFor(3s);
  }

  void Put(std::size_t aBytes)
  {
    executor.RunFor(kAppendTime);
    log.records.push_back({ "config",
                            MakeRecord(++version, aBytes),
                            LogOffset(log.records.size()) });
  }

  // Returns how long it takes until all hosts have the newest table.
  Duration TimeUntilInForce(Duration aLimit)
  {
    const auto start = executor.Now();
    while (executor.Now() < start + aLimit && !IsInForce()) {
      executor.RunFor(5ms);
    }
    return executor.Now() - start;
  }

  [[nodiscard]] bool IsInForce() const
  {
    return std::ranges::all_of(
      hosts, [this](const auto& aHost) { return aHost->Version() == version; });
  }

  void After(Duration aDelay, std::function<void()> aStep)
  {
    timers.push_back(executor.RunAfter(aDelay, std::move(aStep)));
  }

  // Delivers a datagram, unless it is lost.
  void Deliver(std::function<void()> aStep)
  {
    if (random.Below(50) != 0) {
      After(std::chrono::milliseconds(1 + random.Below(4)), std::move(aStep));
    }
  }

  VirtualExecutor executor;
  Random random;
  Log log;
  std::uint64_t version = 0;
  std::vector<std::unique_ptr<Host>> hosts;
  std::deque<Timer> timers;
};

Host::Host(Deployment& aDeployment, std::size_t aIndex)
  : mDeployment(aDeployment)
  , mIndex(aIndex)
{
  updater = std::make_unique<RoutingTableUpdater>(
    RoutingTableUpdater::Options{ .feed = { .stream = {},
                                            .pause = 700ms,
                                            .maxSharedPause = 1100ms,
                                            .wait = 20s,
                                            .seed = aIndex + 1 },
                                  .statusPort = 1 },
    RoutingTableUpdater::Parts{ .executor = &aDeployment.executor,
                                .log = this,
                                .client = this,
                                .decoder = &decoder,
                                .replica = &replica,
                                .server = &server,
                                .peers = this,
                                .metrics = &mMetrics });
}

void
Host::AnswerFromLog(std::size_t aBytes,
                    std::function<void()> aStep,
                    std::function<void()> aTimeout)
{
  mDeployment.log.calls++;
  const auto now = mDeployment.executor.Now();
  const auto sent = mDeployment.log.reads.Transfer(now + kAnswerTime, aBytes);
  const auto received = link.Transfer(sent, aBytes);
  if (received - now > kReadTimeout) {
    mDeployment.After(kReadTimeout, std::move(aTimeout));
  } else {
    mDeployment.After(received - now, std::move(aStep));
  }
}

void
Host::ReadNewest(const StreamName& /*aStream*/,
                 const std::string& /*aAfterKey*/,
                 NewestCallback aCallback)
{
  const auto& records = mDeployment.log.records;
  NewestPage page;
  page.end = LogOffset(records.size());
  std::size_t bytes = 0;
  if (!records.empty()) {
    page.records.push_back(records.back());
    bytes = records.back().value->size() * 4 / 3; // base64
  }
  AnswerFromLog(
    bytes,
    [page, aCallback] { aCallback(page); },
    [aCallback] { aCallback(tl::make_unexpected(LogError{})); });
}

void
Host::ReadFrom(const StreamName& /*aStream*/,
               LogOffset aFrom,
               const KeyedReadTerms& aTerms,
               BatchCallback aCallback)
{
  const auto& records = mDeployment.log.records;
  KeyedBatch batch{ .records = {},
                    .next = aFrom,
                    .end = LogOffset(records.size()) };
  std::size_t bytes = 0;
  for (auto i = aFrom.Value(); i < records.size(); ++i) {
    const auto size = records[i].value->size();
    // The log answers with one record at least.
    if (bytes > 0 && bytes + size > aTerms.maxBytes) {
      break;
    }
    bytes += size;
    batch.records.push_back(records[i]);
    batch.next = LogOffset(i + 1);
  }
  AnswerFromLog(
    bytes,
    [batch, aCallback] { aCallback(batch); },
    [aCallback] { aCallback(tl::make_unexpected(LogError{})); });
}

HttpTransferPtr
Host::Stream(HttpCall aCall, HttpStreamHandlers aHandlers)
{
  class Transfer : public HttpTransfer
  {
  public:
    void Pause() override {}
    void Resume() override {}
  };
  // The hosts' addresses are their indices.
  std::size_t index = 0;
  const auto name = aCall.url.substr(std::string("http://").size());
  std::from_chars(name.data(), name.data() + name.size(), index);
  auto& peer = *mDeployment.hosts.at(index);
  const auto now = mDeployment.executor.Now();
  CHECK_TRUE(aCall.acceptsGzip);
  const auto answer =
    peer.server.Answer({ .method = "GET",
                         .path = "/routing",
                         .headers = { { "Accept-Encoding", "gzip" } } },
                       now);
  // The client decompresses what the server has compressed.
  const auto body = answer.status == 200 ? peer.replica.Record() : answer.body;
  const auto sent = peer.link.Transfer(now + kAnswerTime, answer.body.size());
  const auto received = link.Transfer(sent, answer.body.size());
  if (received - now > aCall.totalTimeout) {
    mDeployment.After(aCall.totalTimeout, [handlers = std::move(aHandlers)] {
      handlers.onDone(tl::make_unexpected(firefly::HttpError{}));
    });
  } else {
    mDeployment.After(
      received - now,
      [body, status = answer.status, handlers = std::move(aHandlers)] {
        handlers.onHead(status, {});
        handlers.onBody(body);
        handlers.onDone({});
      });
  }
  return std::make_unique<Transfer>();
}

void
Host::ShareProgress(const FeedProgress& aProgress)
{
  FeedUpdate update{ .feed = SharedFeed::kRouting, .progress = aProgress };
  if (aProgress.readAt) {
    update.age = mDeployment.executor.Now() - *aProgress.readAt;
  }
  for (const auto& datagram : EncodeFeedUpdate(update)) {
    const auto received = DecodeFeedUpdate(datagram);
    for (const auto& host : mDeployment.hosts) {
      if (host.get() == this) {
        continue;
      }
      mDeployment.Deliver([this, &host, received] {
        auto progress = received->progress;
        progress.readAt = ReadInstant(*received, mDeployment.executor.Now());
        host->updater->Feed().ApplyPeerProgress(progress);
      });
    }
  }
}

void
Host::ShareReadFailure()
{
  for (const auto& host : mDeployment.hosts) {
    if (host.get() != this) {
      mDeployment.Deliver([&host, name = std::to_string(mIndex)] {
        host->updater->Feed().OnPeerReadFailing(name);
      });
    }
  }
}

void
Host::Announce(const RoutingUpdate& aUpdate, Audience aAudience)
{
  auto update = aUpdate;
  update.host = std::to_string(mIndex);
  const auto& hosts = mDeployment.hosts;
  const auto send = [&](std::size_t aTo, bool aIsForwarder) {
    mDeployment.Deliver([&host = *hosts[aTo], update, aIsForwarder] {
      host.updater->OnAnnounced(update, aIsForwarder);
    });
  };
  // The hosts are in the failure domains in turn.
  if (aAudience == Audience::kSample) {
    const auto inDomain = (hosts.size() - mIndex % kDomains - 1) / kDomains + 1;
    for (int i = 0; i < kSpreadTargets; ++i) {
      const auto to =
        mIndex % kDomains + kDomains * mDeployment.random.Below(inDomain);
      if (to != mIndex) {
        send(to, false);
      }
    }
    return;
  }
  for (std::size_t i = mIndex % kDomains; i < hosts.size(); i += kDomains) {
    if (i != mIndex) {
      send(i, false);
    }
  }
  for (std::size_t i = 1; aAudience == Audience::kAll && i < kDomains; ++i) {
    const auto domain = (mIndex + i) % kDomains;
    const auto inDomain = (hosts.size() - domain - 1) / kDomains + 1;
    send(domain + kDomains * mDeployment.random.Below(inDomain), true);
  }
}

std::size_t
Host::AnnouncementCount() const
{
  const auto domain = mIndex % kDomains;
  return (mDeployment.hosts.size() - domain - 1) / kDomains + kDomains - 1;
}

// Plays 25 changes of a table within 2 s and returns how long the last one
// takes to be in force on all hosts.
Duration
PlayStorm(Deployment& aDeployment, std::size_t aBytes)
{
  constexpr int kChanges = 25;
  aDeployment.Put(aBytes);
  aDeployment.Start();
  CHECK_TRUE(aDeployment.IsInForce());
  for (int i = 0; i < kChanges; ++i) {
    aDeployment.Put(aBytes);
    if (i + 1 < kChanges) {
      aDeployment.executor.RunFor(80ms - kAppendTime);
    }
  }
  return aDeployment.TimeUntilInForce(10s);
}

double
Seconds(Duration aDuration)
{
  return firefly::ToSeconds(aDuration);
}

} // namespace

TEST_GROUP(RoutingTableUpdaterTest){};

// Guards against hosts that read all versions of a table that changes quickly,
// fall behind, and serve with a version that the operator replaced seconds ago.
TEST(RoutingTableUpdaterTest, ALargeTableThatChangesQuicklyIsInForceInTime)
{
  struct Size
  {
    std::size_t hosts;
    std::uint64_t seeds;
  };
  for (const auto& it : { Size{ 9, 40 }, Size{ 75, 10 }, Size{ 295, 2 } }) {
    Duration longest{};
    int calls = 0;
    for (std::uint64_t seed = 1; seed <= it.seeds; ++seed) {
      Deployment deployment(it.hosts, seed);
      longest = std::max(longest, PlayStorm(deployment, kTableBytes));
      calls = std::max(calls, deployment.log.calls);
    }
    std::printf("%zu hosts: in force within %.2f s, at most %d calls\n",
                it.hosts,
                Seconds(longest),
                calls);
    CHECK_TRUE(longest <= kApplyWithin);
  }
}

// Guards against transfers of a large table that are cut before their end and
// begin again, at all hosts at once, on links that they fill.
TEST(RoutingTableUpdaterTest,
     ATableThatFillsALinkForMostOfASecondIsInForceInTime)
{
  constexpr std::size_t kBytes = 830'000;
  for (const std::size_t hosts : { 9, 91, 295 }) {
    Duration longest{};
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      Deployment deployment(hosts, seed);
      deployment.Put(kTableBytes);
      deployment.Start();
      CHECK_TRUE(deployment.IsInForce());
      for (int i = 0; i < 2; ++i) {
        deployment.Put(kBytes);
        longest = std::max(longest, deployment.TimeUntilInForce(30s));
      }
    }
    std::printf("%zu hosts: in force within %.2f s\n", hosts, Seconds(longest));
    CHECK_TRUE(longest <= kApplyLargeWithin);
  }
}

// Guards against reads of the log that increase with the number of hosts on a
// calm day, on which the table is small and seldom changes.
TEST(RoutingTableUpdaterTest, HostsTogetherSeldomReadOnACalmDay)
{
  constexpr std::size_t kSmallTable = 6000;
  constexpr int kChanges = 6;
  struct Size
  {
    std::size_t hosts;
    // A tenth above the calls without the updates of this class, when each host
    // read on after a pause; measured with the same seed.
    int maxCalls;
  };
  for (const auto& [hosts, maxCalls] : { Size{ 9, 99 }, Size{ 75, 161 } }) {
    Deployment deployment(hosts, 1);
    deployment.Put(kSmallTable);
    deployment.Start();
    deployment.log.calls = 0;
    Duration longest{};
    for (int i = 0; i < kChanges; ++i) {
      deployment.Put(kSmallTable);
      longest = std::max(longest, deployment.TimeUntilInForce(10s));
      deployment.executor.RunFor(10s);
    }
    std::printf("%zu hosts: %d calls a minute, in force within %.2f s\n",
                hosts,
                deployment.log.calls,
                Seconds(longest));
    CHECK_TRUE(longest <= kApplyWithin);
    CHECK_TRUE(deployment.log.calls <= maxCalls);
  }
}

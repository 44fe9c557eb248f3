// Plays streams that break when many hosts end at once, while several software
// versions serve, and checks at which version the take-ups go on.

#include <algorithm>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/random.h"
#include "policy/stream_origin/stream_origin_tracker.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::BackendId;
using firefly::Duration;
using firefly::FromSeconds;
using firefly::Instant;
using firefly::Random;
using firefly::RequestId;
using firefly::ServiceId;
using firefly::ToSeconds;
using firefly::policy::LogPlace;
using firefly::policy::OriginSource;
using firefly::policy::SoftwareVersion;
using firefly::policy::SoftwareVersionOf;
using firefly::policy::StreamHashOf;
using firefly::policy::StreamOriginTracker;
using firefly::policy::StreamSend;

namespace {

const ServiceId kService("llm");
constexpr Duration kStep = 10ms;
// From the send of a stream to its first event, and to its end.
constexpr Duration kFirstEvent = 150ms;
constexpr Duration kStreamTime = 400ms;
constexpr Duration kRestart = 2s;

struct Options
{
  std::size_t hosts = 90;
  double streamsPerSecond = 250;
  // Part of the notices between hosts that are lost.
  double loss = 0.01;
  std::uint64_t seed = 1;
};

struct Counts
{
  int takenUp = 0;
  int wentOn = 0;
  // Went on at another version than the one that began the stream.
  int joined = 0;
};

class Deployment
{
public:
  explicit Deployment(Options aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.seed)
    , mHosts(aOptions.hosts)
  {
    for (std::size_t i = 0; i < mHosts.size(); ++i) {
      Start(i);
    }
  }

  // Replaces all servers by one set of each version, with equal shares.
  void Serve(const std::vector<std::string>& aVersions)
  {
    mVersions = aVersions;
    mLogEnd++;
    for (std::size_t i = 0; i < mHosts.size(); ++i) {
      LearnServers(i);
    }
  }

  void Play(Duration aTime)
  {
    for (const auto end = mNow + aTime; mNow < end; mNow += kStep) {
      for (double n = mOptions.streamsPerSecond * ToSeconds(kStep); n > 0;
           --n) {
        if (mRandom.Uniform() < n) {
          Begin();
        }
      }
      std::erase_if(mStreams, [this](const Stream& aStream) {
        return aStream.sentAt + kStreamTime < mNow;
      });
      while (!mEvents.empty() && mEvents.begin()->first <= mNow) {
        const auto run = mEvents.begin()->second;
        mEvents.erase(mEvents.begin());
        run();
      }
      for (auto& it : mHosts) {
        if (it.tracker && it.loadedAt <= mNow && it.cutUntil <= mNow) {
          Confirm(it, mNow - 800ms);
        }
      }
      if (mNow >= mAskAt) {
        AskForHistories();
      }
    }
  }

  // Restarts each host in turn, with the time between two starts, but for the
  // first one. No stream breaks.
  void RestartInTurn(Duration aGap)
  {
    for (std::size_t i = 1; i < mHosts.size(); ++i) {
      const auto isIts = [i](const auto& aStream) { return aStream.host == i; };
      std::erase_if(mStreams, isIts);
      mHosts[i].tracker.reset();
      Play(aGap);
      Start(i);
    }
  }

  // Cuts off a share of the hosts from the log and from each other. The others
  // go on, and so do all servers. Streams of the hosts that are not cut off
  // break some time into the cut, and are taken up at any host.
  void CutOff(double aShare, Duration aTime, Duration aBreakAfter)
  {
    for (std::size_t i = 0; i < mHosts.size(); ++i) {
      if (static_cast<double>(i) <
          aShare * static_cast<double>(mHosts.size())) {
        mHosts[i].cutUntil = mNow + aTime;
        mEvents.emplace(mHosts[i].cutUntil, [this, i] { Load(i); });
      }
    }
    mEvents.emplace(mNow + aBreakAfter, [this] {
      for (const auto& it : mStreams) {
        if (mHosts[it.host].cutUntil <= mNow &&
            mNow > it.sentAt + kFirstEvent) {
          TakeUp(it, mNow + FromSeconds(0.1 * mRandom.Uniform()));
        }
      }
    });
  }

  // Ends the host. The callers of its streams take them up at other hosts.
  void KillHost(std::size_t aHost)
  {
    KillThose([aHost](std::size_t aIndex) { return aIndex == aHost; });
  }

  // Ends a share of the hosts, which start again. The callers of their streams
  // take them up at other hosts.
  void Kill(double aShare)
  {
    KillThose([&](std::size_t aHost) {
      return static_cast<double>(aHost) <
             aShare * static_cast<double>(mHosts.size());
    });
  }

  [[nodiscard]] const Counts& Count() const { return mCounts; }
  // Notices between hosts, each counted once for all receivers.
  [[nodiscard]] int Notices() const { return mNotices; }

private:
  struct Host
  {
    std::unique_ptr<StreamOriginTracker> tracker;
    Instant loadedAt{};
    std::vector<std::string> versions;
    // Up to where it has processed the log.
    std::uint64_t place = 0;
    // It reaches neither the log nor other hosts before.
    Instant cutUntil{};
  };
  struct Stream
  {
    RequestId id;
    std::size_t host = 0;
    SoftwareVersion version;
    Instant sentAt{};
  };

  template<class Condition>
  void KillThose(const Condition& aIsKilled)
  {
    for (const auto& it : mStreams) {
      if (aIsKilled(it.host) && mNow > it.sentAt + kFirstEvent) {
        TakeUp(it, mNow + FromSeconds(0.1 + 3 * mRandom.Uniform()));
      }
    }
    std::erase_if(mStreams,
                  [&](const auto& aStream) { return aIsKilled(aStream.host); });
    for (std::size_t i = 0; i < mHosts.size(); ++i) {
      if (aIsKilled(i)) {
        mHosts[i].tracker.reset();
        mEvents.emplace(mNow + kRestart, [this, i] { Start(i); });
      }
    }
  }

  void Start(std::size_t aHost)
  {
    auto& host = mHosts[aHost];
    host.tracker = std::make_unique<StreamOriginTracker>();
    host.loadedAt = mNow + 300ms;
    host.versions.clear();
    mEvents.emplace(host.loadedAt, [this, aHost] { Load(aHost); });
  }

  void Load(std::size_t aHost)
  {
    auto& host = mHosts[aHost];
    if (!host.tracker || host.cutUntil > mNow) {
      return;
    }
    for (const auto& it : host.versions) {
      host.tracker->OnBackendGone(BackendId(it), mNow);
    }
    host.versions = mVersions;
    host.place = mLogEnd;
    for (const auto& it : host.versions) {
      host.tracker->OnBackend(
        BackendId(it), kService, SoftwareVersionOf(kService, it), mNow);
    }
  }

  // Hosts learn of changes within the time between their reads.
  void LearnServers(std::size_t aHost)
  {
    mEvents.emplace(mNow + FromSeconds(mRandom.Uniform()),
                    [this, aHost] { Load(aHost); });
  }

  // Hosts that need it ask two others for what they have known.
  void AskForHistories()
  {
    mAskAt = mNow + 500ms;
    for (auto& it : mHosts) {
      for (int n = 0; n < 2; ++n) {
        const auto& other = mHosts[mRandom.Below(mHosts.size())];
        if (!it.tracker || !it.tracker->NeedsHistory(mNow) || !other.tracker ||
            std::max(it.cutUntil, other.cutUntil) > mNow) {
          continue;
        }
        if (const auto history = other.tracker->History()) {
          it.tracker->TakeOver(*history, mNow);
        }
      }
    }
  }

  // A host that takes requests, or none if all are down.
  Host* PickHost(std::size_t& aIndex)
  {
    for (std::size_t n = 0; n < mHosts.size(); ++n) {
      aIndex = mRandom.Below(mHosts.size());
      auto& host = mHosts[aIndex];
      if (host.tracker && !host.versions.empty()) {
        return &host;
      }
    }
    return nullptr;
  }

  void Begin()
  {
    std::size_t index = 0;
    auto* host = PickHost(index);
    if (host == nullptr) {
      return;
    }
    const auto& name = host->versions[mRandom.Below(host->versions.size())];
    const Stream stream{ .id = RequestId("q" + std::to_string(++mNext)),
                         .host = index,
                         .version = SoftwareVersionOf(kService, name),
                         .sentAt = mNow };
    mStreams.push_back(stream);
    Send(*host, stream);
  }

  void Send(Host& aHost, const Stream& aStream)
  {
    const StreamSend send{ .stream = StreamHashOf(aStream.id),
                           .version = aStream.version,
                           .backend = 1 };
    if (!aHost.tracker->NeedsRecords(kService, mNow) ||
        !aHost.tracker->OnSend(send, mNow)) {
      return;
    }
    mNotices++;
    for (std::size_t i = 0; i < mHosts.size(); ++i) {
      const bool isCut = std::max(aHost.cutUntil, mHosts[i].cutUntil) > mNow;
      if (mRandom.Uniform() >= mOptions.loss && !isCut) {
        mEvents.emplace(mNow + kStep, [this, i, send] {
          if (mHosts[i].tracker) {
            mHosts[i].tracker->OnSend(send, mNow);
          }
        });
      }
    }
  }

  void TakeUp(const Stream& aStream, Instant aAt)
  {
    mEvents.emplace(aAt, [this, stream = aStream] {
      std::size_t index = 0;
      auto* host = PickHost(index);
      if (host == nullptr) {
        return;
      }
      mCounts.takenUp++;
      if (!Decide(index, stream, mNow)) {
        // The host reads the log.
        mEvents.emplace(mNow + 2 * kStep, [this, index, stream, at = mNow] {
          auto& reader = mHosts[index];
          if (reader.tracker && reader.cutUntil <= mNow) {
            Load(index);
            Confirm(reader, at);
            Decide(index, stream, at);
          }
        });
      }
    });
  }

  // Lets the host decide about a take-up that arrived at the instant. Returns
  // false if the log must be read first.
  bool Decide(std::size_t aHost, const Stream& aStream, Instant aArrival)
  {
    const auto origin = mHosts[aHost].tracker->OriginOf(
      kService, StreamHashOf(aStream.id), aArrival, mNow);
    if (origin.source == OriginSource::kRecorded ||
        origin.source == OriginSource::kOnlyVersion) {
      mCounts.wentOn++;
      mCounts.joined += origin.version == aStream.version ? 0 : 1;
    }
    return origin.source != OriginSource::kUnconfirmed;
  }

  static void Confirm(Host& aHost, Instant aAt)
  {
    aHost.tracker->OnConfirmed(
      { .readAt = aAt, .unchangedUntil = aAt, .place = LogPlace(aHost.place) });
  }

  Options mOptions;
  Random mRandom;
  Instant mNow{ 1000s };
  std::vector<std::string> mVersions;
  std::vector<Host> mHosts;
  std::vector<Stream> mStreams;
  std::multimap<Instant, std::function<void()>> mEvents;
  std::uint64_t mNext = 0;
  std::uint64_t mLogEnd = 0;
  Instant mAskAt{};
  int mNotices = 0;
  Counts mCounts;
};

void
Report(const char* aWhat, const Counts& aCounts)
{
  std::printf("%s: %d taken up, %d went on, %d joined\n",
              aWhat,
              aCounts.takenUp,
              aCounts.wentOn,
              aCounts.joined);
}

} // namespace

TEST_GROUP(StreamOriginLoadTest){};

// Guards against messages and records in a deployment with one version.
TEST(StreamOriginLoadTest, NothingIsAnnouncedWhileOneVersionServes)
{
  Deployment deployment({});
  deployment.Serve({ "v1" });
  deployment.Play(18s);
  const int before = deployment.Notices();
  deployment.Play(10s);
  LONGS_EQUAL(before, deployment.Notices());
  deployment.Kill(0.35);
  deployment.Play(5s);
  const auto& count = deployment.Count();
  Report("one version", count);
  CHECK_TRUE(count.takenUp > 12);
  LONGS_EQUAL(0, count.joined);
  CHECK_TRUE(count.wentOn * 2 >= count.takenUp);
}

// The users' rules: of the streams that are taken up, none may be joined from
// two versions, and at least half go on.
TEST(StreamOriginLoadTest, TakeUpsOfEndedHostsGoOnAtTheirOwnVersion)
{
  for (const std::size_t versions : { 2, 3 }) {
    Deployment deployment({ .loss = 0.05, .seed = versions });
    deployment.Serve({ "v1" });
    deployment.Play(20s);
    deployment.Serve(versions == 2
                       ? std::vector<std::string>{ "v1", "v2" }
                       : std::vector<std::string>{ "v1", "v2", "v3" });
    deployment.Play(2s);
    for (int i = 0; i < 5; ++i) {
      deployment.Kill(0.35);
      deployment.Play(6s);
    }
    const auto& count = deployment.Count();
    Report("a third of the hosts", count);
    CHECK_TRUE(count.takenUp > 50);
    LONGS_EQUAL(0, count.joined);
    CHECK_TRUE(count.wentOn * 2 >= count.takenUp);
  }
}

// Guards against streams that are joined from two versions when all hosts end
// at once and the old servers leave before the hosts are back.
TEST(StreamOriginLoadTest, NoStreamIsJoinedWhenAllHostsEndAtOnce)
{
  Deployment deployment({ .streamsPerSecond = 500 });
  deployment.Serve({ "v1" });
  deployment.Play(20s);
  for (int i = 2; i < 5; ++i) {
    deployment.Serve({ "v" + std::to_string(i - 1), "v" + std::to_string(i) });
    deployment.Play(6s);
    deployment.Kill(1);
    deployment.Serve({ "v" + std::to_string(i) });
    deployment.Play(8s);
  }
  const auto& count = deployment.Count();
  Report("all hosts", count);
  CHECK_TRUE(count.takenUp > 50);
  LONGS_EQUAL(0, count.joined);
}

// Guards against hosts that were restarted for a release of their own and then
// refuse the streams of the one that was not, while one version of the servers
// has served all the time (review/7).
TEST(StreamOriginLoadTest, StreamsGoOnAfterRestartsOfTheHosts)
{
  for (const std::size_t hosts : { 4, 30 }) {
    Deployment deployment(
      { .hosts = hosts, .streamsPerSecond = 125 * static_cast<double>(hosts) });
    deployment.Serve({ "v1" });
    deployment.Play(20s);
    deployment.RestartInTurn(hosts == 4 ? 1s : 300ms);
    deployment.Play(1s);
    deployment.KillHost(0);
    deployment.Play(4s);
    const auto& count = deployment.Count();
    Report("restarts in turn", count);
    CHECK_TRUE(count.takenUp >= 12);
    LONGS_EQUAL(0, count.joined);
    CHECK_TRUE(count.wentOn * 2 >= count.takenUp);
  }
}

// Guards against hosts that are out of step for a few seconds while a new
// version joins, and continue its streams at the version that they know.
TEST(StreamOriginLoadTest, HostsThatAreCutOffForSecondsJoinNoStream)
{
  for (const auto cut : { 1500ms, 2000ms, 2700ms, 3500ms }) {
    Deployment deployment({ .hosts = 30, .streamsPerSecond = 500 });
    deployment.Serve({ "v1" });
    deployment.Play(20s);
    deployment.CutOff(0.34, cut, cut - 200ms);
    deployment.Serve({ "v1", "v2" });
    deployment.Play(6s);
    const auto& count = deployment.Count();
    Report("hosts cut off", count);
    CHECK_TRUE(count.takenUp > 50);
    LONGS_EQUAL(0, count.joined);
    CHECK_TRUE(count.wentOn * 2 >= count.takenUp);
  }
}

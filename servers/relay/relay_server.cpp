#include "servers/relay/relay_server.h"

#include <algorithm>
#include <utility>

#include "coord/keyed_feed.h"
#include "servers/relay/fact_exchange.h"
#include "servers/relay/peer_group.h"
#include "servers/relay/relay.h"
#include "servers/relay/role_keeper.h"
#include "servers/relay/routing_borrower.h"
#include "servers/status/status_server.h"

namespace firefly {

namespace {

constexpr Duration kDrainPoll = std::chrono::milliseconds(50);
// Left at the end of the stop's grace for the process to end by itself.
constexpr Duration kStopMargin = std::chrono::milliseconds(400);
// Between two reads of the routing table's stream, and the longest time while
// other relays tell of their reads. A change has to be in force within 2 s.
constexpr Duration kRoutingPause = std::chrono::milliseconds(700);
constexpr Duration kSharedRoutingPause = std::chrono::milliseconds(1100);
// A caller that acknowledges nothing for so long is gone.
constexpr Duration kCallerSilence = std::chrono::milliseconds(2000);
// A backend server that does is; shorter, since what was sent to it can be read
// elsewhere. Two lost packets in a row are resent within 600 ms.
constexpr Duration kBackendSilence = std::chrono::milliseconds(700);
constexpr std::chrono::seconds kProbeAfter{ 1 };
// Between two reads that peers' versions cause.
constexpr Duration kRefreshPause = std::chrono::milliseconds(300);
// The same for large tables; what one takes over a link of 10 Mbit/s, and some.
constexpr Duration kLargeRefreshPause = std::chrono::milliseconds(1000);
// What one relay may be asked for by all others at once: 1.2 s of such a link.
constexpr std::uint64_t kLentAtOnce = 1'500'000; // bytes

Incarnation
NewIncarnation(const Executor& aExecutor)
{
  const auto now = aExecutor.WallNow().time_since_epoch().count();
  return Incarnation(static_cast<std::uint64_t>(now));
}

LivenessOptions
Liveness(Duration aSilence)
{
  return { .unacknowledged = aSilence, .probeAfter = kProbeAfter };
}

// Passes the records of one stream on, and says when the log is away.
class FeedListener : public coord::KeyedFeedObserver
{
public:
  struct Handlers
  {
    std::function<bool(const coord::KeyedRecord&)> onRecord;
    std::function<void(const coord::FeedProgress&)> onProgress;
    std::function<void(const std::vector<std::string>&)> onSnapshot;
    std::function<void()> onRegained;
  };

  FeedListener(std::string aName, Handlers aHandlers)
    : mName(std::move(aName))
    , mHandlers(std::move(aHandlers))
  {
  }

  bool OnRecord(const coord::KeyedRecord& aRecord) override
  {
    return mHandlers.onRecord(aRecord);
  }
  void OnProgress(const coord::FeedProgress& aProgress) override
  {
    mHandlers.onProgress(aProgress);
  }
  void OnSnapshot(const std::vector<std::string>& aKeys) override
  {
    mLog.Info("feed loaded",
              { { "feed", mName }, { "keys", std::to_string(aKeys.size()) } });
    mHandlers.onSnapshot(aKeys);
  }
  void OnLost(const coord::LogError& aError) override
  {
    mLog.Warning("log lost", { { "feed", mName }, { "why", aError.message } });
  }
  void OnRegained(Duration aAway) override
  {
    mLog.Info(
      "log regained",
      { { "feed", mName }, { "away_s", std::to_string(ToSeconds(aAway)) } });
    mHandlers.onRegained();
  }

private:
  std::string mName;
  Handlers mHandlers;
  Log mLog{ "feed" };
};

} // namespace

class RelayServer::Impl
{
public:
  Impl(const Parts& aParts, const RelaySettings& aSettings)
    : mParts(aParts)
    , mExecutor(*aParts.executor)
    , mSettings(aSettings)
    , mIncarnation(NewIncarnation(mExecutor))
    , mSeed(policy::MixHash(policy::StableHash(aSettings.host.Value()),
                            mIncarnation.Value()))
    , mMetrics(mRegistry)
    , mPool(mExecutor, { .liveness = Liveness(kBackendSilence) })
    , mDirectory({ .capacities = aSettings.capacities },
                 mExecutor,
                 mFleet,
                 mPool)
    , mRelay({ .self = aSettings.host,
               .incarnation = mIncarnation,
               .seed = mSeed,
               .domain = aSettings.domain,
               .farCost = aSettings.farCost,
               .queueBound = aSettings.queueBound },
             { .executor = &mExecutor,
               .dialect = aParts.dialect,
               .pool = &mPool,
               .directory = &mDirectory,
               .fleet = &mFleet,
               .routing = &mRouting,
               .metrics = &mMetrics,
               .announce =
                 [this](const policy::BackendNotice& aNotice) {
                   mFacts.Tell(aNotice, mPeers.Confidants());
                 } })
    , mPeers(
        { .host = aSettings.host,
          .domain = aSettings.domain,
          .address = aSettings.callers.host,
          .port = aSettings.peerPort,
          .seeds = aSettings.peerSeeds,
          .incarnation = mIncarnation,
          .interval = aSettings.peerInterval,
          .seed = mSeed },
        mExecutor,
        mRelay.Router(),
        [this](std::uint64_t aVersion, const std::string& aHost) {
          HearOfRouting({ .version = aVersion, .next = {}, .host = aHost });
        },
        [this](std::size_t aOthers) {
          mRoutingFeed.Share(aOthers);
          mBackendFeed.Share(aOthers);
        })
    , mBorrower(*aParts.client,
                [this](const std::string& aRecord) {
                  if (TakeRoutingRecord(aRecord, "peer")) {
                    mRoutingFeed.Skip(mRoutingNext);
                  }
                })
    , mFacts({ .address = aSettings.callers.host, .port = aSettings.factPort },
             mExecutor,
             { .onProgress =
                 [this](const SharedProgress& aShared) {
                   auto& feed = aShared.feed == SharedFeed::kRouting
                                  ? mRoutingFeed
                                  : mBackendFeed;
                   feed.Offer(aShared.progress);
                 },
               .onRouting =
                 [this](const RoutingNews& aNews) { HearOfRouting(aNews); },
               .onNotice =
                 [this](const policy::BackendNotice& aNotice) {
                   HearNotice(aNotice);
                 } })
    , mRoles({ .host = aSettings.host,
               .incarnation = mIncarnation,
               .plan = { .promptShare = aSettings.promptShare },
               .lease = aSettings.lease,
               .authorityChart = aParts.authorityChart,
               .backendChart = aParts.backendChart,
               .seed = mSeed + 2 },
             { .executor = &mExecutor,
               .log = aParts.streams,
               .dialect = aParts.dialect,
               .pool = &mPool,
               .directory = &mDirectory,
               .fleet = &mFleet,
               .rank = [this] { return mPeers.Rank(); },
               .hadTraffic = [this] { return mRelay.HadTraffic(); } })
    , mCallers(mExecutor,
               { .address = aSettings.callers.host,
                 .port = aSettings.callers.port,
                 .maxConnections = aSettings.maxConnections,
                 .liveness = Liveness(kCallerSilence),
                 .limits = {} },
               mRelay)
    , mStatus(mExecutor,
              { .address = aSettings.status.host,
                .port = aSettings.status.port,
                .ready = [this] { return WhyNotReady(); },
                .handler =
                  [this](const HttpRequest& aRequest,
                         const HttpResponderPtr& aResponder) {
                    AnswerPeer(aRequest, *aResponder);
                  } },
              mRegistry)
    , mRoutingListener("routing", RoutingHandlers())
    , mBackendListener("backends", BackendHandlers())
    , mRoutingFeed({ .stream = aParts.decoder->RoutingStream(),
                     .pause = kRoutingPause,
                     .sharedPause = kSharedRoutingPause,
                     .wait = aSettings.routingWait,
                     .seed = mSeed },
                   mExecutor,
                   *aParts.log,
                   mRoutingListener)
    , mBackendFeed({ .stream = aParts.decoder->BackendStream(),
                     .pause = aSettings.backendPoll,
                     .sharedPause = aSettings.sharedPoll,
                     .wait = aSettings.backendPoll,
                     .seed = mSeed + 1 },
                   mExecutor,
                   *aParts.log,
                   mBackendListener)
  {
    mRouting.OnChange([this](const policy::RoutingTable& aTable) {
      mPeers.SetRouting(aTable.Version().Value());
      const auto& limits = aTable.Limits();
      mCallers.SetLimits({ .maxHeadBytes = limits.maxHeadBytes,
                           .maxBodyBytes = limits.maxBodyBytes,
                           .headTimeout = limits.headTimeout,
                           .idleTimeout = limits.idleTimeout });
    });
    mRegistry.OnExpose([this] { SetGauges(); });
  }

  tl::expected<void, RelayServerError> Start()
  {
    if (const auto opened = mCallers.Start(); !opened) {
      return tl::make_unexpected(RelayServerError{ opened.error().message });
    }
    if (const auto opened = mStatus.Start(); !opened) {
      return tl::make_unexpected(RelayServerError{ opened.error().message });
    }
    if (const auto opened = mPeers.Start(); !opened) {
      return tl::make_unexpected(RelayServerError{ opened.error().message });
    }
    if (const auto opened = mFacts.Start(); !opened) {
      return tl::make_unexpected(RelayServerError{ opened.error().message });
    }
    mRoutingFeed.Start();
    mBackendFeed.Start();
    mRoles.Start();
    mLog.Info("started",
              { { "host", mSettings.host.Value() },
                { "callers", mSettings.callers.Text() },
                { "incarnation", std::to_string(mIncarnation.Value()) } });
    return {};
  }

  void Reload(const RelaySettings& aSettings)
  {
    mSettings.unreadyGrace = aSettings.unreadyGrace;
    mSettings.stopGrace = aSettings.stopGrace;
    mRoles.SetPlan({ .promptShare = aSettings.promptShare });
    StartLog(aSettings.log);
    mLog.Info("settings reloaded", { { "host", mSettings.host.Value() } });
  }

  void Drain(std::function<void()> aDone)
  {
    if (mDraining) {
      return;
    }
    mDraining = true;
    mDrainStart = mExecutor.Now();
    mDrained = std::move(aDone);
    mCallers.Retire();
    mRoles.Stop();
    mLog.Info("stopping", { { "live", std::to_string(mRelay.Live()) } });
    WatchDrain();
  }

private:
  FeedListener::Handlers RoutingHandlers()
  {
    return {
      .onRecord =
        [this](const coord::KeyedRecord& aRecord) {
          return TakeRouting(aRecord);
        },
      .onProgress =
        [this](const coord::FeedProgress& aProgress) {
          mFacts.Tell({ .feed = SharedFeed::kRouting, .progress = aProgress },
                      mPeers.Others());
          if (!aProgress.news.empty()) {
            mFacts.Tell({ .version = mRouting.Current()->Version().Value(),
                          .next = aProgress.next,
                          .bytes = mRouting.Record().size(),
                          .host = {} },
                        mPeers.Others());
          }
        },
      .onSnapshot = [](const std::vector<std::string>&) {},
      .onRegained = [] {},
    };
  }

  FeedListener::Handlers BackendHandlers()
  {
    return {
      .onRecord =
        [this](const coord::KeyedRecord& aRecord) {
          return TakeBackend(aRecord);
        },
      .onProgress =
        [this](const coord::FeedProgress& aProgress) {
          mFacts.Tell({ .feed = SharedFeed::kBackends, .progress = aProgress },
                      mPeers.Others());
        },
      .onSnapshot =
        [this](const std::vector<std::string>& aKeys) {
          mDirectory.KeepOnly(aKeys);
        },
      .onRegained =
        [this] {
          mDirectory.OnLogRegained();
          // Its read may hang on a connection that the outage has killed.
          mRoutingFeed.Refresh();
        },
    };
  }

  // A peer has a newer table. It is fetched from that peer: the log may not
  // answer this process, and each call to it is paid for. One that is too large
  // for a host's link, as all others ask at the same moment, comes from the
  // log.
  void HearOfRouting(const RoutingNews& aNews)
  {
    const auto& table = mRouting.Current();
    const auto here = table ? table->Version().Value() : 0;
    const auto now = mExecutor.Now();
    if (aNews.version <= here || now < mNextRefresh) {
      return;
    }
    const auto bytes =
      std::max<std::uint64_t>(aNews.bytes, mRouting.Record().size());
    const bool fromLog =
      bytes * mPeers.Others().size() > kLentAtOnce && !mRoutingFeed.Lost();
    mLog.Info("a peer has a newer routing table",
              { { "version", std::to_string(aNews.version) },
                { "here", std::to_string(here) },
                { "bytes", std::to_string(bytes) },
                { "peer", aNews.host },
                { "from", fromLog ? "log" : "peer" } });
    if (fromLog) {
      mNextRefresh = now + kLargeRefreshPause;
      mRoutingFeed.Refresh();
      return;
    }
    mNextRefresh = now + kRefreshPause;
    mRoutingNext = aNews.next;
    mBorrower.Ask(aNews.host + ":" + std::to_string(mSettings.status.port));
  }

  void HearNotice(const policy::BackendNotice& aNotice)
  {
    const auto slot = mFleet.SlotOfHash(aNotice.backend);
    if (slot && aNotice.kind == policy::BackendNotice::Kind::kSilent) {
      mLog.Info("a peer found a backend server silent",
                { { "backend", mFleet.At(*slot).id.Value() } });
    }
    mRelay.Router().OnPeerNotice(aNotice, mExecutor.Now());
  }

  // What peers ask of the status port.
  void AnswerPeer(const HttpRequest& aRequest, HttpResponder& aResponder) const
  {
    constexpr int kNotFound = 404;
    if (aRequest.path != kRoutingPath || mRouting.Record().empty()) {
      aResponder.Send(MakeProblem(kNotFound, "Not Found", aRequest.path));
      return;
    }
    aResponder.Send(
      { .contentType = "application/octet-stream", .body = mRouting.Record() });
  }

  bool TakeRouting(const coord::KeyedRecord& aRecord)
  {
    if (aRecord.key != mParts.decoder->RoutingKey() || !aRecord.value) {
      return false;
    }
    return TakeRoutingRecord(*aRecord.value, "log");
  }

  bool TakeRoutingRecord(const std::string& aRecord, const std::string& aSource)
  {
    auto table = mParts.decoder->DecodeRouting(aRecord);
    if (!table) {
      mLog.Warning("routing record ignored",
                   { { "source", aSource }, { "why", table.error().message } });
      return false;
    }
    mRouting.Offer(std::move(*table), aSource, aRecord);
    return true;
  }

  bool TakeBackend(const coord::KeyedRecord& aRecord)
  {
    if (!aRecord.value) {
      return mDirectory.Remove(BackendId(aRecord.key));
    }
    const auto record =
      mParts.decoder->DecodeBackend(aRecord.key, *aRecord.value);
    if (!record) {
      mLog.Warning(
        "backend record ignored",
        { { "backend", aRecord.key }, { "why", record.error().message } });
      return mDirectory.Remove(BackendId(aRecord.key));
    }
    return mDirectory.Apply(*record);
  }

  [[nodiscard]] std::string WhyNotReady() const
  {
    if (mDraining) {
      return "stopping";
    }
    if (!mRouting.Current()) {
      return "no routing table yet";
    }
    return mBackendFeed.Loaded() ? "" : "no backend servers read yet";
  }

  void WatchDrain()
  {
    const auto passed = mExecutor.Now() - mDrainStart;
    if (passed >= mSettings.unreadyGrace) {
      // The balancer has noticed; a request that came now could outlast us.
      mRelay.Close();
      mCallers.CloseIdle();
    }
    const bool ended = mCallers.Busy() == 0 && mRelay.Live() == 0;
    if ((ended && passed >= mSettings.unreadyGrace) ||
        passed >= mSettings.stopGrace - kStopMargin) {
      mPeers.Leave();
      mLog.Info("stopped", { { "live", std::to_string(mRelay.Live()) } });
      mDrained();
      return;
    }
    mDrainTimer = mExecutor.RunAfter(kDrainPoll, [this] { WatchDrain(); });
  }

  void SetGauges()
  {
    const auto now = mExecutor.Now();
    const auto age = [now](const coord::KeyedFeed& aFeed) {
      return aFeed.Loaded() ? ToSeconds(now - aFeed.Heard()) : -1.0;
    };
    mMetrics.live.With({}).Set(static_cast<double>(mRelay.Live()));
    mMetrics.queued.With({}).Set(static_cast<double>(mRelay.Router().Queued()));
    mMetrics.connections.With({ "callers" })
      .Set(static_cast<double>(mCallers.Connections()));
    mMetrics.connections.With({ "backends-idle" })
      .Set(static_cast<double>(mPool.Idle()));
    mMetrics.backends.With({}).Set(static_cast<double>(mDirectory.Size()));
    mMetrics.feedAge.With({ "routing" }).Set(age(mRoutingFeed));
    mMetrics.feedAge.With({ "backends" }).Set(age(mBackendFeed));
    mMetrics.ready.With({}).Set(WhyNotReady().empty() ? 1 : 0);
    if (const auto& table = mRouting.Current()) {
      mMetrics.routingVersion.With({}).Set(
        static_cast<double>(table->Version().Value()));
    }
  }

  Parts mParts;
  AsioExecutor& mExecutor;
  RelaySettings mSettings;
  Incarnation mIncarnation;
  std::uint64_t mSeed;
  Log mLog{ "server" };
  MetricRegistry mRegistry;
  RelayMetrics mMetrics;
  policy::FleetView mFleet;
  RoutingKeeper mRouting;
  BackendPool mPool;
  BackendDirectory mDirectory;
  Relay mRelay;
  PeerGroup mPeers;
  RoutingBorrower mBorrower;
  FactExchange mFacts;
  RoleKeeper mRoles;
  CallerServer mCallers;
  StatusServer mStatus;
  FeedListener mRoutingListener;
  FeedListener mBackendListener;
  coord::KeyedFeed mRoutingFeed;
  coord::KeyedFeed mBackendFeed;
  Instant mNextRefresh{};
  // Where the record ends that is being fetched from a peer.
  coord::LogOffset mRoutingNext;
  bool mDraining = false;
  Instant mDrainStart{};
  std::function<void()> mDrained;
  Timer mDrainTimer;
};

RelayServer::RelayServer(const Parts& aParts, const RelaySettings& aSettings)
  : mImpl(std::make_unique<Impl>(aParts, aSettings))
{
}

RelayServer::~RelayServer() = default;

tl::expected<void, RelayServerError>
RelayServer::Start()
{
  return mImpl->Start();
}

void
RelayServer::Reload(const RelaySettings& aSettings)
{
  mImpl->Reload(aSettings);
}

void
RelayServer::Drain(std::function<void()> aDone)
{
  mImpl->Drain(std::move(aDone));
}

} // namespace firefly

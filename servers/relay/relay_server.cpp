#include "servers/relay/relay_server.h"

#include <algorithm>
#include <utility>

#include "coord/keyed_feed.h"
#include "servers/relay/confirmation_waiter.h"
#include "servers/relay/feed_listener.h"
#include "servers/relay/peer_group.h"
#include "servers/relay/peer_update_channel.h"
#include "servers/relay/relay.h"
#include "servers/relay/relay_duties.h"
#include "servers/relay/role_order_issuer.h"
#include "servers/relay/routing_table_updater.h"
#include "servers/relay/staleness_monitor.h"
#include "servers/relay/version_history_exchange.h"
#include "servers/status/status_server.h"
#include "servers/tunnel/server_reach_monitor.h"
#include "servers/tunnel/tunnel_server.h"

namespace firefly {

namespace {

constexpr Duration kDrainPoll = std::chrono::milliseconds(50);
// Requests that are live at this time before the end of the stop grace are
// answered without their backend servers.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(500);
// Reserved at the end of the stop grace for the process to exit by itself.
constexpr Duration kStopMargin = std::chrono::milliseconds(300);
// Time between two reads of the routing table's stream, and the maximum time
// while other relays share their reads. A change has to be in force within 2 s.
constexpr Duration kRoutingReadInterval = std::chrono::milliseconds(700);
constexpr Duration kMaxSharedRoutingReadInterval =
  std::chrono::milliseconds(1100);
// How many relays a relay tells of a routing table that spreads from host to
// host.
constexpr std::size_t kSpreadTargets = 8;
// A caller whose host acknowledges no data for this long is considered gone.
constexpr Duration kCallerAckTimeout = std::chrono::milliseconds(2000);
// The same for backend servers. It is shorter, since a request can be sent to
// another backend server, but long enough for two lost packets in a row, which
// are resent within 600 ms.
constexpr Duration kBackendAckTimeout = std::chrono::milliseconds(700);
constexpr std::chrono::seconds kKeepAliveProbeDelay{ 1 };
// Interval at which the socket for updates is checked; up to this time is added
// to a peer's age. It is shorter where the staleness of the routing table is
// bounded.
constexpr Duration kSocketCheck = std::chrono::milliseconds(250);
constexpr Duration kStrictSocketCheck = std::chrono::milliseconds(100);

// Streams can be resumed for at least this long after their beginning.
constexpr Duration kMinStreamLifetime = std::chrono::seconds(10);
// Interval at which it is noted how current the known backend servers are.
constexpr Duration kBackendConfirmation = std::chrono::milliseconds(500);
// Number of relays that are asked at a time which versions they have known.
constexpr std::size_t kVersionSources = 2;

// Descriptors that are reserved for files, and the fraction of the others that
// callers may use. The rest is for backend servers, peers and the log.
constexpr std::size_t kReservedDescriptors = 200;
constexpr double kCallerDescriptorShare = 0.75;

std::size_t
MaxCallerConnections(const RelaySettings& aSettings)
{
  const auto free =
    aSettings.maxDescriptors -
    std::min(kReservedDescriptors, aSettings.maxDescriptors / 2);
  return std::min(aSettings.maxConnections,
                  static_cast<std::size_t>(kCallerDescriptorShare *
                                           static_cast<double>(free)));
}

std::shared_ptr<MemoryBudget>
MakeCallerMemory(const RelaySettings& aSettings)
{
  return std::make_shared<MemoryBudget>(static_cast<std::size_t>(
    aSettings.callerMemoryShare * static_cast<double>(aSettings.memoryBytes)));
}

Incarnation
NewIncarnation(const Executor& aExecutor)
{
  const auto now = aExecutor.WallNow().time_since_epoch().count();
  return Incarnation(static_cast<std::uint64_t>(now));
}

// A relay reads the routing table's stream by itself once its confirmation is
// older than this. Between two relays that share their reads, confirmations
// were up to 2.0 s old, and a forwarder adds 0.5 s. With two thirds of the
// bound, 3 s of 4.5 s, they cause no extra reads, and 1.5 s are left for the
// read.
Duration
ConfirmWithin(const RelaySettings& aSettings)
{
  const auto bound = aSettings.stalenessBound.value_or(aSettings.changeBound);
  return bound * 2 / 3;
}

LivenessOptions
MakeLivenessOptions(Duration aSilence)
{
  return { .ackTimeout = aSilence, .keepAliveIdle = kKeepAliveProbeDelay };
}

} // namespace

class RelayServer::Impl
  : private RoutingTablePeers
  , private VersionHistoryPeers
  , private ReachDirectory
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
    , mCallerMemory(MakeCallerMemory(aSettings))
    , mReach(
        mExecutor,
        { .reach = { .seed = mSeed + 3 }, .tunnelPort = aSettings.peerPort },
        *this,
        mRegistry)
    , mTunnelServer(
        mExecutor,
        { .address = aSettings.callers.host, .port = aSettings.peerPort },
        mReach)
    , mPool(mExecutor,
            { .liveness = MakeLivenessOptions(kBackendAckTimeout),
              .path = &mReach })
    , mBackendRegistry({ .capacities = aSettings.capacities },
                       mExecutor,
                       mFleet,
                       mPool)
    , mRelay(
        { .self = aSettings.host,
          .incarnation = mIncarnation,
          .seed = mSeed,
          .domain = aSettings.domain,
          .crossDomainPenalty = aSettings.crossDomainPenalty,
          .queueBound = aSettings.queueBound,
          .stalenessBound = aSettings.stalenessBound,
          .retryAllowance = aSettings.retryAllowance,
          .changeBound = aSettings.changeBound },
        { .executor = &mExecutor,
          .dialect = aParts.dialect,
          .pool = &mPool,
          .backendRegistry = &mBackendRegistry,
          .fleet = &mFleet,
          .routing = &mRouting,
          .metrics = &mMetrics,
          .memory = mCallerMemory,
          .streamOrigins = &mStreamOrigins,
          .awaitBackends =
            [this](Instant aAsOf, std::function<void()> aDone) {
              mConfirmationWaiter.Await(aAsOf, std::move(aDone));
            },
          .announceStreamSend =
            [this](const policy::StreamSend& aSend) {
              mPeerUpdates.Send(aSend, AllPeers());
            },
          .announce =
            [this](const policy::BackendNotice& aNotice) {
              if (IsKnownHereOnly(aNotice)) {
                return;
              }
              mPeerUpdates.Send(aNotice, AllPeers());
            },
          .linkState = [this] { return mReach.Link(); },
          .announceCrashSuspicions =
            [this](const std::vector<policy::CrashSuspicion>& aChanges) {
              LogCrashSuspicions(aChanges);
              mPeerUpdates.Send(aChanges, AllPeers());
            },
          .tableConfirmedAt =
            [this] { return mTableUpdater.Feed().ConfirmedAt(); },
          .logAwaySince = [this] { return mTableUpdater.Feed().AwaySince(); },
          .confirmTable = [this] { mTableUpdater.Feed().ConfirmSoon(); },
          .onRequestStarted =
            [this](const CustomerId& aCustomer) {
              if (mDuties) {
                mDuties->Usage().OnRequestStarted(aCustomer);
              }
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
          mTableUpdater.OnAnnounced(
            { .version = aVersion, .next = {}, .host = aHost }, false);
        },
        [this](std::size_t aOthers) {
          mTableUpdater.Feed().SetPeerCount(aOthers);
          mBackendFeed.SetPeerCount(aOthers);
        })
    , mPeerUpdates(
        { .address = aSettings.callers.host,
          .port = aSettings.updatePort,
          .socketCheck =
            aSettings.stalenessBound ? kStrictSocketCheck : kSocketCheck },
        mExecutor,
        { .onFeedUpdate =
            [this](const FeedUpdate& aUpdate) {
              FeedOf(aUpdate.feed).ApplyPeerProgress(aUpdate.progress);
            },
          .onReadFailure =
            [this](const ReadFailure& aFailure) {
              FeedOf(aFailure.feed).OnPeerReadFailing(aFailure.host);
            },
          .onRoutingUpdate =
            [this](const RoutingUpdate& aUpdate, bool aIsForwarder) {
              mTableUpdater.OnAnnounced(aUpdate, aIsForwarder);
            },
          .onNotice =
            [this](const policy::BackendNotice& aNotice) {
              HandlePeerNotice(aNotice);
            },
          .onStreamSend =
            [this](const policy::StreamSend& aSend) {
              mStreamOrigins.OnSend(aSend, mExecutor.Now());
            },
          .onVersionQuery =
            [this](const VersionHistoryQuery& aQuery) {
              mVersionExchange.OnQuery(aQuery);
            },
          .onVersionHistory =
            [this](const policy::VersionHistory& aHistory) {
              mVersionExchange.OnHistory(aHistory);
            },
          .onCrashSuspicions =
            [this](const std::vector<policy::CrashSuspicion>& aSuspicions) {
              mRelay.Router().OnPeerCrashSuspicions(aSuspicions,
                                                    mExecutor.Now());
            },
          .onHostUsage =
            [this](const policy::HostUsage& aUsage) {
              if (mDuties) {
                mDuties->Usage().OnHostUsage(aUsage);
              }
            },
          .onTime =
            [this](const TimeMessage& aMessage) {
              if (mDuties) {
                mDuties->Usage().OnTime(aMessage);
              }
            },
          .domainPeers = [this] { return mPeers.DomainPeerAddresses(); } })
    , mRoleOrderIssuer(
        { .host = aSettings.host,
          .incarnation = mIncarnation,
          .plan = { .prefillShare = aSettings.prefillShare },
          .lease = aSettings.lease,
          .authorityChart = aParts.authorityChart,
          .backendChart = aParts.backendChart,
          .seed = mSeed + 2 },
        { .executor = &mExecutor,
          .log = aParts.streamLog,
          .dialect = aParts.dialect,
          .pool = &mPool,
          .backendRegistry = &mBackendRegistry,
          .fleet = &mFleet,
          .rank = [this] { return mPeers.Rank(); },
          .loadsOf =
            [this](const ModelId& aModel) {
              return mRelay.Router().LoadsOf(aModel, mExecutor.Now());
            },
          .hasRoutedRequest = [this] { return mRelay.HasRoutedRequest(); } })
    , mCallers(mExecutor,
               { .address = aSettings.callers.host,
                 .port = aSettings.callers.port,
                 .maxConnections = MaxCallerConnections(aSettings),
                 .memory = mCallerMemory,
                 .liveness = MakeLivenessOptions(kCallerAckTimeout),
                 .limits = {} },
               mRelay)
    , mStatus(mExecutor,
              { .address = aSettings.status.host,
                .port = aSettings.status.port,
                .ready = [this] { return NotReadyReason(); },
                .handler =
                  [this](const HttpRequest& aRequest,
                         const HttpResponderPtr& aResponder) {
                    aResponder->Send(
                      mRoutingServer.Answer(aRequest, mExecutor.Now()));
                  } },
              mRegistry)
    , mBackendListener("backends", BackendHandlers())
    , mTableUpdater({ .feed = { .stream = {},
                                .pause = kRoutingReadInterval,
                                .maxSharedPause = kMaxSharedRoutingReadInterval,
                                .wait = aSettings.routingWait,
                                .confirmWithin = ConfirmWithin(aSettings),
                                .seed = mSeed },
                      .statusPort = aSettings.status.port },
                    { .executor = &mExecutor,
                      .log = aParts.keyedLog,
                      .client = aParts.client,
                      .decoder = aParts.decoder,
                      .replica = &mRouting,
                      .server = &mRoutingServer,
                      .peers = this,
                      .metrics = &mMetrics })
    , mBackendFeed({ .stream = aParts.decoder->BackendStream(),
                     .pause = aSettings.backendPoll,
                     .maxSharedPause = aSettings.sharedPoll,
                     .wait = aSettings.backendPoll,
                     .seed = mSeed + 1 },
                   mExecutor,
                   *aParts.keyedLog,
                   mBackendListener)
    , mConfirmationWaiter(
        { .seed = mSeed + 4 },
        { .executor = &mExecutor,
          .confirmedAt = [this] { return mBackendFeed.ConfirmedAt(); },
          .isLost = [this] { return mBackendFeed.Lost(); },
          .read = [this] { mBackendFeed.ReadAtOnce(); } })
    , mVersionExchange(mExecutor, mStreamOrigins, *this)
    , mStalenessMonitor({ .bound = aSettings.stalenessBound },
                        mExecutor,
                        [this] { return mTableUpdater.Feed().ConfirmedAt(); })
  {
    mRouting.OnChange([this](const policy::RoutingTable& aTable) {
      mPeers.SetRouting(aTable.Version().Value());
      // The tries of one caller take no longer than its deadline, which may be
      // a little later than the timeout.
      mStreamOrigins.SetStreamLifetime(
        std::max(kMinStreamLifetime, 2 * aTable.LongestStreamTimeout()));
      const auto& limits = aTable.Limits();
      mCallers.SetLimits({ .maxHeadBytes = limits.maxHeadBytes,
                           .maxBodyBytes = limits.maxBodyBytes,
                           .headTimeout = limits.headTimeout,
                           .idleTimeout = limits.idleTimeout });
    });
    mBackendRegistry.ReportVersionsTo(mStreamOrigins);
    mBackendRegistry.OnVersionChange([this](const BackendId& aBackend) {
      mRelay.Router().OnVersionChanged(aBackend);
    });
    mRegistry.OnExpose([this] { SetGauges(); });
    if (mSettings.duties && mSettings.duties->usage) {
      mDuties.emplace(
        RelayDuties::Options{ .host = mSettings.host,
                              .incarnation = mIncarnation,
                              .settings = *mSettings.duties,
                              .authorityChart = aParts.authorityChart,
                              .backendChart = aParts.backendChart,
                              .seed = mSeed + 3 },
        RelayDuties::Parts{ .executor = &mExecutor,
                            .log = aParts.streamLog,
                            .client = aParts.dutyClient,
                            .peers = &mPeers,
                            .peerUpdates = &mPeerUpdates,
                            .metrics = &mMetrics });
    }
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
    if (const auto opened = mTunnelServer.Start(); !opened) {
      return tl::make_unexpected(RelayServerError{ opened.error() });
    }
    if (const auto opened = mPeerUpdates.Start(); !opened) {
      return tl::make_unexpected(RelayServerError{ opened.error().message });
    }
    mTableUpdater.Start();
    mBackendFeed.Start();
    mStalenessMonitor.Start();
    CheckBackends();
    mRoleOrderIssuer.Start();
    if (mDuties) {
      mDuties->Start();
    }
    mLog.Info("started",
              { { "host", mSettings.host.Value() },
                { "callers", mSettings.callers.ToString() },
                { "incarnation", std::to_string(mIncarnation.Value()) },
                { "caller_memory", std::to_string(mCallerMemory->Limit()) },
                { "caller_connections",
                  std::to_string(MaxCallerConnections(mSettings)) } });
    return {};
  }

  void Reload(const RelaySettings& aSettings)
  {
    mSettings.unreadyGrace = aSettings.unreadyGrace;
    mSettings.stopGrace = aSettings.stopGrace;
    mRoleOrderIssuer.SetPlan({ .prefillShare = aSettings.prefillShare });
    StartLog(aSettings.log);
    mLog.Info("settings reloaded", { { "host", mSettings.host.Value() } });
  }

  void Drain(std::function<void()> aDone)
  {
    if (mIsDraining) {
      return;
    }
    mIsDraining = true;
    mDrainStart = mExecutor.Now();
    mOnDrained = std::move(aDone);
    mCallers.CloseAfterAnswers();
    mRoleOrderIssuer.Stop();
    mLog.Info("stopping",
              { { "live", std::to_string(mRelay.LiveRequests()) } });
    CheckDrain();
  }

  [[nodiscard]] std::optional<Instant> RoutingConfirmedAt() const
  {
    return mTableUpdater.Feed().ConfirmedAt();
  }

private:
  // RoutingTablePeers:
  void ShareProgress(const coord::FeedProgress& aProgress) override
  {
    mPeerUpdates.Send({ .feed = SharedFeed::kRouting, .progress = aProgress },
                      AllPeers());
  }
  void ShareReadFailure() override
  {
    mPeerUpdates.Send(ReadFailure{ .feed = SharedFeed::kRouting, .host = {} },
                      AllPeers());
  }
  void Announce(const RoutingUpdate& aUpdate, Audience aAudience) override
  {
    mPeerUpdates.Send(aUpdate, TargetsOf(aAudience));
  }
  [[nodiscard]] PeerTargets TargetsOf(Audience aAudience)
  {
    switch (aAudience) {
      case Audience::kAll:
        return AllPeers();
      case Audience::kFailureDomain:
        return { .direct = mPeers.DomainPeerAddresses() };
      case Audience::kSample:
        return { .direct = mPeers.PickDomainPeers(kSpreadTargets) };
    }
    return {};
  }
  [[nodiscard]] std::size_t AnnouncementCount() const override
  {
    return mPeers.DomainPeerAddresses().size() + mPeers.FarDomainCount();
  }

  // ReachDirectory:
  [[nodiscard]] const std::vector<std::string>& Peers() const override
  {
    return mPeers.PeerAddresses();
  }
  [[nodiscard]] std::vector<BackendEndpoint> Backends() const override
  {
    std::vector<BackendEndpoint> backends;
    for (const auto& [id, record] : mBackendRegistry.Records()) {
      backends.push_back({ .id = id, .address = record.address });
    }
    return backends;
  }

  // Whether the notice says that a backend server is silent, which may only
  // seem so because this host has lost its own links.
  [[nodiscard]] bool IsKnownHereOnly(const policy::BackendNotice& aNotice) const
  {
    return aNotice.kind == policy::BackendNotice::Kind::kSilent &&
           mReach.IsInDoubt();
  }

  // VersionHistoryPeers:
  void AskForVersions() override
  {
    mPeerUpdates.AskForVersions(
      { .direct = mPeers.PickPeers(kVersionSources) });
  }
  void SendVersions(const policy::VersionHistory& aHistory,
                    const std::string& aHost) override
  {
    mPeerUpdates.Send(aHistory, { .direct = { aHost } });
  }

  FeedListener::Handlers BackendHandlers()
  {
    return {
      .onRecord =
        [this](const coord::KeyedRecord& aRecord) {
          return OnBackendRecord(aRecord);
        },
      .onProgress =
        [this](const coord::FeedProgress& aProgress) {
          mPeerUpdates.Send(
            { .feed = SharedFeed::kBackends, .progress = aProgress },
            AllPeers());
          OnBackendsRead();
        },
      .onBehind = [this] { mMetrics.feedCatchUps.With({ "backends" }).Add(); },
      .onReadFailing =
        [this] {
          mPeerUpdates.Send(
            ReadFailure{ .feed = SharedFeed::kBackends, .host = {} },
            AllPeers());
        },
      .onSnapshot =
        [this](const std::vector<std::string>& aKeys) {
          mBackendRegistry.RemoveAllExcept(aKeys);
          OnBackendsRead();
        },
      .onLost = [this] { mConfirmationWaiter.OnRead(); },
      .onRegained =
        [this] {
          mBackendRegistry.OnLogRegained();
          // The routing feed's read may hang on a connection that broke in the
          // outage.
          mTableUpdater.Feed().RefreshHangingRead();
        },
      .onRestored = [this] { OnLogRestored(); },
    };
  }

  void OnLogRestored()
  {
    mMetrics.logRestores.With({ "backends" }).Add();
    mBackendRegistry.OnLogRestored();
    mRoleOrderIssuer.OnLogRestored();
    if (mDuties) {
      mDuties->OnLogRestored();
    }
    // The routing feed would notice the restore only at its next read.
    mTableUpdater.Feed().Refresh();
  }

  void OnBackendsRead()
  {
    ConfirmBackends();
    mConfirmationWaiter.OnRead();
  }

  // Tells the tracker of streams up to when the backend servers are known.
  void ConfirmBackends()
  {
    const auto readAt = mBackendFeed.ConfirmedAt();
    if (!readAt) {
      return;
    }
    auto unchangedUntil = *readAt;
    if (const auto awaySince = mBackendFeed.AwaySince()) {
      // While no relay can read the log, there are no changes to miss.
      unchangedUntil =
        mExecutor.Now() - std::max(Duration::zero(), *awaySince - *readAt);
    }
    mStreamOrigins.OnConfirmed(
      { .readAt = *readAt,
        .unchangedUntil = unchangedUntil,
        .place = policy::LogPlace(mBackendFeed.Next().Value()) });
  }

  void CheckBackends()
  {
    ConfirmBackends();
    mVersionExchange.AskIfNeeded();
    mConfirmTimer =
      mExecutor.RunAfter(kBackendConfirmation, [this] { CheckBackends(); });
  }

  coord::KeyedFeed& FeedOf(SharedFeed aFeed)
  {
    return aFeed == SharedFeed::kRouting ? mTableUpdater.Feed() : mBackendFeed;
  }

  PeerTargets AllPeers()
  {
    return { .direct = mPeers.DomainPeerAddresses(),
             .forwarders = mPeers.PickForwarders() };
  }

  void HandlePeerNotice(const policy::BackendNotice& aNotice)
  {
    const auto slot = mFleet.SlotOfHash(aNotice.backend);
    if (slot && aNotice.kind == policy::BackendNotice::Kind::kSilent) {
      mLog.Info("a peer found a backend server silent",
                { { "backend", mFleet.At(*slot).id.Value() } });
    }
    const bool changed = mRelay.Router().OnPeerNotice(aNotice, mExecutor.Now());
    if (slot && changed) {
      const auto& rate = aNotice.limit.rate;
      mLog.Info(
        "a peer was told a rate limit",
        { { "backend", mFleet.At(*slot).id.Value() },
          { "per_second", rate ? std::to_string(rate->Value()) : "" } });
    }
  }

  // Logs what more than one crash has in common, and what was disproved.
  void LogCrashSuspicions(const std::vector<policy::CrashSuspicion>& aChanges)
  {
    for (const auto& it : aChanges) {
      if (it.crashes == 1 || (it.crashes == 0 && it.clearances == 0)) {
        continue;
      }
      std::string traits;
      for (const auto& trait : it.traits) {
        traits += (traits.empty() ? "" : ",") + std::to_string(trait.Value());
      }
      mLog.Info(it.crashes == 0 ? "crash suspicion disproved"
                                : "crash suspicion",
                { { "traits", traits },
                  { "crashes", std::to_string(it.crashes) },
                  { "trials", std::to_string(it.trials) },
                  { "disproved", std::to_string(it.clearances) } });
    }
  }

  bool OnBackendRecord(const coord::KeyedRecord& aRecord)
  {
    if (!aRecord.value) {
      return mBackendRegistry.Remove(BackendId(aRecord.key));
    }
    const auto record =
      mParts.decoder->DecodeBackend(aRecord.key, *aRecord.value);
    if (!record) {
      mLog.Warning(
        "invalid backend record; removing the backend server",
        { { "backend", aRecord.key }, { "why", record.error().message } });
      return mBackendRegistry.Remove(BackendId(aRecord.key));
    }
    return mBackendRegistry.Apply(*record);
  }

  [[nodiscard]] std::string NotReadyReason() const
  {
    if (mIsDraining) {
      return "stopping";
    }
    if (!mRouting.Current()) {
      return "no routing table yet";
    }
    return mBackendFeed.Loaded() ? "" : "no backend servers read yet";
  }

  void CheckDrain()
  {
    const auto passed = mExecutor.Now() - mDrainStart;
    if (passed >= mSettings.unreadyGrace) {
      // The load balancer has noticed by now. A request accepted from here on
      // might not end before the process does.
      mRelay.Close();
      mTunnelServer.Close();
      mCallers.CloseIdle();
    }
    if (passed >= mSettings.stopGrace - kAnswerMargin) {
      mRelay.EndRequests();
    }
    const bool ended =
      mCallers.BusyConnections() == 0 && mRelay.LiveRequests() == 0;
    if ((ended && passed >= mSettings.unreadyGrace) ||
        passed >= mSettings.stopGrace - kStopMargin) {
      if (mDuties) {
        mDuties->Stop();
      }
      mPeers.Leave();
      mLog.Info("stopped",
                { { "live", std::to_string(mRelay.LiveRequests()) } });
      mOnDrained();
      return;
    }
    mDrainTimer = mExecutor.RunAfter(kDrainPoll, [this] { CheckDrain(); });
  }

  void SetGauges()
  {
    const auto now = mExecutor.Now();
    const auto age = [now](const coord::KeyedFeed& aFeed) {
      return aFeed.Loaded() ? ToSeconds(now - aFeed.CurrentAt()) : -1.0;
    };
    mMetrics.recordedStreams.With({}).Set(
      static_cast<double>(mStreamOrigins.RecordedStreams()));
    mMetrics.live.With({}).Set(static_cast<double>(mRelay.LiveRequests()));
    mMetrics.queued.With({}).Set(static_cast<double>(mRelay.Router().Queued()));
    mMetrics.heldSuspicions.With({}).Set(static_cast<double>(
      mRelay.Router().Policies().crashCorrelator->HeldCount(now)));
    mMetrics.rateLimitedBackends.With({}).Set(static_cast<double>(
      mRelay.Router().Policies().rateLimiter->LimitCount()));
    mMetrics.connections.With({ "callers" })
      .Set(static_cast<double>(mCallers.Connections()));
    mMetrics.connections.With({ "backends-idle" })
      .Set(static_cast<double>(mPool.IdleCount()));
    mMetrics.connectionLimit.With({}).Set(
      static_cast<double>(MaxCallerConnections(mSettings)));
    const auto& memory = *mCallerMemory;
    mMetrics.callerMemoryLimit.With({}).Set(
      static_cast<double>(memory.Limit()));
    const auto setMemory = [&](const char* aUse, MemoryUse aKind) {
      mMetrics.callerMemory.With({ aUse }).Set(
        static_cast<double>(memory.Held(aKind)));
    };
    setMemory("input", MemoryUse::kInput);
    setMemory("requests", MemoryUse::kRequests);
    setMemory("answers", MemoryUse::kAnswers);
    mMetrics.backends.With({}).Set(
      static_cast<double>(mBackendRegistry.Size()));
    mMetrics.feedAge.With({ "routing" }).Set(age(mTableUpdater.Feed()));
    mMetrics.feedAge.With({ "backends" }).Set(age(mBackendFeed));
    const auto confirmationAge = [now](const coord::KeyedFeed& aFeed) {
      const auto at = aFeed.ConfirmedAt();
      return at ? ToSeconds(now - *at) : -1.0;
    };
    mMetrics.confirmationAge.With({ "routing" })
      .Set(confirmationAge(mTableUpdater.Feed()));
    mMetrics.tableBehind.With({}).Set(ToSeconds(mTableUpdater.BehindFor()));
    mMetrics.confirmationAge.With({ "backends" })
      .Set(confirmationAge(mBackendFeed));
    mMetrics.ready.With({}).Set(NotReadyReason().empty() ? 1 : 0);
    if (const auto& table = mRouting.Current()) {
      mMetrics.routingVersion.With({}).Set(
        static_cast<double>(table->Version().Value()));
      mMetrics.customers.With({}).Set(
        static_cast<double>(table->CustomerCount()));
      mMetrics.customerKeys.With({}).Set(
        static_cast<double>(table->KeyCount()));
    }
    if (mDuties) {
      mDuties->SetGauges();
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
  std::shared_ptr<MemoryBudget> mCallerMemory;
  policy::FleetView mFleet;
  policy::StreamOriginTracker mStreamOrigins;
  RoutingTableReplica mRouting;
  RoutingTableServer mRoutingServer{ mRouting };
  ServerReachMonitor mReach;
  TunnelServer mTunnelServer;
  BackendPool mPool;
  BackendRegistry mBackendRegistry;
  Relay mRelay;
  PeerGroup mPeers;
  PeerUpdateChannel mPeerUpdates;
  RoleOrderIssuer mRoleOrderIssuer;
  // Empty if the settings enable no duty.
  std::optional<RelayDuties> mDuties;
  CallerServer mCallers;
  StatusServer mStatus;
  FeedListener mBackendListener;
  RoutingTableUpdater mTableUpdater;
  coord::KeyedFeed mBackendFeed;
  ConfirmationWaiter mConfirmationWaiter;
  VersionHistoryExchange mVersionExchange;
  StalenessMonitor mStalenessMonitor;
  Timer mConfirmTimer;
  bool mIsDraining = false;
  Instant mDrainStart{};
  std::function<void()> mOnDrained;
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

std::optional<Instant>
RelayServer::RoutingConfirmedAt() const
{
  return mImpl->RoutingConfirmedAt();
}

} // namespace firefly

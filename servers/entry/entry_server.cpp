#include "servers/entry/entry_server.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "core/state_chart_loader.h"
#include "policy/policy_set.h"
#include "servers/entry/admin_handler.h"
#include "servers/entry/booking_report.h"
#include "servers/entry/caller_handler.h"
#include "servers/entry/dispatcher.h"
#include "servers/entry/entry_membership.h"
#include "servers/entry/fleet_view_updater.h"
#include "servers/entry/host_watcher.h"
#include "servers/entry/load_poller.h"
#include "servers/entry/operators_table_replica.h"
#include "servers/entry/plan_fetcher.h"
#include "servers/entry/plan_replica.h"
#include "servers/entry/plan_reporter.h"
#include "servers/entry/status_report.h"
#include "servers/http/http_client.h"
#include "servers/http/http_server.h"
#include "servers/ledger/ledger_client.h"
#include "servers/log/log.h"
#include "servers/platform/platform_options.h"
#include "servers/status/http_server_report.h"
#include "servers/status/status_server.h"

namespace firefly {

namespace {

constexpr std::size_t kMaxTraces = 4096;
constexpr long kMaxPooledConnections = 1024;
// Interval between checks whether the drain has ended, and between leave
// messages.
constexpr Duration kDrainPollInterval = std::chrono::milliseconds(50);
constexpr Duration kReadyPollInterval = std::chrono::milliseconds(100);
constexpr int kUnavailable = 503;
// How long a starting entry waits for the plan before it becomes ready without
// it.
constexpr Duration kMaxPlanWait = std::chrono::seconds(5);
constexpr int kLeaveMessageCount = 3;

Incarnation
NewIncarnation(const Executor& aExecutor)
{
  const auto now = aExecutor.WallNow().time_since_epoch().count();
  return Incarnation(static_cast<std::uint64_t>(now));
}

} // namespace

class EntryServer::Impl
{
public:
  Impl(AsioExecutor& aExecutor, const Settings& aSettings)
    : mExecutor(aExecutor)
    , mSettings(aSettings)
    , mIncarnation(NewIncarnation(aExecutor))
    , mSeed(mIncarnation.Value() ^
            policy::StableHash(aSettings.host.id.Value()))
    , mMetrics(mRegistry)
    , mTraces(kMaxTraces)
    , mClient(aExecutor, { .maxPooledConnections = kMaxPooledConnections })
    , mLogClient(mClient, LogOptionsOf(aSettings.platform))
    , mHostListClient(mClient, HostListOptionsOf(aSettings.platform))
    , mLedgerClient(aExecutor, LedgerOptions(aSettings, mIncarnation))
    , mFleetUpdater(aSettings)
    , mAdminHandler(mTraces)
  {
    AddProcessMetrics(mRegistry);
  }

  tl::expected<void, EntryError> Start()
  {
    return LoadCharts()
      .and_then([this] { return MakeDispatcher(); })
      .and_then([this] {
        MakeComponents();
        MakeHandlers();
        return OpenPorts();
      })
      .map([this] { StartTasks(); });
  }

  void Drain(std::function<void()> aOnDrained)
  {
    mLog.Info("leaving",
              { { "running", ToText(mCallerServer->RunningRequests()) } });
    mIsDraining = true;
    mOnDrained = std::move(aOnDrained);
    mDrainStartTime = mExecutor.Now();
    CheckReady();
    PollDrain();
  }

private:
  static std::string ToText(std::size_t aNumber)
  {
    return std::to_string(aNumber);
  }

  static LedgerClient::Options LedgerOptions(const Settings& aSettings,
                                             Incarnation aIncarnation)
  {
    LedgerClient::Options options;
    options.attemptPrefix =
      aSettings.host.id.Value() + "/" + std::to_string(aIncarnation.Value());
    options.partitions = aSettings.ledger.partitions;
    options.ledgers = LedgersOf(aSettings, {});
    return options;
  }

  // Returns the ledgers on the hosts of live entries, or on all entry hosts
  // while no entry is known to be live.
  static std::vector<LedgerAddress> LedgersOf(const Settings& aSettings,
                                              const std::vector<HostId>& aLive)
  {
    std::vector<LedgerAddress> ledgers;
    for (const auto& it : aSettings.peers) {
      const bool live =
        std::find(aLive.begin(), aLive.end(), it.id) != aLive.end();
      if (aLive.empty() || live) {
        ledgers.push_back(
          { .host = it.id, .address = it.address, .port = it.ledgerLinkPort });
      }
    }
    return ledgers;
  }

  tl::expected<void, EntryError> LoadCharts()
  {
    for (auto [name, chart] : { std::pair("request.toml", &mRequestChart),
                                std::pair("backend.toml", &mBackendChart) }) {
      auto loaded = LoadStateChart(mSettings.chartsDirectory / name);
      if (!loaded) {
        return tl::unexpected(EntryError{ loaded.error().message });
      }
      *chart = std::move(*loaded);
    }
    return {};
  }

  tl::expected<void, EntryError> MakeDispatcher()
  {
    const auto& host = mSettings.host;
    auto policies =
      policy::MakePolicySet(mSettings.policyName,
                            { .self = host.id,
                              .seed = mSeed,
                              .queueBound = mSettings.entry.queueBound,
                              .disabledParts = {} });
    if (!policies) {
      return tl::unexpected(EntryError{ policies.error().message });
    }
    mDispatcher = std::make_unique<Dispatcher>(
      Dispatcher::Options{
        .router = { .self = host.id, .incarnation = mIncarnation },
        .maxRequests = mSettings.entry.maxConcurrentStreams },
      mExecutor,
      std::move(*policies),
      mFleetUpdater.View());
    return {};
  }

  void MakeComponents()
  {
    const coord::WriterId writer("entry/" + mSettings.host.id.Value() + "/" +
                                 std::to_string(mIncarnation.Value()));
    auto& router = mDispatcher->Router();
    mMembership.emplace(
      EntryMembership::Options{
        .settings = &mSettings, .incarnation = mIncarnation, .seed = mSeed },
      mExecutor,
      router,
      EntryMembership::Handlers{
        .onPeerTableVersion =
          [this](const HostId& aPeer, TableVersion aVersion) {
            mTableReplica->OnPeerVersion(aPeer, aVersion);
          },
        .onLiveEntries =
          [this](const std::vector<HostId>& aEntries) {
            mDispatcher->Router().SetEntries(aEntries, mExecutor.Now());
            mLedgerClient.SetLedgers(LedgersOf(mSettings, aEntries));
          } });
    mTableReplica.emplace(
      OperatorsTableReplica::Options{
        .settings = &mSettings, .writer = writer, .seed = mSeed },
      mExecutor,
      mLogClient,
      mClient,
      [this](TableVersion aVersion, const auto& aRows) {
        mDispatcher->Router().Configure(aRows);
        mMembership->SetTableVersion(aVersion);
      });
    mPlanReplica.emplace(
      coord::AuthorityStream::Options{ .writer = writer,
                                       .backendChart = &*mBackendChart,
                                       .pollInterval =
                                         mSettings.platform.pollInterval,
                                       .seed = mSeed },
      mExecutor,
      mLogClient,
      mFleetUpdater,
      [this] { mPlanReporter->Report(); });
    mPlanFetcher.emplace(PlanFetcher::Options{ .settings = &mSettings },
                         mExecutor,
                         mClient,
                         *mPlanReplica);
    mPlanReporter.emplace(
      PlanReporter::Options{ .settings = &mSettings },
      mExecutor,
      [this] { return MakeReport(); },
      [this] { return LeadingSteward(); });
    mHostWatcher.emplace(
      HostWatcher::Options{ .settings = &mSettings },
      mExecutor,
      mHostListClient,
      HostWatcher::Handlers{
        .onLeaving =
          [this](std::set<BackendId> aLeaving) {
            mFleetUpdater.SetLeaving(std::move(aLeaving));
          },
        .onHostAddresses =
          [this](const std::vector<std::string>& aAddresses) {
            SetMembershipSeeds(aAddresses);
          } });
    mLoadPoller.emplace(LoadPoller::Options{ .settings = &mSettings },
                        mExecutor,
                        mClient,
                        router);
  }

  // Returns the host of the leading steward according to the log as read so
  // far, or nothing if no steward led or if the lease was released.
  std::optional<HostId> LeadingSteward() const
  {
    const auto& lease = mPlanReplica->Plan().Lease();
    if (!lease || lease->released) {
      return std::nullopt;
    }
    return lease->holder;
  }

  EntryReport MakeReport()
  {
    const auto now = mExecutor.Now();
    auto& router = mDispatcher->Router();
    EntryReport report{ .host = mSettings.host.id,
                        .incarnation = mIncarnation,
                        .planVersion = mPlanReplica->Version(),
                        .inFlight = mOutstanding.Running() };
    for (const auto& it : router.MakeDigest(now).models) {
      report.promptTokensPerSecond += it.promptTokensPerSecond;
      report.outputTokensPerSecond += it.outputTokensPerSecond;
    }
    return report;
  }

  void SetMembershipSeeds(const std::vector<std::string>& aAddresses)
  {
    std::vector<coord::PeerAddress> seeds;
    seeds.reserve(aAddresses.size());
    for (const auto& it : aAddresses) {
      seeds.push_back(MakePeerAddress(it, mSettings.host.gossipPort));
    }
    mMembership->SetSeeds(seeds);
  }

  void MakeHandlers()
  {
    const TaskContext context{ .executor = &mExecutor,
                               .client = &mClient,
                               .dispatcher = mDispatcher.get(),
                               .metrics = &mMetrics,
                               .outstanding = &mOutstanding,
                               .settings = &mSettings,
                               .lifecycle = { .chart = &*mRequestChart,
                                              .executor = &mExecutor,
                                              .metrics = &mMetrics,
                                              .traces = &mTraces } };
    const BookingTask::Ledger ledger{ .client = &mLedgerClient,
                                      .tracker = &mBookingTracker };
    mCallerHandler =
      std::make_unique<CallerHandler>(mSettings, context, ledger, mIncarnation);
    mTableAdmin.emplace(
      mSettings, mExecutor, mTableReplica->Store(), *mMembership);
    mTableReplica->SetAdmin(&*mTableAdmin);
    ServeAdmin();
    mRegistry.OnExpose(
      [this] { SetStatusGauges(MakeStatusSources(), mMetrics); });
  }

  // Answers a peer that has not read the plan from the log.
  void ServePlan(HttpResponder& aResponder) const
  {
    const auto plan = mPlanReplica->Encode();
    if (!plan) {
      aResponder.Send({ .status = kUnavailable, .headers = {}, .body = "{}" });
      return;
    }
    aResponder.Send({ .contentType = "application/octet-stream",
                      .headers = {},
                      .body = *plan });
  }

  void ServeAdmin()
  {
    mAdminHandler.AddHandler(
      "table", [this](const HttpRequest& aRequest, const auto& aResponder) {
        mTableAdmin->Handle(aRequest, [aResponder](HttpResponse aResponse) {
          aResponder->Send(std::move(aResponse));
        });
      });
    mAdminHandler.AddHandler(
      OperatorsTableReplica::kSnapshotName,
      [this](const HttpRequest&, const auto& aResponder) {
        mTableReplica->ServeSnapshot(*aResponder);
      });
    mAdminHandler.AddHandler(
      PlanFetcher::kPlanName,
      [this](const HttpRequest&, const auto& aResponder) {
        ServePlan(*aResponder);
      });
    mAdminHandler.AddHandler(
      "status", [this](const HttpRequest&, const auto& aResponder) {
        aResponder->Send(
          { .headers = {},
            .body = MakeStatusReport(MakeStatusSources(), mMetrics) });
      });
    mAdminHandler.AddHandler(
      "bookings", [this](const HttpRequest& aRequest, const auto& aResponder) {
        ShowBooking(aRequest, aResponder, mLedgerClient);
      });
  }

  StatusSources MakeStatusSources()
  {
    return { .settings = &mSettings,
             .incarnation = mIncarnation,
             .ready = mIsReady,
             .draining = mIsDraining,
             .table = mTableReplica->Version(),
             .plan = mPlanReplica->Version(),
             .members = mMembership->Members(),
             .tables = mMembership->TableMembers(),
             .fleet = &mFleetUpdater.View(),
             .router = &mDispatcher->Router(),
             .bookings = &mBookingTracker,
             .outstanding = &mOutstanding,
             .now = mExecutor.Now() };
  }

  tl::expected<void, EntryError> OpenPorts()
  {
    const auto& host = mSettings.host;
    const auto& entry = mSettings.entry;
    mCallerServer.emplace(
      mExecutor,
      HttpServer::Options{
        .address = host.address,
        .port = host.entryPort,
        .maxBodyBytes = entry.maxBodyBytes,
        .maxConnections = entry.maxConnections,
        .memoryBytes = entry.requestMemoryBytes,
        .onRefusal =
          [this](RefusalCause aCause) { mCallerReport.OnRefusal(aCause); },
        .readTimeout = entry.readTimeout },
      [this](const HttpRequest& aRequest, const HttpResponderPtr& aResponder) {
        mCallerHandler->Handle(aRequest, aResponder);
      });
    mCallerReport.Watch(*mCallerServer);
    mStatusServer.emplace(
      mExecutor,
      StatusServer::Options{
        .address = host.address,
        .port = host.entryAdminPort,
        .ready =
          [this] { return std::string(mIsReady ? "" : "takes no requests"); },
        .handler =
          [this](const HttpRequest& aRequest,
                 const HttpResponderPtr& aResponder) {
            mAdminHandler.Handle(aRequest, aResponder);
          } },
      mRegistry);
    if (const auto started = mStatusServer->Start(); !started) {
      return tl::unexpected(EntryError{ started.error().message });
    }
    if (const auto started = mCallerServer->Start(); !started) {
      return tl::unexpected(EntryError{ started.error().message });
    }
    if (const auto started = mMembership->Start(); !started) {
      return tl::unexpected(EntryError{ started.error().message });
    }
    return {};
  }

  void StartTasks()
  {
    mTableReplica->Start();
    mPlanReplica->Start();
    mPlanFetcher->Start();
    mPlanReporter->Report();
    mHostWatcher->Start();
    mLoadPoller->Start();
    CheckReady();
  }

  void CheckReady()
  {
    // An entry becomes ready for the first time only with a plan, unless
    // neither the log nor a peer provides one within kMaxPlanWait.
    const bool hasPlan =
      mPlanReplica->IsKnown() || mExecutor.Now() - mStartTime >= kMaxPlanWait;
    SetReady(!mIsDraining && mTableReplica->Ready() && (mIsReady || hasPlan));
    mReadyTimer =
      mExecutor.RunAfter(kReadyPollInterval, [this] { CheckReady(); });
  }

  void SetReady(bool aIsReady)
  {
    if (mIsReady == aIsReady) {
      return;
    }
    mIsReady = aIsReady;
    mMembership->SetReady(aIsReady);
    mLog.Info(aIsReady ? "ready" : "unready");
    if (!mIsDraining) {
      mCallerHandler->SetOpen(aIsReady);
    }
  }

  void PollDrain()
  {
    const auto waited = mExecutor.Now() - mDrainStartTime;
    // The entry accepts requests until the load balancer has had time to notice
    // that it is unready.
    if (waited >= mSettings.entry.unreadyGrace) {
      mCallerHandler->SetOpen(false);
    }
    const bool idle = waited >= mSettings.entry.unreadyGrace &&
                      mCallerServer->RunningRequests() == 0 &&
                      mBookingTracker.PendingRecordCalls() == 0;
    if (idle || waited >= mSettings.entry.drainTimeout) {
      Leave(kLeaveMessageCount);
      return;
    }
    mDrainTimer =
      mExecutor.RunAfter(kDrainPollInterval, [this] { PollDrain(); });
  }

  // Sends the leave message several times, since datagrams get lost.
  void Leave(int aRemaining)
  {
    if (aRemaining == 0) {
      mLog.Info("left",
                { { "running", ToText(mCallerServer->RunningRequests()) } });
      mCallerServer->Stop();
      mOnDrained();
      return;
    }
    mMembership->Leave();
    mDrainTimer = mExecutor.RunAfter(
      kDrainPollInterval, [this, aRemaining] { Leave(aRemaining - 1); });
  }

  AsioExecutor& mExecutor;
  const Settings& mSettings;
  Incarnation mIncarnation;
  std::uint64_t mSeed;
  Instant mStartTime = mExecutor.Now();
  Log mLog{ "entry" };
  MetricRegistry mRegistry;
  EntryMetrics mMetrics;
  HttpServerReport mCallerReport{ "callers", mRegistry, mExecutor };
  TraceRegistry mTraces;
  BookingTracker mBookingTracker;
  OutstandingAttempts mOutstanding;
  CurlClient mClient;
  HttpLogClient mLogClient;
  HostListClient mHostListClient;
  LedgerClient mLedgerClient;
  FleetViewUpdater mFleetUpdater;
  AdminHandler mAdminHandler;
  std::optional<StateChart> mRequestChart;
  std::optional<StateChart> mBackendChart;
  std::unique_ptr<Dispatcher> mDispatcher;
  std::optional<EntryMembership> mMembership;
  std::optional<OperatorsTableReplica> mTableReplica;
  std::optional<TableAdmin> mTableAdmin;
  std::optional<PlanReplica> mPlanReplica;
  std::optional<PlanFetcher> mPlanFetcher;
  std::optional<PlanReporter> mPlanReporter;
  std::optional<HostWatcher> mHostWatcher;
  std::optional<LoadPoller> mLoadPoller;
  std::unique_ptr<CallerHandler> mCallerHandler;
  std::optional<HttpServer> mCallerServer;
  std::optional<StatusServer> mStatusServer;
  bool mIsReady = false;
  bool mIsDraining = false;
  Instant mDrainStartTime{};
  std::function<void()> mOnDrained;
  Timer mDrainTimer;
  Timer mReadyTimer;
};

EntryServer::EntryServer(AsioExecutor& aExecutor, const Settings& aSettings)
  : mImpl(std::make_unique<Impl>(aExecutor, aSettings))
{
}

EntryServer::~EntryServer() = default;

tl::expected<void, EntryError>
EntryServer::Start()
{
  return mImpl->Start();
}

void
EntryServer::Drain(std::function<void()> aOnDrained)
{
  mImpl->Drain(std::move(aOnDrained));
}

} // namespace firefly

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
#include "servers/entry/fleet_keeper.h"
#include "servers/entry/host_watcher.h"
#include "servers/entry/load_poller.h"
#include "servers/entry/plan_borrower.h"
#include "servers/entry/plan_keeper.h"
#include "servers/entry/plan_reporter.h"
#include "servers/entry/status_report.h"
#include "servers/entry/table_keeper.h"
#include "servers/http/http_client.h"
#include "servers/http/http_server.h"
#include "servers/ledger/ledger_client.h"
#include "servers/log/log.h"
#include "servers/platform/platform_options.h"
#include "servers/status/status_server.h"

namespace firefly {

namespace {

constexpr std::size_t kTraces = 4096;
constexpr long kPooledConnections = 1024;
// For how long a leaving entry still takes requests, until its balancer has
// noticed.
constexpr Duration kDrainPoll = std::chrono::milliseconds(50);
constexpr Duration kReadyPoll = std::chrono::milliseconds(100);
// For how long a fresh entry waits for the plan before it goes without.
constexpr int kPlanUnknown = 503;
constexpr Duration kPlanPatience = std::chrono::seconds(5);
constexpr int kLeaveMessages = 3;

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
    , mTraces(kTraces)
    , mClient(aExecutor, { .maxPooledConnections = kPooledConnections })
    , mLogClient(mClient, LogOptionsOf(aSettings.platform))
    , mHostList(mClient, HostListOptionsOf(aSettings.platform))
    , mLedger(aExecutor, LedgerOptions(aSettings, mIncarnation))
    , mFleet(aSettings)
    , mAdmin(mTraces)
  {
    AddProcessMetrics(mRegistry);
  }

  tl::expected<void, EntryError> Start()
  {
    return LoadCharts()
      .and_then([this] { return MakeDispatcher(); })
      .and_then([this] {
        MakeKeepers();
        MakeHandlers();
        return OpenPorts();
      })
      .map([this] { StartTasks(); });
  }

  void Drain(std::function<void()> aDone)
  {
    mLines.Info("leaving", { { "running", Count(mCallerPort->Running()) } });
    mDraining = true;
    mDone = std::move(aDone);
    mDrainStart = mExecutor.Now();
    CheckReady();
    PollDrain();
  }

private:
  static std::string Count(std::size_t aNumber)
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

  // The ledgers of the entry hosts that live; of all while none is known to.
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
                              .without = {} });
    if (!policies) {
      return tl::unexpected(EntryError{ policies.error().message });
    }
    mDispatcher = std::make_unique<Dispatcher>(
      Dispatcher::Options{
        .router = { .self = host.id, .incarnation = mIncarnation },
        .maxRequests = mSettings.entry.maxConcurrentStreams },
      mExecutor,
      std::move(*policies),
      mFleet.View());
    return {};
  }

  void MakeKeepers()
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
        .onTable =
          [this](const HostId& aPeer, TableVersion aVersion) {
            mTable->OnPeerVersion(aPeer, aVersion);
          },
        .onEntries =
          [this](const std::vector<HostId>& aEntries) {
            mDispatcher->Router().SetEntries(aEntries);
            mLedger.SetLedgers(LedgersOf(mSettings, aEntries));
          } });
    mTable.emplace(TableKeeper::Options{ .settings = &mSettings,
                                         .writer = writer,
                                         .seed = mSeed },
                   mExecutor,
                   mLogClient,
                   mClient,
                   [this](TableVersion aVersion, const auto& aRows) {
                     mDispatcher->Router().Configure(aRows);
                     mMembership->SetTable(aVersion);
                   });
    mPlan.emplace(
      coord::AuthorityStream::Options{ .writer = writer,
                                       .backendChart = &*mBackendChart,
                                       .pollInterval =
                                         mSettings.platform.pollInterval,
                                       .seed = mSeed },
      mExecutor,
      mLogClient,
      mFleet,
      [this] { mReporter->Report(); });
    mBorrower.emplace(PlanBorrower::Options{ .settings = &mSettings },
                      mExecutor,
                      mClient,
                      *mPlan);
    mReporter.emplace(
      PlanReporter::Options{ .settings = &mSettings },
      mExecutor,
      [this] { return MakeReport(); },
      [this] { return Holder(); });
    mHosts.emplace(HostWatcher::Options{ .settings = &mSettings },
                   mExecutor,
                   mHostList,
                   HostWatcher::Handlers{
                     .onLeaving =
                       [this](std::set<BackendId> aLeaving) {
                         mFleet.SetLeaving(std::move(aLeaving));
                       },
                     .onHosts =
                       [this](const std::vector<std::string>& aAddresses) {
                         AskHosts(aAddresses);
                       } });
    mLoads.emplace(LoadPoller::Options{ .settings = &mSettings },
                   mExecutor,
                   mClient,
                   router);
  }

  // The host whose steward leads, as far as the log was read.
  std::optional<HostId> Holder() const
  {
    const auto& lease = mPlan->Plan().Lease();
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
                        .planVersion = mPlan->Version(),
                        .inFlight = mOutstanding.Running() };
    for (const auto& it : router.MakeDigest(now).models) {
      report.promptTokensPerSecond += it.promptTokensPerSecond;
      report.outputTokensPerSecond += it.outputTokensPerSecond;
    }
    return report;
  }

  void AskHosts(const std::vector<std::string>& aAddresses)
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
                               .life = { .chart = &*mRequestChart,
                                         .executor = &mExecutor,
                                         .metrics = &mMetrics,
                                         .traces = &mTraces } };
    const BookingTask::Ledger ledger{ .client = &mLedger, .book = &mBook };
    mCallers =
      std::make_unique<CallerHandler>(mSettings, context, ledger, mIncarnation);
    mTableAdmin.emplace(mSettings, mExecutor, mTable->Store(), *mMembership);
    mTable->SetAdmin(&*mTableAdmin);
    ServeAdmin();
    mRegistry.OnExpose([this] { SetStatusGauges(Parts(), mMetrics); });
  }

  // Answers a peer that can't read the log.
  void ServePlan(HttpResponder& aResponder) const
  {
    const auto plan = mPlan->Save();
    if (!plan) {
      aResponder.Send({ .status = kPlanUnknown, .headers = {}, .body = "{}" });
      return;
    }
    aResponder.Send({ .contentType = "application/octet-stream",
                      .headers = {},
                      .body = *plan });
  }

  void ServeAdmin()
  {
    mAdmin.Serve(
      "table", [this](const HttpRequest& aRequest, const auto& aResponder) {
        mTableAdmin->Handle(aRequest, [aResponder](HttpResponse aResponse) {
          aResponder->Send(std::move(aResponse));
        });
      });
    mAdmin.Serve(TableKeeper::kSnapshotName,
                 [this](const HttpRequest&, const auto& aResponder) {
                   mTable->ServeSnapshot(*aResponder);
                 });
    mAdmin.Serve(PlanBorrower::kPlanName,
                 [this](const HttpRequest&, const auto& aResponder) {
                   ServePlan(*aResponder);
                 });
    mAdmin.Serve("status", [this](const HttpRequest&, const auto& aResponder) {
      aResponder->Send(
        { .headers = {}, .body = MakeStatusReport(Parts(), mMetrics) });
    });
    mAdmin.Serve("bookings",
                 [this](const HttpRequest& aRequest, const auto& aResponder) {
                   ShowBooking(aRequest, aResponder, mLedger);
                 });
  }

  StatusParts Parts()
  {
    return { .settings = &mSettings,
             .incarnation = mIncarnation,
             .ready = mReady,
             .draining = mDraining,
             .table = mTable->Version(),
             .plan = mPlan->Version(),
             .members = mMembership->Members(),
             .tables = mMembership->TableMembers(),
             .fleet = &mFleet.View(),
             .router = &mDispatcher->Router(),
             .bookings = &mBook,
             .outstanding = &mOutstanding,
             .now = mExecutor.Now() };
  }

  tl::expected<void, EntryError> OpenPorts()
  {
    const auto& host = mSettings.host;
    const auto& entry = mSettings.entry;
    mCallerPort.emplace(
      mExecutor,
      HttpServer::Options{ .address = host.address,
                           .port = host.entryPort,
                           .maxBodyBytes = entry.maxBodyBytes,
                           .maxConnections = entry.maxConnections,
                           .readTimeout = entry.readTimeout },
      [this](const HttpRequest& aRequest, const HttpResponderPtr& aResponder) {
        mCallers->Handle(aRequest, aResponder);
      });
    mAdminPort.emplace(
      mExecutor,
      StatusServer::Options{
        .address = host.address,
        .port = host.entryAdminPort,
        .ready =
          [this] { return std::string(mReady ? "" : "takes no requests"); },
        .handler =
          [this](const HttpRequest& aRequest,
                 const HttpResponderPtr& aResponder) {
            mAdmin.Handle(aRequest, aResponder);
          } },
      mRegistry);
    if (const auto started = mAdminPort->Start(); !started) {
      return tl::unexpected(EntryError{ started.error().message });
    }
    if (const auto started = mCallerPort->Start(); !started) {
      return tl::unexpected(EntryError{ started.error().message });
    }
    if (const auto started = mMembership->Start(); !started) {
      return tl::unexpected(EntryError{ started.error().message });
    }
    return {};
  }

  void StartTasks()
  {
    mTable->Start();
    mPlan->Start();
    mBorrower->Start();
    mReporter->Report();
    mHosts->Start();
    mLoads->Start();
    CheckReady();
  }

  void CheckReady()
  {
    // A fresh entry knows the plan too, unless log and peers are away.
    const bool planned =
      mPlan->Known() || mExecutor.Now() - mStarted >= kPlanPatience;
    SetReady(!mDraining && mTable->Ready() && (mReady || planned));
    mReadyTimer = mExecutor.RunAfter(kReadyPoll, [this] { CheckReady(); });
  }

  void SetReady(bool aReady)
  {
    if (mReady == aReady) {
      return;
    }
    mReady = aReady;
    mMembership->SetReady(aReady);
    mLines.Info(aReady ? "ready" : "unready");
    if (!mDraining) {
      mCallers->SetOpen(aReady);
    }
  }

  void PollDrain()
  {
    const auto waited = mExecutor.Now() - mDrainStart;
    if (waited >= mSettings.entry.unreadyGrace) {
      mCallers->SetOpen(false);
    }
    const bool idle = waited >= mSettings.entry.unreadyGrace &&
                      mCallerPort->Running() == 0 && mBook.Records() == 0;
    if (idle || waited >= mSettings.entry.drainTimeout) {
      Leave(kLeaveMessages);
      return;
    }
    mDrainTimer = mExecutor.RunAfter(kDrainPoll, [this] { PollDrain(); });
  }

  // Says good-bye more than once, since datagrams get lost.
  void Leave(int aTimes)
  {
    if (aTimes == 0) {
      mLines.Info("left", { { "running", Count(mCallerPort->Running()) } });
      mCallerPort->Stop();
      mDone();
      return;
    }
    mMembership->Leave();
    mDrainTimer =
      mExecutor.RunAfter(kDrainPoll, [this, aTimes] { Leave(aTimes - 1); });
  }

  AsioExecutor& mExecutor;
  const Settings& mSettings;
  Incarnation mIncarnation;
  std::uint64_t mSeed;
  Instant mStarted = mExecutor.Now();
  Log mLines{ "entry" };
  MetricRegistry mRegistry;
  EntryMetrics mMetrics;
  TraceBook mTraces;
  BookingBook mBook;
  OutstandingAttempts mOutstanding;
  CurlClient mClient;
  HttpLogClient mLogClient;
  HostListClient mHostList;
  LedgerClient mLedger;
  FleetKeeper mFleet;
  AdminHandler mAdmin;
  std::optional<StateChart> mRequestChart;
  std::optional<StateChart> mBackendChart;
  std::unique_ptr<Dispatcher> mDispatcher;
  std::optional<EntryMembership> mMembership;
  std::optional<TableKeeper> mTable;
  std::optional<TableAdmin> mTableAdmin;
  std::optional<PlanKeeper> mPlan;
  std::optional<PlanBorrower> mBorrower;
  std::optional<PlanReporter> mReporter;
  std::optional<HostWatcher> mHosts;
  std::optional<LoadPoller> mLoads;
  std::unique_ptr<CallerHandler> mCallers;
  std::optional<HttpServer> mCallerPort;
  std::optional<StatusServer> mAdminPort;
  bool mReady = false;
  bool mDraining = false;
  Instant mDrainStart{};
  std::function<void()> mDone;
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
EntryServer::Drain(std::function<void()> aDone)
{
  mImpl->Drain(std::move(aDone));
}

} // namespace firefly

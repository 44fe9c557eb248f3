#include "servers/entry/entry_server.h"

#include <optional>
#include <utility>

#include "core/state_chart_loader.h"
#include "policy/policy_set.h"
#include "servers/entry/admin_handler.h"
#include "servers/entry/caller_handler.h"
#include "servers/entry/dispatcher.h"
#include "servers/entry/fleet_keeper.h"
#include "servers/http/http_client.h"
#include "servers/http/http_server.h"
#include "servers/log/log.h"

namespace firefly {

namespace {

constexpr std::size_t kTraces = 4096;
constexpr long kPooledConnections = 1024;
// For how long a leaving entry still takes requests, until its balancer has
// noticed.
constexpr Duration kUnreadyGrace = std::chrono::seconds(1);
constexpr Duration kDrainPoll = std::chrono::milliseconds(50);

Incarnation NewIncarnation(const Executor& aExecutor)
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
    , mMetrics(mRegistry)
    , mTraces(kTraces)
    , mClient(aExecutor, { .maxPooledConnections = kPooledConnections })
    , mFleet(aSettings)
  {
    AddProcessMetrics(mRegistry);
  }

  tl::expected<void, EntryError> Start()
  {
    if (auto made = LoadCharts(); !made) {
      return made;
    }
    if (auto made = MakeDispatcher(); !made) {
      return made;
    }
    MakeHandlers();
    if (auto opened = OpenPorts(); !opened) {
      return opened;
    }
    SetReady(true);
    return {};
  }

  void Drain(std::function<void()> aDone)
  {
    mLog.Info("leaving", { { "running", Count(mDispatcher->Running()) } });
    mDraining = true;
    mDone = std::move(aDone);
    mAdmin->SetReady(false);
    mDrainStart = mExecutor.Now();
    PollDrain();
  }

private:
  static std::string Count(std::size_t aNumber)
  {
    return std::to_string(aNumber);
  }

  tl::expected<void, EntryError> LoadCharts()
  {
    auto chart = LoadStateChart(mSettings.chartsDirectory / "request.toml");
    if (!chart) {
      return tl::unexpected(EntryError{ chart.error().message });
    }
    mRequestChart = std::move(*chart);
    return {};
  }

  tl::expected<void, EntryError> MakeDispatcher()
  {
    const auto& host = mSettings.host;
    auto policies = policy::MakePolicySet(
      mSettings.policyName,
      { .self = host.id,
        .seed = mIncarnation.Value() ^ policy::StableHash(host.id.Value()),
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

  void MakeHandlers()
  {
    const TaskContext context{ .executor = &mExecutor,
                               .client = &mClient,
                               .dispatcher = mDispatcher.get(),
                               .metrics = &mMetrics,
                               .settings = &mSettings,
                               .life = { .chart = &*mRequestChart,
                                         .executor = &mExecutor,
                                         .metrics = &mMetrics,
                                         .traces = &mTraces } };
    mCallers =
      std::make_unique<CallerHandler>(mSettings, context, mIncarnation);
    mAdmin = std::make_unique<AdminHandler>(mRegistry, mTraces);
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
      HttpServer::Options{ .address = host.address,
                           .port = host.entryAdminPort },
      [this](const HttpRequest& aRequest, const HttpResponderPtr& aResponder) {
        mAdmin->Handle(aRequest, aResponder);
      });
    for (auto* port : { &*mCallerPort, &*mAdminPort }) {
      if (const auto started = port->Start(); !started) {
        return tl::unexpected(EntryError{ started.error().message });
      }
    }
    return {};
  }

  void SetReady(bool aReady)
  {
    mCallers->SetOpen(aReady);
    mAdmin->SetReady(aReady);
    mMetrics.ready.With({}).Set(aReady ? 1 : 0);
    mLog.Info(aReady ? "ready" : "unready");
  }

  void PollDrain()
  {
    const auto waited = mExecutor.Now() - mDrainStart;
    if (waited >= kUnreadyGrace) {
      mCallers->SetOpen(false);
    }
    const bool idle = waited >= kUnreadyGrace && mCallerPort->Running() == 0;
    if (idle || waited >= mSettings.entry.drainTimeout) {
      mLog.Info("left", { { "running", Count(mCallerPort->Running()) } });
      mCallerPort->Stop();
      mAdminPort->Stop();
      mDone();
      return;
    }
    mDrainTimer = mExecutor.RunAfter(kDrainPoll, [this] { PollDrain(); });
  }

  AsioExecutor& mExecutor;
  const Settings& mSettings;
  Incarnation mIncarnation;
  Log mLog{ "entry" };
  MetricRegistry mRegistry;
  EntryMetrics mMetrics;
  TraceBook mTraces;
  CurlClient mClient;
  FleetKeeper mFleet;
  std::optional<StateChart> mRequestChart;
  std::unique_ptr<Dispatcher> mDispatcher;
  std::unique_ptr<CallerHandler> mCallers;
  std::unique_ptr<AdminHandler> mAdmin;
  std::optional<HttpServer> mCallerPort;
  std::optional<HttpServer> mAdminPort;
  bool mDraining = false;
  Instant mDrainStart{};
  std::function<void()> mDone;
  Timer mDrainTimer;
};

EntryServer::EntryServer(AsioExecutor& aExecutor, const Settings& aSettings)
  : mImpl(std::make_unique<Impl>(aExecutor, aSettings))
{
}

EntryServer::~EntryServer() = default;

tl::expected<void, EntryError> EntryServer::Start()
{
  return mImpl->Start();
}

void EntryServer::Drain(std::function<void()> aDone)
{
  mImpl->Drain(std::move(aDone));
}

} // namespace firefly

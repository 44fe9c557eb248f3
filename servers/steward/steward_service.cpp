#include "servers/steward/steward_service.h"

#include <utility>

namespace firefly {

namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kMisdirected = 421;

// Reports older than this are left out of the demand.
constexpr Duration kMaxReportAge = std::chrono::seconds(5);

} // namespace

StewardService::StewardService(AsioExecutor& aExecutor,
                               Options aOptions,
                               Dependencies aDependencies)
  : mExecutor(aExecutor)
  , mOptions(std::move(aOptions))
  , mDependencies(aDependencies)
  , mStream(mOptions.stream, aExecutor, aDependencies.log)
  , mLease(mOptions.lease, aExecutor, mStream, *this)
  , mJournal(mOptions.journal, aExecutor, mStream)
  , mChanges(mOptions.changes,
             aExecutor,
             mJournal,
             mReports,
             aDependencies.store,
             [this](FencingNumber aFence) { return MaySend(aFence); })
  , mServer(aExecutor,
            mOptions.link,
            [this](const std::string& aPath,
                   const std::string& aBody,
                   const LinkServer::Reply& aReply) {
              HandleLinkRequest(aPath, aBody, aReply);
            })
{
  mReports.SetConfiguredHosts(mOptions.hosts);
}

StewardService::~StewardService() = default;

void
StewardService::SetPlanner(std::unique_ptr<RolePlanner> aPlanner)
{
  mPlanner = std::move(aPlanner);
}

tl::expected<void, LinkServerError>
StewardService::Start()
{
  auto started = mServer.Start();
  if (!started) {
    return started;
  }
  mStream.Start();
  mLease.Start();
  Tick();
  PlanRoles();
  FetchHostList();
  return {};
}

void
StewardService::Resign(std::function<void()> aCallback)
{
  mLease.Resign([callback = std::move(aCallback)](bool) { callback(); });
}

void
StewardService::OnAcquired(FencingNumber aFence)
{
  if (!ArmWatchdog()) {
    mLog.Error("the watchdog cannot be armed; no order will be sent");
  }
  mLog.Info("authority acquired",
            { { "fence", std::to_string(aFence.Value()) } });
  mChanges.StartLeading(aFence);
}

// Cancels the calls to engines and resets their connections before the watchdog
// is disarmed, because after that the process may outlive its lease.
void
StewardService::OnLost()
{
  mChanges.StopLeading();
  mDependencies.watchdog.Disarm();
  mLog.Info("authority lost");
}

void
StewardService::OnHolderChanged(const coord::LeaseHolder& aHolder)
{
  mLog.Info("authority holder changed",
            { { "holder", aHolder.host.Value() },
              { "fence", std::to_string(aHolder.fence.Value()) } });
}

// Sets the watchdog to watchdogSlack after the currently confirmed end of the
// lease. This is needed even though engines check fencing numbers: an engine
// accepts the older number until the new holder has reached it.
bool
StewardService::ArmWatchdog()
{
  return mDependencies.watchdog.Arm(mLease.ValidUntil() +
                                    mOptions.watchdogSlack);
}

bool
StewardService::MaySend(FencingNumber aFence)
{
  return ArmWatchdog() && mLease.Held() == aFence;
}

void
StewardService::Tick()
{
  mTickTimer = mExecutor.RunAfter(mOptions.tickInterval, [this] { Tick(); });
  if (!mLease.Held()) {
    return;
  }
  if (ArmWatchdog()) {
    mChanges.Tick();
  }
}

void
StewardService::PlanRoles()
{
  mPlanTimer =
    mExecutor.RunAfter(mOptions.planInterval, [this] { PlanRoles(); });
  if (mPlanner && mLease.Held()) {
    const Instant now = mExecutor.Now();
    const Instant since = now - kMaxReportAge;
    mPlanner->Plan(mChanges,
                   { .promptTokensPerSecond = static_cast<double>(
                       mReports.PromptTokensPerSecond(since)),
                     .outputTokensPerSecond = static_cast<double>(
                       mReports.OutputTokensPerSecond(since)) },
                   now);
  }
}

void
StewardService::FetchHostList()
{
  mHostListTimer =
    mExecutor.RunAfter(mOptions.hostListInterval, [this] { FetchHostList(); });
  mDependencies.hostList.Fetch(mGuard.Wrap(
    [this](const tl::expected<std::vector<ListedHost>, PlatformError>& aList) {
      if (!aList) {
        return;
      }
      std::set<HostId> hosts;
      for (const ListedHost& host : *aList) {
        hosts.insert(host.id);
      }
      mReports.SetListedHosts(hosts);
    }));
}

void
StewardService::HandleLinkRequest(const std::string& aPath,
                                  const std::string& aBody,
                                  const LinkServer::Reply& aReply)
{
  if (aPath != kEntryReportPath) {
    aReply({ .status = kNotFound, .body = "no such path" });
    return;
  }
  const auto report = DecodeEntryReport(aBody);
  if (!report) {
    aReply({ .status = kBadRequest, .body = report.error() });
    return;
  }
  // Stored even while another steward holds the authority, because this one may
  // be the next holder.
  if (!mReports.Record(*report, mExecutor.Now())) {
    aReply({ .status = kConflict, .body = "a newer report is known" });
    return;
  }
  if (!mLease.Held()) {
    const auto holder = mLease.CurrentHolder();
    aReply({ .status = kMisdirected,
             .body = holder ? holder->host.Value() : std::string() });
    return;
  }
  aReply({});
}

void
StewardService::AddMetrics(MetricRegistry& aRegistry)
{
  auto& holding =
    aRegistry.Gauges({ .name = "firefly_steward_holding",
                       .help = "1 while this steward holds the authority." });
  auto& claims = aRegistry.Gauges(
    { .name = "firefly_steward_claims", .help = "Claims sent." });
  auto& orders = aRegistry.Gauges(
    { .name = "firefly_steward_orders",
      .help = "Orders and changes since the start, by what became of them.",
      .labelNames = { "event" } });
  aRegistry.OnExpose([&, this] {
    holding.With({}).Set(mLease.Held() ? 1 : 0);
    claims.With({}).Set(static_cast<double>(mLease.Claims()));
    const FleetChangeController::Counters& counters = mChanges.GetCounters();
    const auto set = [&](const char* aEvent, std::uint64_t aCount) {
      orders.With({ aEvent }).Set(static_cast<double>(aCount));
    };
    set("sent", counters.orders);
    set("applied", counters.applied);
    set("failed", counters.failed);
    set("settled", counters.settled);
    set("cancelled", counters.cancelled);
    set("withheld", counters.withheld);
  });
}

} // namespace firefly

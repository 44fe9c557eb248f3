#include "servers/steward/steward_service.h"

#include <utility>

namespace firefly {

namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kMisdirected = 421;

// Demand older than this is not counted.
constexpr Duration kReportAge = std::chrono::seconds(5);

} // namespace

StewardService::StewardService(AsioExecutor& aExecutor,
                               Options aOptions,
                               Parts aParts)
  : mExecutor(aExecutor)
  , mOptions(std::move(aOptions))
  , mParts(aParts)
  , mStream(mOptions.stream, aExecutor, aParts.log)
  , mLease(mOptions.lease, aExecutor, mStream, *this)
  , mJournal(mOptions.journal, aExecutor, mStream)
  , mChanges(mOptions.changes,
             aExecutor,
             mJournal,
             mReports,
             aParts.store,
             [this](FencingNumber aFence) { return MaySend(aFence); })
  , mServer(
      aExecutor,
      mOptions.link,
      [this](const std::string& aPath,
             const std::string& aBody,
             const LinkServer::Reply& aReply) { Handle(aPath, aBody, aReply); })
{
  mReports.SetConfigured(mOptions.hosts);
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
  Plan();
  FetchHosts();
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
  if (!Guard()) {
    mLines.Error("the watchdog can't be armed; no order will be sent");
  }
  mLines.Info("authority acquired",
              { { "fence", std::to_string(aFence.Value()) } });
  mChanges.Lead(aFence);
}

// The calls to engines are dropped, and their connections reset, before the
// process may outlive its lease.
void
StewardService::OnLost()
{
  mChanges.StepDown();
  mParts.watchdog.Disarm();
  mLines.Info("authority lost");
}

void
StewardService::OnHolderChanged(const coord::LeaseHolder& aHolder)
{
  mLines.Info("authority held elsewhere",
              { { "holder", aHolder.host.Value() },
                { "fence", std::to_string(aHolder.fence.Value()) } });
}

// Moves the end of the process to the end of the lease as it is confirmed now.
// Engines that check fencing numbers need it too: until the new holder has
// reached one, it takes an older number.
bool
StewardService::Guard()
{
  return mParts.watchdog.Arm(mLease.ValidUntil() + mOptions.watchdogSlack);
}

bool
StewardService::MaySend(FencingNumber aFence)
{
  return Guard() && mLease.Held() == aFence;
}

void
StewardService::Tick()
{
  mTickTimer = mExecutor.RunAfter(mOptions.tickInterval, [this] { Tick(); });
  if (!mLease.Held()) {
    return;
  }
  if (Guard()) {
    mChanges.Tick();
  }
}

void
StewardService::Plan()
{
  mPlanTimer = mExecutor.RunAfter(mOptions.planInterval, [this] { Plan(); });
  if (mPlanner && mLease.Held()) {
    const Instant now = mExecutor.Now();
    const Instant since = now - kReportAge;
    mPlanner->Plan(mChanges,
                   { .promptTokensPerSecond = static_cast<double>(
                       mReports.PromptTokensPerSecond(since)),
                     .outputTokensPerSecond = static_cast<double>(
                       mReports.OutputTokensPerSecond(since)) },
                   now);
  }
}

void
StewardService::FetchHosts()
{
  mHostsTimer =
    mExecutor.RunAfter(mOptions.hostsInterval, [this] { FetchHosts(); });
  mParts.hostList.Fetch(mGuard.Wrap(
    [this](const tl::expected<std::vector<ListedHost>, PlatformError>& aList) {
      if (!aList) {
        return;
      }
      std::set<HostId> hosts;
      for (const ListedHost& host : *aList) {
        hosts.insert(host.id);
      }
      mReports.SetListed(hosts);
    }));
}

void
StewardService::Handle(const std::string& aPath,
                       const std::string& aBody,
                       const LinkServer::Reply& aReply)
{
  if (aPath != kAcknowledgePath) {
    aReply({ .status = kNotFound, .body = "no such path" });
    return;
  }
  const auto report = DecodeEntryReport(aBody);
  if (!report) {
    aReply({ .status = kBadRequest, .body = report.error() });
    return;
  }
  // Kept also while another one leads: this one may be the next.
  if (!mReports.Take(*report, mExecutor.Now())) {
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
    const FleetChanges::Counters& counters = mChanges.Count();
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

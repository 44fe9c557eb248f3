// firefly-steward: a candidate for the single authority over the fleet. It
// plans changes of backend servers and sends orders to engines while it holds
// the authority's lease.

#include <csignal>
#include <iostream>
#include <list>

#include <asio/signal_set.hpp>
#include <unistd.h>

#include "core/state_chart_loader.h"
#include "policy/policy_set.h"
#include "servers/http/http_client.h"
#include "servers/log/log.h"
#include "servers/platform/platform_options.h"
#include "servers/settings/command_line.h"
#include "servers/status/status_server.h"
#include "servers/steward/steward_api.h"
#include "servers/steward/steward_service.h"

namespace {

using firefly::ExitCode;

// Max time at shutdown to release the lease in the log, which may be
// unreachable.
constexpr firefly::Duration kResignTimeout = std::chrono::seconds(3);

int
Fail(const std::string& aMessage)
{
  std::cerr << "firefly-steward: " << aMessage << '\n';
  return static_cast<int>(ExitCode::kFailed);
}

struct Charts
{
  firefly::StateChart authority;
  firefly::StateChart backend;
};

tl::expected<Charts, firefly::ChartError>
LoadCharts(const std::filesystem::path& aDirectory)
{
  auto authority = firefly::LoadStateChart(aDirectory / "authority.toml");
  if (!authority) {
    return tl::make_unexpected(authority.error());
  }
  auto backend = firefly::LoadStateChart(aDirectory / "backend.toml");
  if (!backend) {
    return tl::make_unexpected(backend.error());
  }
  return Charts{ .authority = std::move(*authority),
                 .backend = std::move(*backend) };
}

// The time after which the kernel drops bytes of an order that the engine has
// not acknowledged (TCP_USER_TIMEOUT). A challenger waits longer, so that no
// old order arrives after another steward has obtained the authority.
firefly::Duration
UndeliveredOrderLifetime(const firefly::Settings& aSettings)
{
  return aSettings.steward.grace / 2;
}

firefly::StewardService::Options
MakeOptions(const firefly::Settings& aSettings,
            const Charts& aCharts,
            firefly::WallTime aStarted)
{
  const auto started =
    static_cast<std::uint64_t>(aStarted.time_since_epoch().count());
  const firefly::StewardSettings& steward = aSettings.steward;
  firefly::StewardService::Options options;
  options.stream.writer = firefly::coord::WriterId(
    "steward/" + aSettings.host.id.Value() + "/" + std::to_string(started) +
    "/" + std::to_string(getpid()));
  options.stream.backendChart = &aCharts.backend;
  options.stream.pollInterval = aSettings.platform.pollInterval;
  options.stream.checkpointInterval = aSettings.platform.retention / 4;
  options.stream.seed = started;
  options.lease.host = aSettings.host.id;
  options.lease.incarnation = firefly::Incarnation(started);
  options.lease.chart = &aCharts.authority;
  options.lease.duration = steward.lease;
  options.lease.grace = steward.grace;
  options.lease.renewInterval = steward.renew;
  options.lease.stagger = steward.renew;
  options.lease.seed = started + static_cast<std::uint64_t>(getpid());
  options.changes.drainTimeout = steward.drainTimeout;
  options.changes.orderLifetime =
    steward.orderTimeout + UndeliveredOrderLifetime(aSettings);
  options.link.address = aSettings.host.address;
  options.link.port = aSettings.host.stewardLinkPort;
  options.planInterval = steward.planInterval;
  for (const firefly::HostSettings& peer : aSettings.peers) {
    options.hosts.insert(peer.id);
  }
  return options;
}

std::string
UrlOf(const firefly::HostSettings& aHost)
{
  return "http://" + aHost.address + ":" +
         std::to_string(aHost.stewardAdminPort);
}

firefly::StewardApi::Options
MakeApiOptions(const firefly::Settings& aSettings)
{
  firefly::StewardApi::Options options;
  options.urls[aSettings.host.id] = UrlOf(aSettings.host);
  for (const firefly::HostSettings& peer : aSettings.peers) {
    options.urls[peer.id] = UrlOf(peer);
  }
  return options;
}

firefly::coord::WantedState
InitialState(const firefly::BackendSettings& aBackend)
{
  firefly::coord::WantedState state;
  state.role =
    firefly::coord::ParseBackendRole(std::string(NameOf(aBackend.role)))
      .value_or(firefly::coord::BackendRole::kMixed);
  if (!aBackend.models.empty()) {
    state.model = aBackend.models.front();
  }
  return state;
}

// The clients of all engines. They share one HTTP client, which resets
// connections on close and drops undelivered bytes after
// UndeliveredOrderLifetime, so that old orders don't arrive late.
class EngineClients
{
public:
  EngineClients(firefly::AsioExecutor& aExecutor,
                const firefly::Settings& aSettings)
    : mHttp(aExecutor,
            { .userTimeout = UndeliveredOrderLifetime(aSettings),
              .resetOnClose = true })
  {
    for (const firefly::BackendSettings& backend : aSettings.backends) {
      Add(backend, aSettings.steward.orderTimeout);
    }
  }

  void AddTo(firefly::StewardService& aService) const
  {
    for (const firefly::FleetChangeController::Target& target : mTargets) {
      aService.Add(target);
    }
  }

private:
  void Add(const firefly::BackendSettings& aBackend,
           firefly::Duration aOrderTimeout)
  {
    firefly::FleetChangeController::Target target;
    target.id = aBackend.id;
    target.domain = aBackend.domain;
    if (aBackend.kind == firefly::BackendKind::kEngine) {
      target.initial = InitialState(aBackend);
      target.client = &mClients.emplace_back(
        mHttp,
        firefly::HttpEngineClient::Options{ .url = aBackend.url,
                                            .requestTimeout = aOrderTimeout });
    } else {
      target.initial.role = firefly::coord::BackendRole::kPlain;
    }
    mTargets.push_back(std::move(target));
  }

  firefly::CurlClient mHttp;
  std::list<firefly::HttpEngineClient> mClients;
  std::vector<firefly::FleetChangeController::Target> mTargets;
};

firefly::policy::BackendCapacity
CapacityOf(const firefly::EngineRoleSettings& aRole)
{
  return { .prefillTokensPerSecond = aRole.promptTokensPerSecond,
           .decodeTokensPerSecond = aRole.outputTokensPerSecond,
           .slots = static_cast<std::uint32_t>(aRole.slots) };
}

firefly::policy::RoleCapacities
CapacitiesOf(const std::vector<firefly::EngineRoleSettings>& aRoles)
{
  firefly::policy::RoleCapacities capacities;
  for (const firefly::EngineRoleSettings& role : aRoles) {
    switch (role.role) {
      case firefly::BackendRole::kMixed:
        capacities.mixed = CapacityOf(role);
        break;
      case firefly::BackendRole::kPrefill:
        capacities.prefill = CapacityOf(role);
        break;
      case firefly::BackendRole::kDecode:
        capacities.decode = CapacityOf(role);
        break;
    }
  }
  return capacities;
}

// The planner of engine roles. Null if the settings leave role changes to the
// operators, or if the policy is unknown.
std::unique_ptr<firefly::RolePlanner>
MakePlanner(const firefly::Settings& aSettings)
{
  if (aSettings.engineRoles.empty()) {
    return nullptr;
  }
  firefly::policy::CostRoleController::Options options;
  options.capacities = CapacitiesOf(aSettings.engineRoles);
  options.minPayback = aSettings.steward.payback;
  auto controller =
    firefly::policy::MakeRoleController(aSettings.policyName, options);
  if (!controller) {
    return nullptr;
  }
  auto planner = std::make_unique<firefly::RolePlanner>(std::move(*controller));
  for (const firefly::BackendSettings& backend : aSettings.backends) {
    if (backend.kind == firefly::BackendKind::kEngine) {
      planner->Add(backend.id, backend.domain, options.capacities);
    }
  }
  return planner;
}

std::string
ReadyReason(const firefly::StewardService& aService)
{
  return aService.Stream().Folding().Ready() ? "" : "the log has not been read";
}

int
Run(const firefly::Settings& aSettings)
{
  const auto charts = LoadCharts(aSettings.chartsDirectory);
  if (!charts) {
    return Fail(charts.error().message);
  }
  firefly::LeaseWatchdog watchdog;
  if (const auto prepared = watchdog.Prepare(); !prepared) {
    return Fail(prepared.error().message);
  }
  firefly::AsioExecutor executor;
  firefly::CurlClient http(executor, {});
  firefly::HttpLogClient log(http, LogOptionsOf(aSettings.platform));
  firefly::HostListClient hosts(http, HostListOptionsOf(aSettings.platform));
  firefly::WeightStoreClient store(http,
                                   WeightStoreOptionsOf(aSettings.platform));
  const EngineClients engineClients(executor, aSettings);
  firefly::MetricRegistry metrics;
  firefly::AddProcessMetrics(metrics);
  firefly::StewardService service(
    executor,
    MakeOptions(aSettings, *charts, executor.WallNow()),
    { .log = log, .hostList = hosts, .store = store, .watchdog = watchdog });
  engineClients.AddTo(service);
  service.SetPlanner(MakePlanner(aSettings));
  service.AddMetrics(metrics);
  firefly::StewardApi api(service, MakeApiOptions(aSettings));
  firefly::StatusServer status(
    executor,
    { .address = aSettings.host.address,
      .port = aSettings.host.stewardAdminPort,
      .ready = [&] { return ReadyReason(service); },
      .handler =
        [&](const firefly::HttpRequest& aRequest,
            const firefly::HttpResponderPtr& aResponder) {
          api.Handle(aRequest, aResponder);
        } },
    metrics);
  if (const auto started = status.Start(); !started) {
    return Fail(started.error().message);
  }
  if (const auto started = service.Start(); !started) {
    return Fail(started.error().message);
  }
  asio::signal_set signals(executor.Context(), SIGTERM, SIGINT);
  firefly::Timer resignTimer;
  signals.async_wait([&](const auto&, int) {
    resignTimer = executor.RunAfter(kResignTimeout, [&] { executor.Stop(); });
    service.Resign([&] { executor.Stop(); });
  });
  executor.Run();
  return static_cast<int>(ExitCode::kOk);
}

} // namespace

int
main(int aCount, char** aWords)
{
  const auto settings = firefly::LoadDaemonSettings(
    { .program = "firefly-steward",
      .purpose = "Orders changes of the fleet while it holds the authority.",
      .version = FIREFLY_VERSION },
    aCount,
    aWords);
  if (!settings) {
    return static_cast<int>(settings.error());
  }
  firefly::StartLog(settings->log);
  return Run(*settings);
}

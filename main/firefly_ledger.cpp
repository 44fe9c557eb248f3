// firefly-ledger: issues permits for requests that must not be repeated.

#include <csignal>
#include <iostream>

#include <asio/signal_set.hpp>
#include <unistd.h>

#include "core/state_chart_loader.h"
#include "servers/http/http_client.h"
#include "servers/ledger/ledger_service.h"
#include "servers/log/log.h"
#include "servers/platform/platform_options.h"
#include "servers/settings/command_line.h"
#include "servers/status/status_server.h"

namespace {

using firefly::ExitCode;

int
Fail(const std::string& aMessage)
{
  std::cerr << "firefly-ledger: " << aMessage << '\n';
  return static_cast<int>(ExitCode::kFailed);
}

firefly::LedgerService::Options
MakeOptions(const firefly::Settings& aSettings,
            const firefly::StateChart& aChart,
            firefly::WallTime aStarted)
{
  const auto started = aStarted.time_since_epoch().count();
  firefly::LedgerService::Options options;
  options.ledger.writer = firefly::coord::WriterId(
    "ledger/" + aSettings.host.id.Value() + "/" + std::to_string(started) +
    "/" + std::to_string(getpid()));
  options.ledger.chart = &aChart;
  options.ledger.partitions = aSettings.ledger.partitions;
  options.ledger.window = aSettings.ledger.window;
  options.ledger.linger = aSettings.ledger.batchInterval;
  options.ledger.pollInterval = aSettings.platform.pollInterval;
  options.ledger.seed = static_cast<std::uint64_t>(started);
  options.link.address = aSettings.host.address;
  options.link.port = aSettings.host.ledgerLinkPort;
  return options;
}

int
Run(const firefly::Settings& aSettings)
{
  const auto chart =
    firefly::LoadStateChart(aSettings.chartsDirectory / "booking.toml");
  if (!chart) {
    return Fail(chart.error().message);
  }
  firefly::AsioExecutor executor;
  firefly::CurlClient http(executor, {});
  firefly::HttpLogClient log(http, firefly::LogOptionsOf(aSettings.platform));
  firefly::MetricRegistry metrics;
  firefly::AddProcessMetrics(metrics);
  firefly::LedgerService service(
    executor, MakeOptions(aSettings, *chart, executor.WallNow()), log);
  service.AddMetrics(metrics);
  firefly::StatusServer status(executor,
                               { .address = aSettings.host.address,
                                 .port = aSettings.host.ledgerAdminPort,
                                 .ready = [] { return std::string(); } },
                               metrics);
  if (const auto started = status.Start(); !started) {
    return Fail(started.error().message);
  }
  if (const auto started = service.Start(); !started) {
    return Fail(started.error().message);
  }
  asio::signal_set signals(executor.Context(), SIGTERM, SIGINT);
  signals.async_wait([&](const auto&, int) { executor.Stop(); });
  const firefly::Log eventLog("ledger");
  eventLog.Info("serving", { { "host", aSettings.host.id.Value() } });
  executor.Run();
  eventLog.Info("stopped");
  return static_cast<int>(ExitCode::kOk);
}

} // namespace

int
main(int aCount, char** aWords)
{
  const auto settings = firefly::LoadDaemonSettings(
    { .program = "firefly-ledger",
      .purpose = "Issues permits for requests that must not be repeated.",
      .version = FIREFLY_VERSION },
    aCount,
    aWords);
  if (!settings) {
    return static_cast<int>(settings.error());
  }
  firefly::StartLog(settings->log);
  return Run(*settings);
}

// firefly-relay: forwards callers' requests to backend servers on the users'
// platform. All persistent state is in the platform's log.

#include <csignal>
#include <iostream>

#include <asio/signal_set.hpp>

#include "core/state_chart_loader.h"
#include "platform/platform_dialect.h"
#include "platform/platform_duty_client.h"
#include "platform/platform_records.h"
#include "platform/platform_settings.h"
#include "platform/platform_store.h"
#include "servers/http/host_limits.h"
#include "servers/log/log.h"
#include "servers/relay/key_hasher.h"
#include "servers/relay/relay_server.h"
#include "servers/settings/command_line.h"
#include "servers/settings/settings_watcher.h"

namespace {

// A call to the log fails if its bytes are not acknowledged for this long.
constexpr firefly::Duration kLogUserTimeout = std::chrono::milliseconds(1500);

// Long polls of the log send no data while they wait, so idle connections are
// probed after this time to detect dead ones.
constexpr std::chrono::seconds kLogProbeDelay{ 1 };

constexpr const char* kUsage =
  R"(firefly-relay: forwards callers' requests to backend servers.

Usage:
  firefly-relay [--settings FILE] [--check-settings]
  firefly-relay --help
  firefly-relay --version

Options:
  --settings FILE   The host's settings, in TOML. Without it, the file that the
                    users' platform names in the environment.
  --check-settings  Check the settings, print all errors, and exit.
  --help            Show this text.
  --version         Show the version.

Signals:
  SIGTERM, SIGINT   Become unready, finish running requests, and stop.
  SIGHUP            Reload the settings. A change of the file does so as well.

Example:
  firefly-relay --settings settings/relay.toml --check-settings

Exit codes:
  0  stopped on request, or the settings are valid
  1  failed; the reason is on stderr
  2  invalid command line or settings; each error is a line on stderr
)";

int
Exit(firefly::ExitCode aCode)
{
  return static_cast<int>(aCode);
}

void
PrintErrors(const firefly::SettingsError& aError)
{
  for (const auto& it : aError.lines) {
    std::cerr << it << '\n';
  }
}

// Reloads the settings. If they are invalid, prints the errors and keeps the
// current ones.
void
Reload(firefly::RelayServer& aServer, const std::string& aFile)
{
  if (const auto settings = firefly::LoadRelaySettings(aFile)) {
    aServer.Reload(*settings);
  } else {
    PrintErrors(settings.error());
  }
}

// Handles signals until the program stops: SIGHUP reloads the settings, the
// others drain the server and stop.
void
HandleSignals(asio::signal_set& aSignals,
              firefly::RelayServer& aServer,
              firefly::AsioExecutor& aExecutor,
              const std::string& aFile)
{
  aSignals.async_wait([&, aFile](const asio::error_code& aCode, int aSignal) {
    if (aCode) {
      return;
    }
    if (aSignal != SIGHUP) {
      aServer.Drain([&] { aExecutor.Stop(); });
    } else {
      Reload(aServer, aFile);
    }
    HandleSignals(aSignals, aServer, aExecutor, aFile);
  });
}

int
Serve(const firefly::RelaySettings& aSettings, const std::string& aFile)
{
  const auto authority =
    firefly::LoadStateChart(aSettings.chartsDirectory / "authority.toml");
  const auto backend =
    firefly::LoadStateChart(aSettings.chartsDirectory / "backend.toml");
  if (!authority || !backend) {
    std::cerr << "firefly-relay: "
              << (authority ? backend : authority).error().message << '\n';
    return Exit(firefly::ExitCode::kFailed);
  }
  const auto keyHasher = firefly::KeyHasher::Create();
  if (!keyHasher) {
    std::cerr << "firefly-relay: " << keyHasher.error().message << '\n';
    return Exit(firefly::ExitCode::kFailed);
  }
  firefly::AsioExecutor executor;
  firefly::CurlClient client(executor,
                             { .maxPooledConnections = 4,
                               .userTimeout = kLogUserTimeout,
                               .keepAliveIdle = kLogProbeDelay,
                               .resetOnClose = false });
  firefly::platform::PlatformStore store(
    client, { .url = aSettings.logUrl, .callTimeout = aSettings.logTimeout });
  firefly::platform::PlatformDutyClient dutyClient(
    client, { .url = aSettings.duties ? aSettings.duties->apiUrl : "" });
  const firefly::platform::PlatformDialect dialect(*keyHasher);
  const firefly::platform::PlatformRecords records(*keyHasher);
  firefly::RelayServer server({ .executor = &executor,
                                .keyedLog = &store,
                                .streamLog = &store,
                                .client = &client,
                                .dutyClient = &dutyClient,
                                .dialect = &dialect,
                                .decoder = &records,
                                .authorityChart = &*authority,
                                .backendChart = &*backend },
                              aSettings);
  if (const auto started = server.Start(); !started) {
    std::cerr << "firefly-relay: " << started.error().message << '\n';
    return Exit(firefly::ExitCode::kFailed);
  }
  asio::signal_set signals(executor.Context(), SIGTERM, SIGINT, SIGHUP);
  HandleSignals(signals, server, executor, aFile);
  const firefly::SettingsWatcher watch(
    { .file = aFile }, executor, [&] { Reload(server, aFile); });
  executor.Run();
  return Exit(firefly::ExitCode::kOk);
}

} // namespace

int
main(int aCount, char** aWords)
{
  const auto parsed = firefly::ParseArguments(
    kUsage, std::string("firefly-relay ") + FIREFLY_VERSION, aCount, aWords);
  if (!parsed) {
    return Exit(parsed.error());
  }
  const auto file = parsed->Has("--settings")
                      ? parsed->Text("--settings")
                      : firefly::platform::SettingsFile();
  if (file.empty()) {
    std::cerr << "firefly-relay: no settings: neither --settings nor "
              << firefly::platform::kSettingsVariable << " is given\n";
    return Exit(firefly::ExitCode::kUsage);
  }
  auto settings = firefly::LoadRelaySettings(file);
  if (!settings) {
    PrintErrors(settings.error());
    return Exit(firefly::ExitCode::kUsage);
  }
  firefly::platform::ApplyDutyNames(*settings);
  if (parsed->Has("--check-settings")) {
    std::cout << file << ": valid\n";
    return Exit(firefly::ExitCode::kOk);
  }
  std::signal(SIGPIPE, SIG_IGN);
  firefly::ReturnFreedBlocks();
  firefly::StartLog(settings->log);
  return Serve(*settings, file);
}

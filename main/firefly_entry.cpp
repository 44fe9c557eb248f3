// firefly-entry: accepts callers' requests and forwards them to backend
// servers.

#include <csignal>
#include <iostream>

#include <asio/signal_set.hpp>

#include "servers/entry/entry_server.h"
#include "servers/log/log.h"
#include "servers/settings/command_line.h"

namespace {

int
Exit(firefly::ExitCode aCode)
{
  return static_cast<int>(aCode);
}

} // namespace

int
main(int aCount, char** aWords)
{
  const auto settings = firefly::LoadDaemonSettings(
    { .program = "firefly-entry",
      .purpose =
        "Accepts callers' requests and forwards them to backend servers.",
      .version = FIREFLY_VERSION },
    aCount,
    aWords);
  if (!settings) {
    return Exit(settings.error());
  }
  std::signal(SIGPIPE, SIG_IGN);
  firefly::StartLog(settings->log);
  firefly::AsioExecutor executor;
  firefly::EntryServer server(executor, *settings);
  if (const auto started = server.Start(); !started) {
    std::cerr << "firefly-entry: " << started.error().message << '\n';
    return Exit(firefly::ExitCode::kFailed);
  }
  asio::signal_set signals(executor.Context(), SIGTERM, SIGINT);
  signals.async_wait([&](const asio::error_code& aCode, int) {
    if (!aCode) {
      server.Drain([&] { executor.Stop(); });
    }
  });
  executor.Run();
  return Exit(firefly::ExitCode::kOk);
}

#include "servers/status/http_server_report.h"

#include <utility>

#include "servers/log/log.h"

namespace firefly {

namespace {

std::string
NameOf(RefusalCause aCause)
{
  switch (aCause) {
    case RefusalCause::kBodyTooLarge:
      return "body_too_large";
    case RefusalCause::kNoMemory:
      return "no_memory";
    case RefusalCause::kStalled:
      return "stalled";
    case RefusalCause::kTooManyConnections:
      break;
  }
  return "too_many_connections";
}

} // namespace

HttpServerReport::HttpServerReport(std::string aServer,
                                   MetricRegistry& aMetrics,
                                   const Executor& aExecutor)
  : mServer(std::move(aServer))
  , mMetrics(aMetrics)
  , mExecutor(aExecutor)
  , mRefusals(
      aMetrics.Counters({ .name = "firefly_http_refusals_total",
                          .help = "Requests and connections refused before "
                                  "they were read, by cause.",
                          .labelNames = { "server", "cause" } }))
{
}

void
HttpServerReport::OnRefusal(RefusalCause aCause)
{
  const auto cause = NameOf(aCause);
  mRefusals.With({ mServer, cause }).Add();
  mUnlogged++;
  if (mExecutor.Now() < mNextLog) {
    return;
  }
  mNextLog = mExecutor.Now() + kLogInterval;
  const Log log("http");
  log.Warning("requests refused",
              { { "server", mServer },
                { "cause", cause },
                { "count", std::to_string(std::exchange(mUnlogged, 0)) } });
}

void
HttpServerReport::Watch(const HttpServer& aServer)
{
  const auto gauge = [this](const char* aName, const char* aHelp) {
    return &mMetrics
              .Gauges(
                { .name = aName, .help = aHelp, .labelNames = { "server" } })
              .With({ mServer });
  };
  auto* memory = gauge("firefly_http_memory_bytes",
                       "Memory of requests being received or answered.");
  auto* memoryLimit =
    gauge("firefly_http_memory_limit_bytes", "The budget for that memory.");
  auto* connections =
    gauge("firefly_http_connections", "Open connections of clients.");
  auto* connectionLimit =
    gauge("firefly_http_connection_limit", "The maximum of connections.");
  mMetrics.OnExpose([=, &aServer] {
    const auto& gate = aServer.Gate();
    memory->Set(static_cast<double>(gate.UsedBytes()));
    memoryLimit->Set(static_cast<double>(gate.Limits().memoryBytes));
    connections->Set(static_cast<double>(gate.Connections()));
    connectionLimit->Set(static_cast<double>(gate.Limits().maxConnections));
  });
}

} // namespace firefly

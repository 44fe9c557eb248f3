#include "servers/status/status_server.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace firefly {

namespace {

// Requests of the status port take less of the host than those of callers.
constexpr std::size_t kHostShare = 8;

HttpResponse
MakeText(int aStatus, std::string aText)
{
  return { .status = aStatus,
           .contentType = "text/plain; charset=utf-8",
           .headers = {},
           .body = std::move(aText) };
}

} // namespace

HttpResponse
MakeProblem(int aStatus, const std::string& aTitle, const std::string& aDetail)
{
  const nlohmann::json body = {
    { "type", "about:blank" },
    { "status", aStatus },
    { "title", aTitle },
    { "detail", aDetail },
  };
  return { .status = aStatus,
           .contentType = "application/problem+json",
           .headers = {},
           .body = body.dump() };
}

StatusServer::StatusServer(AsioExecutor& aExecutor,
                           Options aOptions,
                           MetricRegistry& aMetrics)
  : mOptions(std::move(aOptions))
  , mMetrics(aMetrics)
  , mReport("status", aMetrics, aExecutor)
  , mServer(aExecutor,
            { .address = mOptions.address,
              .port = mOptions.port,
              .hostShare = kHostShare,
              .onRefusal =
                [this](RefusalCause aCause) { mReport.OnRefusal(aCause); } },
            [this](HttpRequest aRequest, HttpResponderPtr aResponder) {
              Handle(std::move(aRequest), std::move(aResponder));
            })
{
  mReport.Watch(mServer);
}

void
StatusServer::Handle(HttpRequest aRequest, HttpResponderPtr aResponder)
{
  if (aRequest.path == "/livez") {
    aResponder->Send(MakeText(200, "ok\n"));
    return;
  }
  if (aRequest.path == "/readyz") {
    const std::string reason = mOptions.ready();
    aResponder->Send(reason.empty() ? MakeText(200, "ok\n")
                                    : MakeText(503, reason + "\n"));
    return;
  }
  if (aRequest.path == "/metrics") {
    HttpResponse response = MakeText(200, mMetrics.Expose());
    response.contentType = MetricRegistry::kContentType;
    aResponder->Send(std::move(response));
    return;
  }
  if (mOptions.handler) {
    mOptions.handler(std::move(aRequest), std::move(aResponder));
    return;
  }
  aResponder->Send(MakeProblem(404, "Not found", "no such path"));
}

} // namespace firefly

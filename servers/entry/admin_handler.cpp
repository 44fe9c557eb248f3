#include "servers/entry/admin_handler.h"

#include <utility>

#include "servers/entry/problem.h"

namespace firefly {

namespace {

constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

HttpResponse Text(int aStatus, std::string aBody)
{
  return { .status = aStatus,
           .contentType = "text/plain",
           .headers = {},
           .body = std::move(aBody) };
}

HttpResponse NotFound()
{
  return ToResponse(
    { .status = kNotFound, .type = "not-found", .title = "Not known here" },
    {});
}

} // namespace

AdminHandler::AdminHandler(const MetricRegistry& aRegistry,
                           const TraceBook& aTraces)
  : mRegistry(aRegistry)
  , mTraces(aTraces)
{
}

void AdminHandler::Serve(const std::string& aName, Handler aHandler)
{
  mHandlers[aName] = std::move(aHandler);
}

void AdminHandler::Handle(const HttpRequest& aRequest,
                          const HttpResponderPtr& aResponder)
{
  const auto path = SplitPath(aRequest.path);
  const auto first = path.empty() ? std::string() : path[0];
  const auto second = path.size() < 2 ? std::string() : path[1];
  const auto handler = mHandlers.find(second);
  if (first == "livez") {
    aResponder->Send(Text(200, "live\n"));
  } else if (first == "readyz") {
    aResponder->Send(Ready());
  } else if (first == "metrics") {
    auto response = Text(200, mRegistry.Expose());
    response.contentType = MetricRegistry::kContentType;
    aResponder->Send(std::move(response));
  } else if (first == "admin" && second == "why" && path.size() == 3) {
    aResponder->Send(Why(path[2]));
  } else if (first == "admin" && handler != mHandlers.end()) {
    handler->second(aRequest, aResponder);
  } else {
    aResponder->Send(NotFound());
  }
}

HttpResponse AdminHandler::Ready() const
{
  return mReady ? Text(200, "ready\n") : Text(kUnavailable, "not ready\n");
}

HttpResponse AdminHandler::Why(const std::string& aRequestId) const
{
  auto body = mTraces.Show(aRequestId);
  if (body.empty()) {
    return NotFound();
  }
  return { .status = 200, .headers = {}, .body = std::move(body) };
}

} // namespace firefly

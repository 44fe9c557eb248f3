#include "servers/entry/admin_handler.h"

#include <utility>

#include "servers/status/status_server.h"

namespace firefly {

namespace {

constexpr int kNotFound = 404;

} // namespace

AdminHandler::AdminHandler(const TraceRegistry& aTraces)
  : mTraces(aTraces)
{
  AddHandler(
    "why",
    [this](const HttpRequest& aRequest, const HttpResponderPtr& aResponder) {
      ShowTrace(aRequest, aResponder);
    });
}

void
AdminHandler::AddHandler(const std::string& aName, Handler aHandler)
{
  mHandlers[aName] = std::move(aHandler);
}

void
AdminHandler::Handle(const HttpRequest& aRequest,
                     const HttpResponderPtr& aResponder)
{
  const auto path = SplitPath(aRequest.path);
  const bool admin = path.size() >= 2 && path[0] == "admin";
  const auto handler = admin ? mHandlers.find(path[1]) : mHandlers.end();
  if (handler == mHandlers.end()) {
    aResponder->Send(MakeProblem(kNotFound, "No such path", aRequest.path));
    return;
  }
  handler->second(aRequest, aResponder);
}

void
AdminHandler::ShowTrace(const HttpRequest& aRequest,
                        const HttpResponderPtr& aResponder)
{
  const auto path = SplitPath(aRequest.path);
  auto body = mTraces.ToJsonText(path.back());
  if (body.empty()) {
    aResponder->Send(
      MakeProblem(kNotFound, "No such request is known here", path.back()));
    return;
  }
  aResponder->Send({ .headers = {}, .body = std::move(body) });
}

} // namespace firefly

#pragma once

// Handles the operators' HTTP requests below /admin. docs/OPERATIONS.md
// describes the paths and bodies.

#include <functional>
#include <map>
#include <string>

#include "servers/entry/request_trace.h"
#include "servers/http/http_server.h"

namespace firefly {

class AdminHandler
{
public:
  using Handler =
    std::function<void(const HttpRequest&, const HttpResponderPtr&)>;

  // The registry must outlive the handler.
  explicit AdminHandler(const TraceRegistry& aTraces);

  // Passes the request to the handler added for its path, or answers 404.
  void Handle(const HttpRequest& aRequest, const HttpResponderPtr& aResponder);

  // Makes the handler answer /admin/{name} and all paths below it.
  void AddHandler(const std::string& aName, Handler aHandler);

private:
  void ShowTrace(const HttpRequest& aRequest,
                 const HttpResponderPtr& aResponder);

  const TraceRegistry& mTraces;
  std::map<std::string, Handler> mHandlers;
};

} // namespace firefly

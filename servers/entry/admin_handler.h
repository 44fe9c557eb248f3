#pragma once

// The entry's HTTP interface for operators below /admin; docs/OPERATIONS.md
// has its shapes.

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

  // The book must outlive the handler.
  explicit AdminHandler(const TraceRegistry& aTraces);

  // Answers one request.
  void Handle(const HttpRequest& aRequest, const HttpResponderPtr& aResponder);

  // Has the handler answer /admin/{name} and all below it.
  void AddHandler(const std::string& aName, Handler aHandler);

private:
  void ShowTrace(const HttpRequest& aRequest,
                 const HttpResponderPtr& aResponder);

  const TraceRegistry& mTraces;
  std::map<std::string, Handler> mHandlers;
};

} // namespace firefly

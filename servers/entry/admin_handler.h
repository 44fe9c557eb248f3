#pragma once

// The entry's HTTP interface for operators; docs/OPERATIONS.md has its shapes.

#include <functional>
#include <map>
#include <string>

#include "servers/entry/request_trace.h"
#include "servers/http/http_server.h"
#include "servers/metrics/metrics.h"

namespace firefly {

class AdminHandler
{
public:
  using Handler =
    std::function<void(const HttpRequest&, const HttpResponderPtr&)>;

  // Both must outlive the handler.
  AdminHandler(const MetricRegistry& aRegistry, const TraceBook& aTraces);

  // Answers one request.
  void Handle(const HttpRequest& aRequest, const HttpResponderPtr& aResponder);

  // What /readyz says.
  void SetReady(bool aReady) { mReady = aReady; }

  // Answers /admin/{name} and all below it.
  void Serve(const std::string& aName, Handler aHandler);

private:
  [[nodiscard]] HttpResponse Ready() const;
  [[nodiscard]] HttpResponse Why(const std::string& aRequestId) const;

  const MetricRegistry& mRegistry;
  const TraceBook& mTraces;
  std::map<std::string, Handler> mHandlers;
  bool mReady = false;
};

} // namespace firefly

#include "servers/entry/problem.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace firefly {

namespace {

using Json = nlohmann::json;

Json
ToJson(const Problem& aProblem, const std::string& aRequestId)
{
  Json body{ { "type", "urn:firefly:problem:" + aProblem.type },
             { "title", aProblem.title },
             { "status", aProblem.status },
             { "request_id", aRequestId } };
  body["execution"] =
    aProblem.execution == Execution::kNotRun ? "not-run" : "unknown";
  if (!aProblem.detail.empty()) {
    body["detail"] = aProblem.detail;
  }
  return body;
}

// Callers' text may be invalid UTF-8. Invalid bytes are replaced, since dump()
// would throw otherwise.
std::string
Dump(const Json& aBody)
{
  return aBody.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

HttpResponse
ToResponse(const Problem& aProblem, const std::string& aRequestId)
{
  HttpResponse response{ .status = aProblem.status,
                         .contentType = "application/problem+json",
                         .headers = { { "X-Request-Id", aRequestId } },
                         .body = Dump(ToJson(aProblem, aRequestId)) };
  if (aProblem.retryAfter > Duration::zero()) {
    const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(aProblem.retryAfter).count();
    response.headers.push_back({ "Retry-After", std::to_string(seconds) });
  }
  return response;
}

std::string
ToErrorObject(const Problem& aProblem, const std::string& aRequestId)
{
  return Dump(Json{ { "error", ToJson(aProblem, aRequestId) } });
}

} // namespace firefly

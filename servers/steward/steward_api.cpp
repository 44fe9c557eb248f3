#include "servers/steward/steward_api.h"

#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

#include "servers/status/status_server.h"

namespace firefly {

namespace {

using nlohmann::json;

constexpr int kAccepted = 202;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kNotAllowed = 405;
constexpr int kConflict = 409;
constexpr int kMisdirected = 421;
constexpr int kUnprocessable = 422;

const char*
NameOf(ChangeKind aKind)
{
  switch (aKind) {
    case ChangeKind::kDrain:
      return "drain";
    case ChangeKind::kAdmit:
      return "undrain";
    case ChangeKind::kOrder:
      return "order";
  }
  return "unknown";
}

json
EncodeBackend(const BackendStatus& aStatus)
{
  json waits = json::array();
  for (const HostId& host : aStatus.unacknowledgedHosts) {
    waits.push_back(host.Value());
  }
  json order;
  if (aStatus.lastOrder != coord::OrderId()) {
    order = { { "id", aStatus.lastOrder.Value() },
              { "fence", aStatus.lastFence.Value() } };
  }
  return {
    { "id", aStatus.id.Value() },
    { "state", aStatus.state },
    { "role", coord::ToString(aStatus.serving.role) },
    { "model", aStatus.serving.model.Value() },
    { "version", aStatus.serving.modelVersion },
    { "adapter", aStatus.serving.adapter },
    { "change", aStatus.change ? json(NameOf(*aStatus.change)) : json() },
    { "last_order", std::move(order) },
    { "waits_for", std::move(waits) },
    { "in_flight", aStatus.inFlight },
  };
}

// The wanted state of a role or load command, or nothing if the body is
// malformed.
std::optional<coord::WantedState>
ParseWanted(coord::WantedState aServing,
            const std::string& aVerb,
            const std::string& aBody)
{
  const json body = json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    return std::nullopt;
  }
  try {
    if (aVerb == "role") {
      const auto role =
        coord::ParseBackendRole(body.at("role").get<std::string>());
      if (!role || *role == coord::BackendRole::kPlain) {
        return std::nullopt;
      }
      aServing.role = *role;
      return aServing;
    }
    aServing.model = ModelId(body.at("model").get<std::string>());
    aServing.modelVersion = body.value("version", "");
    aServing.adapter = body.value("adapter", "");
    return aServing;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

HttpResponse
ResponseFromError(const ChangeError& aError)
{
  switch (aError.kind) {
    case ChangeErrorKind::kUnknownBackend:
      return MakeProblem(kNotFound, "Unknown backend server", aError.message);
    case ChangeErrorKind::kBusy:
      return MakeProblem(kConflict, "Change under way", aError.message);
    case ChangeErrorKind::kUnsupported:
      return MakeProblem(kUnprocessable, "No such change", aError.message);
    case ChangeErrorKind::kNotLeading:
      break;
  }
  return MakeProblem(kMisdirected, "Not the authority", aError.message);
}

} // namespace

StewardApi::StewardApi(StewardService& aService, Options aOptions)
  : mService(aService)
  , mOptions(std::move(aOptions))
{
}

void
StewardApi::Handle(const HttpRequest& aRequest,
                   const HttpResponderPtr& aResponder)
{
  const std::vector<std::string> path = SplitPath(aRequest.path);
  if (path.size() == 1 && path[0] == "fleet") {
    aResponder->Send(aRequest.method == "GET"
                       ? FleetResponse()
                       : MakeProblem(kNotAllowed, "Wrong method", "GET only"));
    return;
  }
  if (path.size() != 2) {
    aResponder->Send(MakeProblem(kNotFound, "Not found", "no such path"));
    return;
  }
  if (aRequest.method != "POST") {
    aResponder->Send(MakeProblem(kNotAllowed, "Wrong method", "POST only"));
    return;
  }
  aResponder->Send(HandleCommand(path[0], BackendId(path[1]), aRequest.body));
}

HttpResponse
StewardApi::FleetResponse() const
{
  json holder;
  if (const auto current = mService.Authority().CurrentHolder()) {
    const auto url = mOptions.urls.find(current->host);
    holder = {
      { "host", current->host.Value() },
      { "incarnation", current->incarnation.Value() },
      { "fence", current->fence.Value() },
      { "url", url == mOptions.urls.end() ? "" : url->second },
    };
  }
  json backends = json::array();
  for (const BackendStatus& status : mService.Changes().Status()) {
    backends.push_back(EncodeBackend(status));
  }
  const json body = {
    { "holder", std::move(holder) },
    { "leading", mService.Authority().Held().has_value() },
    { "known", mService.Stream().Folding().Ready() },
    { "plan_version", mService.Stream().State().PlanVersion().Value() },
    { "backends", std::move(backends) },
  };
  return { .status = 200, .headers = {}, .body = body.dump() };
}

HttpResponse
StewardApi::HandleCommand(const std::string& aVerb,
                          const BackendId& aBackend,
                          const std::string& aBody)
{
  if (!mService.Authority().Held()) {
    return NotHolderResponse();
  }
  FleetChange change;
  if (aVerb == "drain") {
    change.kind = ChangeKind::kDrain;
  } else if (aVerb == "undrain") {
    change.kind = ChangeKind::kAdmit;
  } else if (aVerb == "role" || aVerb == "load") {
    const coord::WantedState* serving =
      mService.Changes().ServingState(aBackend);
    const auto wanted = ParseWanted(
      serving == nullptr ? coord::WantedState{} : *serving, aVerb, aBody);
    if (!wanted) {
      return MakeProblem(kBadRequest,
                         "Malformed command",
                         "the body is not valid for the command " + aVerb);
    }
    change.kind = ChangeKind::kOrder;
    change.wanted = *wanted;
  } else {
    return MakeProblem(kNotFound, "Not found", "no such command");
  }
  const auto accepted = mService.Changes().Request(aBackend, std::move(change));
  if (!accepted) {
    return ResponseFromError(accepted.error());
  }
  return { .status = kAccepted, .headers = {}, .body = "{}" };
}

HttpResponse
StewardApi::NotHolderResponse() const
{
  HttpResponse response = MakeProblem(
    kMisdirected, "Not the authority", "another steward holds the authority");
  json body = json::parse(response.body);
  if (const auto holder = mService.Authority().CurrentHolder()) {
    const auto url = mOptions.urls.find(holder->host);
    body["holder"] = holder->host.Value();
    body["holder_url"] = url == mOptions.urls.end() ? "" : url->second;
  }
  response.body = body.dump();
  return response;
}

} // namespace firefly

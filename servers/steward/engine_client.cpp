#include "servers/steward/engine_client.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace firefly {

namespace {

using nlohmann::json;

constexpr int kFirstError = 300;
constexpr int kFirstServerError = 500;
constexpr std::size_t kMaxStateBytes = 65536;

EngineError
ErrorFromTransport(const HttpError& aError)
{
  const bool notSent = aError.kind == HttpErrorKind::kNotSent;
  return { .kind =
             notSent ? EngineErrorKind::kNotSent : EngineErrorKind::kUnknown,
           .message = aError.message };
}

EngineError
ErrorFromStatus(int aStatus)
{
  const bool refused = aStatus < kFirstServerError;
  return { .kind =
             refused ? EngineErrorKind::kRefused : EngineErrorKind::kUnknown,
           .message = "status " + std::to_string(aStatus) };
}

json
EncodeOrder(const coord::Order& aOrder)
{
  return { { "order_id", aOrder.id.Value() },
           { "fence", aOrder.fence.Value() },
           { "wanted",
             { { "role", coord::ToString(aOrder.wanted.role) },
               { "model", aOrder.wanted.model.Value() },
               { "adapter", aOrder.wanted.adapter },
               { "version", aOrder.wanted.modelVersion } } } };
}

std::optional<std::string>
OptionalText(const json& aState, const char* aKey)
{
  if (!aState.contains(aKey) || !aState[aKey].is_string()) {
    return std::nullopt;
  }
  return aState[aKey].get<std::string>();
}

// The number under the key, or zero if the key is absent or null.
std::uint64_t
NumberOrZero(const json& aState, const char* aKey)
{
  if (!aState.contains(aKey) || aState[aKey].is_null()) {
    return 0;
  }
  return aState[aKey].get<std::uint64_t>();
}

EngineState
DecodeState(const json& aState)
{
  EngineState state;
  const auto role =
    coord::ParseBackendRole(aState.at("role").get<std::string>());
  state.role = role.value();
  state.model = ModelId(OptionalText(aState, "model").value_or(""));
  state.modelVersion = OptionalText(aState, "version");
  state.adapter = OptionalText(aState, "adapter");
  state.running = aState.at("running").get<std::uint64_t>();
  state.lastOrder = coord::OrderId(NumberOrZero(aState, "last_order"));
  state.fence = FencingNumber(NumberOrZero(aState, "fence"));
  state.changing = aState.at("changing").get<bool>();
  return state;
}

tl::expected<EngineState, EngineError>
ParseState(const HttpResult& aResult)
{
  if (aResult.status >= kFirstError) {
    return tl::make_unexpected(ErrorFromStatus(aResult.status));
  }
  try {
    return DecodeState(json::parse(aResult.body));
  } catch (const std::exception& error) {
    return tl::make_unexpected(EngineError{ .kind = EngineErrorKind::kUnknown,
                                            .message = error.what() });
  }
}

} // namespace

bool
EngineState::Serves(const coord::WantedState& aWanted) const
{
  return role == aWanted.role && model == aWanted.model &&
         modelVersion.value_or(aWanted.modelVersion) == aWanted.modelVersion &&
         adapter.value_or(aWanted.adapter) == aWanted.adapter;
}

HttpEngineClient::HttpEngineClient(HttpClient& aClient, Options aOptions)
  : mClient(aClient)
  , mOptions(std::move(aOptions))
{
}

void
HttpEngineClient::SendOrder(const coord::Order& aOrder, OrderCallback aCallback)
{
  HttpCall call;
  call.method = "POST";
  call.url = mOptions.url + "/orders";
  call.headers.push_back({ "Content-Type", "application/json" });
  call.body = EncodeOrder(aOrder).dump();
  // libcurl resends a request when a pooled connection turns out to be dead, so
  // the engine could receive the order twice. A new connection avoids this.
  call.freshConnection = true;
  StartCall(std::move(call),
            [callback = std::move(aCallback)](
              const tl::expected<HttpResult, HttpError>& aResult) {
              if (!aResult) {
                callback(
                  tl::make_unexpected(ErrorFromTransport(aResult.error())));
                return;
              }
              if (aResult->status >= kFirstError) {
                callback(tl::make_unexpected(ErrorFromStatus(aResult->status)));
                return;
              }
              callback({});
            });
}

void
HttpEngineClient::ReadState(StateCallback aCallback)
{
  HttpCall call;
  call.url = mOptions.url + "/state";
  // A late copy of an earlier report on a pooled connection would be taken for
  // the present state.
  call.freshConnection = true;
  StartCall(std::move(call),
            [callback = std::move(aCallback)](
              const tl::expected<HttpResult, HttpError>& aResult) {
              if (!aResult) {
                callback(
                  tl::make_unexpected(ErrorFromTransport(aResult.error())));
                return;
              }
              callback(ParseState(*aResult));
            });
}

void
HttpEngineClient::StartCall(HttpCall aCall, Callback aCallback)
{
  aCall.connectTimeout = mOptions.connectTimeout;
  aCall.totalTimeout = mOptions.requestTimeout;
  aCall.maxBodyBytes = kMaxStateBytes;
  const auto it = mCalls.insert(mCalls.end(), PendingCall{});
  it->callback = std::move(aCallback);
  it->transfer = mClient.Stream(
    std::move(aCall),
    { .onHead =
        [it](int aStatus, const HttpHeaders& /*aHeaders*/) {
          it->result.status = aStatus;
        },
      .onBody = [it](std::string_view aBytes) { it->result.body += aBytes; },
      .onDone =
        [this, it](const tl::expected<void, HttpError>& aDone) {
          FinishCall(it, aDone);
        } });
}

void
HttpEngineClient::FinishCall(std::list<PendingCall>::iterator aCall,
                             const tl::expected<void, HttpError>& aDone)
{
  std::list<PendingCall> done;
  done.splice(done.begin(), mCalls, aCall);
  if (!aDone) {
    aCall->callback(tl::make_unexpected(aDone.error()));
    return;
  }
  aCall->callback(std::move(aCall->result));
}

} // namespace firefly

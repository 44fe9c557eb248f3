#include "servers/entry/plain_call_runner.h"

#include <utility>

namespace firefly {

namespace {

constexpr std::size_t kMaxAnswerBytes = 4U << 20U;

} // namespace

HttpCall
MakePlainCall(const PlainCall& aCall,
              const std::string& aBackendUrl,
              const EntrySettings& aLimits)
{
  HttpCall call;
  call.method = aCall.head.type->method;
  call.url = aBackendUrl + aCall.head.type->path;
  if (!aCall.query.empty()) {
    call.url += '?' + aCall.query;
  }
  call.headers = { { "Content-Type", aCall.contentType },
                   { "X-Request-Id", aCall.head.requestId } };
  if (!aCall.idempotencyKey.empty()) {
    call.headers.push_back({ "Idempotency-Key", aCall.idempotencyKey });
  }
  call.body = aCall.body;
  call.connectTimeout = aLimits.connectTimeout;
  call.totalTimeout = aLimits.requestTimeout;
  call.stallTimeout = aLimits.stallTimeout;
  call.freshConnection = true;
  call.maxBodyBytes = kMaxAnswerBytes;
  return call;
}

PlainCallRunner::PlainCallRunner(HttpClient& aClient,
                                 HttpCall aCall,
                                 OutstandingAttempts::Token aToken,
                                 Callback aCallback)
  : mToken(std::move(aToken))
  , mCallback(std::move(aCallback))
{
  mTransfer = aClient.Stream(
    std::move(aCall),
    { .onHead =
        [this](int aStatus, const HttpHeaders& aHeaders) {
          mResult.status = aStatus;
          mResult.headers = aHeaders;
        },
      .onBody = [this](std::string_view aBytes) { mResult.body += aBytes; },
      .onDone =
        [this](const tl::expected<void, HttpError>& aDone) {
          // The callback may destroy this object.
          const auto callback = std::move(mCallback);
          if (aDone) {
            callback(std::move(mResult));
          } else {
            callback(tl::unexpected(aDone.error()));
          }
        } });
}

HttpResponse
ToCallerResponse(HttpResult aResult, const std::string& aRequestId)
{
  const auto type = FindHeader(aResult.headers, "Content-Type");
  return { .status = aResult.status,
           .contentType =
             type.empty() ? "application/octet-stream" : std::string(type),
           .headers = { { "X-Request-Id", aRequestId } },
           .body = std::move(aResult.body) };
}

} // namespace firefly

#include "servers/platform/http_log_client.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "servers/platform/base64.h"

namespace firefly {

namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kGone = 410;
constexpr int kFirstServerError = 500;
constexpr int kServiceUnavailable = 503;

coord::LogError
Unavailable(std::string aMessage)
{
  return { .kind = coord::LogErrorKind::kUnavailable,
           .message = std::move(aMessage) };
}

coord::LogError
Unknown(std::string aMessage)
{
  return { .kind = coord::LogErrorKind::kUnknown,
           .message = std::move(aMessage) };
}

coord::LogError
ErrorFromTransport(const HttpError& aError)
{
  return aError.kind == HttpErrorKind::kNotSent ? Unavailable(aError.message)
                                                : Unknown(aError.message);
}

// A status below 500 and status 503 refuse the call, which then had no effect.
// After any other server error the call may have taken effect.
coord::LogError
ErrorFromStatus(int aStatus)
{
  const std::string message = "status " + std::to_string(aStatus);
  if (aStatus == kGone) {
    return { .kind = coord::LogErrorKind::kTrimmed, .message = message };
  }
  const bool refused =
    aStatus < kFirstServerError || aStatus == kServiceUnavailable;
  return refused ? Unavailable(message) : Unknown(message);
}

tl::expected<coord::LogOffset, coord::LogError>
ParseAppended(const HttpResult& aResult)
{
  if (aResult.status != kOk) {
    return tl::make_unexpected(ErrorFromStatus(aResult.status));
  }
  const json answer = json::parse(aResult.body, nullptr, false);
  if (!answer.is_object() || !answer.contains("first") ||
      !answer["first"].is_number_unsigned()) {
    return tl::make_unexpected(Unknown("malformed response to an append"));
  }
  return coord::LogOffset(answer["first"].get<std::uint64_t>());
}

coord::LogBatch
DecodeBatch(const json& aAnswer)
{
  coord::LogBatch batch;
  batch.first = coord::LogOffset(aAnswer.at("first").get<std::uint64_t>());
  batch.end = coord::LogOffset(aAnswer.at("end").get<std::uint64_t>());
  for (const json& record : aAnswer.at("records")) {
    const auto payload =
      DecodeBase64(record.at("payload").get_ref<const std::string&>());
    batch.records.push_back(
      { .offset = coord::LogOffset(record.at("offset").get<std::uint64_t>()),
        .payload = payload.value() });
  }
  return batch;
}

tl::expected<coord::LogBatch, coord::LogError>
ParseBatch(const HttpResult& aResult)
{
  if (aResult.status != kOk) {
    return tl::make_unexpected(ErrorFromStatus(aResult.status));
  }
  try {
    return DecodeBatch(json::parse(aResult.body));
  } catch (const std::exception& error) {
    return tl::make_unexpected(Unknown(error.what()));
  }
}

} // namespace

HttpLogClient::HttpLogClient(HttpClient& aClient, Options aOptions)
  : mClient(aClient)
  , mOptions(std::move(aOptions))
{
}

HttpCall
HttpLogClient::MakeCall(const coord::StreamName& aStream) const
{
  HttpCall call;
  call.url = mOptions.url + "/" + mOptions.streamPrefix + aStream.Value();
  call.connectTimeout = mOptions.connectTimeout;
  call.totalTimeout = mOptions.requestTimeout;
  return call;
}

void
HttpLogClient::Append(const coord::StreamName& aStream,
                      std::vector<std::string> aPayloads,
                      AppendCallback aCallback)
{
  json payloads = json::array();
  for (const std::string& payload : aPayloads) {
    payloads.push_back(EncodeBase64(payload));
  }
  HttpCall call = MakeCall(aStream);
  call.method = "POST";
  call.headers.push_back({ "Content-Type", "application/json" });
  call.body = payloads.dump();
  // libcurl resends a request when a pooled connection turns out to be dead,
  // which could append the records twice without notice. A pooled connection
  // whose peer no longer responds would cost the whole timeout.
  call.freshConnection = true;
  mClient.Fetch(
    std::move(call),
    [alive = std::weak_ptr<bool>(mAlive), callback = std::move(aCallback)](
      const tl::expected<HttpResult, HttpError>& aResult) {
      if (alive.expired()) {
        return;
      }
      if (!aResult) {
        callback(tl::make_unexpected(ErrorFromTransport(aResult.error())));
        return;
      }
      callback(ParseAppended(*aResult));
    });
}

void
HttpLogClient::Read(const coord::StreamName& aStream,
                    coord::LogOffset aFrom,
                    std::size_t aLimit,
                    ReadCallback aCallback)
{
  const auto wait =
    std::chrono::duration_cast<std::chrono::milliseconds>(mOptions.readWait);
  HttpCall call = MakeCall(aStream);
  call.url += "?from=" + std::to_string(aFrom.Value()) +
              "&limit=" + std::to_string(aLimit) +
              "&wait_ms=" + std::to_string(wait.count());
  BoundByProgress(call, mOptions.requestTimeout + mOptions.readWait);
  mClient.Fetch(
    std::move(call),
    [alive = std::weak_ptr<bool>(mAlive), callback = std::move(aCallback)](
      const tl::expected<HttpResult, HttpError>& aResult) {
      if (alive.expired()) {
        return;
      }
      if (!aResult) {
        callback(tl::make_unexpected(ErrorFromTransport(aResult.error())));
        return;
      }
      callback(ParseBatch(*aResult));
    });
}

} // namespace firefly

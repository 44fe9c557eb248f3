#include "servers/platform/weight_store_client.h"

#include <charconv>
#include <utility>

namespace firefly {

namespace {

constexpr int kOk = 200;
constexpr int kTooManyRequests = 429;
constexpr std::int64_t kDefaultRetrySeconds = 1;

Duration
RetryAfter(const HttpHeaders& aHeaders)
{
  const std::string_view text = FindHeader(aHeaders, "Retry-After");
  std::int64_t seconds = kDefaultRetrySeconds;
  std::from_chars(text.data(), text.data() + text.size(), seconds);
  return std::chrono::seconds(seconds);
}

tl::expected<void, PlatformError>
ParseReservation(const tl::expected<HttpResult, HttpError>& aResult)
{
  if (!aResult) {
    return tl::make_unexpected(
      PlatformError{ .kind = PlatformErrorKind::kUnavailable,
                     .message = aResult.error().message });
  }
  if (aResult->status == kOk) {
    return {};
  }
  const bool limited = aResult->status == kTooManyRequests;
  return tl::make_unexpected(
    PlatformError{ .kind = limited ? PlatformErrorKind::kLimited
                                   : PlatformErrorKind::kUnavailable,
                   .message = "status " + std::to_string(aResult->status),
                   .retryAfter = RetryAfter(aResult->headers) });
}

} // namespace

WeightStoreClient::WeightStoreClient(HttpClient& aClient, Options aOptions)
  : mClient(aClient)
  , mOptions(std::move(aOptions))
{
}

void
WeightStoreClient::Reserve(const ModelId& aModel, Callback aCallback)
{
  HttpCall call;
  call.url = mOptions.url + "/" + aModel.Value();
  call.totalTimeout = mOptions.requestTimeout;
  mClient.Fetch(
    std::move(call),
    [alive = std::weak_ptr<bool>(mAlive), callback = std::move(aCallback)](
      const tl::expected<HttpResult, HttpError>& aResult) {
      if (!alive.expired()) {
        callback(ParseReservation(aResult));
      }
    });
}

} // namespace firefly

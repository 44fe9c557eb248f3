#include "servers/platform/host_list_client.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace firefly {

namespace {

using nlohmann::json;

constexpr int kOk = 200;

ListedHost
DecodeHost(const json& aHost)
{
  return { .id = HostId(aHost.at("id").get<std::string>()),
           .address = aHost.value("address", ""),
           .domain = DomainId(aHost.value("domain", "")),
           .leaving = aHost.value("leaving", false) };
}

tl::expected<std::vector<ListedHost>, PlatformError>
ParseHostList(const tl::expected<HttpResult, HttpError>& aResult)
{
  if (!aResult) {
    return tl::make_unexpected(
      PlatformError{ .kind = PlatformErrorKind::kUnavailable,
                     .message = aResult.error().message });
  }
  if (aResult->status != kOk) {
    return tl::make_unexpected(
      PlatformError{ .kind = PlatformErrorKind::kUnavailable,
                     .message = "status " + std::to_string(aResult->status) });
  }
  try {
    std::vector<ListedHost> hosts;
    const json answer = json::parse(aResult->body);
    for (const json& host : answer.at("hosts")) {
      hosts.push_back(DecodeHost(host));
    }
    return hosts;
  } catch (const json::exception& error) {
    return tl::make_unexpected(PlatformError{
      .kind = PlatformErrorKind::kMalformed, .message = error.what() });
  }
}

} // namespace

HostListClient::HostListClient(HttpClient& aClient, Options aOptions)
  : mClient(aClient)
  , mOptions(std::move(aOptions))
{
}

void
HostListClient::Fetch(Callback aCallback)
{
  HttpCall call;
  call.url = mOptions.url;
  call.totalTimeout = mOptions.requestTimeout;
  mClient.Fetch(
    std::move(call),
    [alive = std::weak_ptr<bool>(mAlive), callback = std::move(aCallback)](
      const tl::expected<HttpResult, HttpError>& aResult) {
      if (!alive.expired()) {
        callback(ParseHostList(aResult));
      }
    });
}

} // namespace firefly

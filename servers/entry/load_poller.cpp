#include "servers/entry/load_poller.h"

#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

namespace firefly {

namespace {

using Json = nlohmann::json;

constexpr Duration kTimeout = std::chrono::seconds(1);
constexpr std::size_t kMaxReportBytes = 4096;

std::optional<std::uint32_t>
CountAt(const Json& aBody, const char* aKey)
{
  const auto it = aBody.find(aKey);
  if (it == aBody.end() || !it->is_number_unsigned()) {
    return std::nullopt;
  }
  return it->get<std::uint32_t>();
}

} // namespace

LoadPoller::LoadPoller(const Options& aOptions,
                       Executor& aExecutor,
                       HttpClient& aClient,
                       policy::RequestRouter& aRouter)
  : mOptions(aOptions)
  , mExecutor(aExecutor)
  , mClient(aClient)
  , mRouter(aRouter)
{
}

void
LoadPoller::Start()
{
  for (const auto& it : mOptions.settings->backends) {
    if (it.kind == BackendKind::kEngine && mAsked.insert(it.id).second) {
      Ask(it);
    }
  }
  mTimer = mExecutor.RunAfter(mOptions.interval, [this] { Start(); });
}

void
LoadPoller::Ask(const BackendSettings& aBackend)
{
  HttpCall call;
  call.url = aBackend.url + "/load";
  call.connectTimeout = mOptions.settings->entry.connectTimeout;
  call.totalTimeout = kTimeout;
  call.maxBodyBytes = kMaxReportBytes;
  mClient.Fetch(std::move(call),
                [this, id = aBackend.id](
                  const tl::expected<HttpResult, HttpError>& aResult) {
                  mAsked.erase(id);
                  if (aResult && aResult->status == 200) {
                    TakeReport(id, aResult->body);
                  }
                });
}

void
LoadPoller::TakeReport(const BackendId& aBackend, const std::string& aBody)
{
  const auto body = Json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    return;
  }
  const auto requests = CountAt(body, "requests");
  const auto prefill = CountAt(body, "prefill_tokens");
  if (requests && prefill) {
    mRouter.OnReport(
      { .backend = aBackend, .requests = *requests, .prefillTokens = *prefill },
      mExecutor.Now());
  }
}

} // namespace firefly

#include "servers/entry/load_poller.h"

#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

namespace firefly {

namespace {

using Json = nlohmann::json;

constexpr Duration kReportTimeout = std::chrono::seconds(1);
constexpr std::size_t kMaxReportBytes = 4096;

std::optional<std::uint32_t>
ReadCount(const Json& aBody, const char* aKey)
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
    if (it.kind == BackendKind::kEngine && mPending.insert(it.id).second) {
      RequestReport(it);
    }
  }
  mTimer = mExecutor.RunAfter(mOptions.interval, [this] { Start(); });
}

void
LoadPoller::RequestReport(const BackendSettings& aBackend)
{
  HttpCall call;
  call.url = aBackend.url + "/load";
  call.connectTimeout = mOptions.settings->entry.connectTimeout;
  call.totalTimeout = kReportTimeout;
  call.maxBodyBytes = kMaxReportBytes;
  mClient.Fetch(std::move(call),
                [this, id = aBackend.id](
                  const tl::expected<HttpResult, HttpError>& aResult) {
                  mPending.erase(id);
                  if (aResult && aResult->status == 200) {
                    HandleReport(id, aResult->body);
                  }
                });
}

void
LoadPoller::HandleReport(const BackendId& aBackend, const std::string& aBody)
{
  const auto body = Json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    return;
  }
  const auto requests = ReadCount(body, "requests");
  const auto prefill = ReadCount(body, "prefill_tokens");
  if (requests && prefill) {
    mRouter.OnReport(
      { .backend = aBackend, .requests = *requests, .prefillTokens = *prefill },
      mExecutor.Now());
  }
}

} // namespace firefly

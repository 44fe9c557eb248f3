#include "servers/relay/routing_table_fetcher.h"

#include <utility>

namespace firefly {

namespace {

constexpr int kOk = 200;
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
constexpr Duration kAnswerTimeout = std::chrono::seconds(1);
constexpr std::size_t kMaxRecordBytes = 4U << 20U;

} // namespace

RoutingTableFetcher::RoutingTableFetcher(HttpClient& aClient, Handler aHandler)
  : mClient(aClient)
  , mHandler(std::move(aHandler))
{
}

void
RoutingTableFetcher::Fetch(const std::string& aPeer)
{
  if (std::exchange(mIsFetching, true)) {
    return;
  }
  HttpCall call;
  call.url = "http://" + aPeer + kRoutingPath;
  call.connectTimeout = kConnectTimeout;
  call.totalTimeout = kAnswerTimeout;
  call.maxBodyBytes = kMaxRecordBytes;
  mClient.Fetch(std::move(call),
                [this, aPeer, alive = std::weak_ptr<bool>(mAlive)](
                  const tl::expected<HttpResult, HttpError>& aResult) {
                  if (alive.expired()) {
                    return;
                  }
                  mIsFetching = false;
                  if (aResult && aResult->status == kOk) {
                    mHandler(&aResult->body);
                    return;
                  }
                  mLog.Warning(
                    "fetch of the routing table from a peer failed",
                    { { "peer", aPeer },
                      { "why",
                        aResult ? "status " + std::to_string(aResult->status)
                                : aResult.error().message } });
                  mHandler(nullptr);
                });
}

} // namespace firefly

#include "servers/relay/routing_borrower.h"

#include <utility>

namespace firefly {

namespace {

constexpr int kOk = 200;
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
constexpr Duration kAnswerTimeout = std::chrono::seconds(1);
constexpr std::size_t kMaxRecordBytes = 4U << 20U;

} // namespace

RoutingBorrower::RoutingBorrower(HttpClient& aClient, Handler aHandler)
  : mClient(aClient)
  , mHandler(std::move(aHandler))
{
}

void
RoutingBorrower::Ask(const std::string& aPeer)
{
  if (std::exchange(mAsking, true)) {
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
                  mAsking = false;
                  if (aResult && aResult->status == kOk) {
                    mHandler(aResult->body);
                    return;
                  }
                  mLog.Warning(
                    "peer gave no routing table",
                    { { "peer", aPeer },
                      { "why",
                        aResult ? "status " + std::to_string(aResult->status)
                                : aResult.error().message } });
                });
}

} // namespace firefly

#include "servers/entry/plan_fetcher.h"

#include <string>
#include <utility>

namespace firefly {

namespace {

constexpr int kOk = 200;

} // namespace

PlanFetcher::PlanFetcher(const Options& aOptions,
                         Executor& aExecutor,
                         HttpClient& aClient,
                         PlanReplica& aReplica)
  : mOptions(aOptions)
  , mExecutor(aExecutor)
  , mClient(aClient)
  , mReplica(aReplica)
{
}

void
PlanFetcher::Start()
{
  mTimer = mExecutor.RunAfter(mOptions.interval, [this] { FetchFromPeers(); });
}

void
PlanFetcher::FetchFromPeers()
{
  if (mReplica.HasReadLog()) {
    return;
  }
  for (const auto& it : mOptions.settings->peers) {
    if (it.id != mOptions.settings->host.id) {
      FetchFrom(it);
    }
  }
  Start();
}

void
PlanFetcher::FetchFrom(const HostSettings& aPeer)
{
  HttpCall call;
  call.url = "http://" + aPeer.address + ":" +
             std::to_string(aPeer.entryAdminPort) + "/admin/" + kPlanName;
  call.totalTimeout = mOptions.timeout;
  call.maxBodyBytes = mOptions.maxPlanBytes;
  mClient.Fetch(std::move(call),
                [this](const tl::expected<HttpResult, HttpError>& aResult) {
                  if (aResult && aResult->status == kOk) {
                    mReplica.ApplyPeerPlan(aResult->body);
                  }
                });
}

} // namespace firefly

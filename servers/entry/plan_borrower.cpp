#include "servers/entry/plan_borrower.h"

#include <string>
#include <utility>

namespace firefly {

namespace {

constexpr int kOk = 200;

} // namespace

PlanBorrower::PlanBorrower(const Options& aOptions,
                           Executor& aExecutor,
                           HttpClient& aClient,
                           PlanKeeper& aKeeper)
  : mOptions(aOptions)
  , mExecutor(aExecutor)
  , mClient(aClient)
  , mKeeper(aKeeper)
{
}

void
PlanBorrower::Start()
{
  mTimer = mExecutor.RunAfter(mOptions.interval, [this] { AskPeers(); });
}

void
PlanBorrower::AskPeers()
{
  if (mKeeper.Read()) {
    return;
  }
  for (const auto& it : mOptions.settings->peers) {
    if (it.id != mOptions.settings->host.id) {
      Ask(it);
    }
  }
  Start();
}

void
PlanBorrower::Ask(const HostSettings& aPeer)
{
  HttpCall call;
  call.url = "http://" + aPeer.address + ":" +
             std::to_string(aPeer.entryAdminPort) + "/admin/" + kPlanName;
  call.totalTimeout = mOptions.timeout;
  call.maxBodyBytes = mOptions.maxPlanBytes;
  mClient.Fetch(std::move(call),
                [this](const tl::expected<HttpResult, HttpError>& aResult) {
                  if (aResult && aResult->status == kOk) {
                    mKeeper.Borrow(aResult->body);
                  }
                });
}

} // namespace firefly

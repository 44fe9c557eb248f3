#include "servers/entry/plan_reporter.h"

#include <utility>

namespace firefly {

PlanReporter::PlanReporter(const Options& aOptions,
                           AsioExecutor& aExecutor,
                           MakeReport aMakeReport)
  : mOptions(aOptions)
  , mExecutor(aExecutor)
  , mMakeReport(std::move(aMakeReport))
{
  for (const auto& it : mOptions.settings->peers) {
    LinkClient::Options link;
    link.address = it.address;
    link.port = it.stewardLinkPort;
    mStewards.push_back(std::make_unique<LinkClient>(mExecutor, link));
  }
}

void
PlanReporter::Report()
{
  const auto body = Encode(mMakeReport());
  for (const auto& it : mStewards) {
    it->Call(kAcknowledgePath, body, mOptions.interval, [](const auto&) {});
  }
  mTimer = mExecutor.RunAfter(mOptions.interval, [this] { Report(); });
}

} // namespace firefly

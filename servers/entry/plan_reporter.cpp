#include "servers/entry/plan_reporter.h"

#include <utility>

namespace firefly {

PlanReporter::PlanReporter(const Options& aOptions,
                           AsioExecutor& aExecutor,
                           MakeReport aMakeReport,
                           FindHolder aFindHolder)
  : mOptions(aOptions)
  , mExecutor(aExecutor)
  , mMakeReport(std::move(aMakeReport))
  , mFindHolder(std::move(aFindHolder))
{
  for (const auto& it : mOptions.settings->peers) {
    LinkClient::Options link;
    link.address = it.address;
    link.port = it.stewardLinkPort;
    mStewards.emplace(it.id, std::make_unique<LinkClient>(mExecutor, link));
  }
}

void
PlanReporter::Report()
{
  const auto body = Encode(mMakeReport());
  const auto holder = mFindHolder();
  const bool known = holder && mStewards.contains(*holder);
  for (const auto& [host, link] : mStewards) {
    if (!known || host == *holder) {
      link->Call(kAcknowledgePath, body, mOptions.interval, [](const auto&) {});
    }
  }
  mTimer = mExecutor.RunAfter(mOptions.interval, [this] { Report(); });
}

} // namespace firefly

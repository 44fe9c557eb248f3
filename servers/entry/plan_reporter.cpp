#include "servers/entry/plan_reporter.h"

#include <utility>

namespace firefly {

PlanReporter::PlanReporter(const Options& aOptions,
                           AsioExecutor& aExecutor,
                           MakeReport aMakeReport,
                           FindLeader aFindLeader)
  : mOptions(aOptions)
  , mExecutor(aExecutor)
  , mMakeReport(std::move(aMakeReport))
  , mFindLeader(std::move(aFindLeader))
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
  const auto leader = mFindLeader();
  const bool isLeaderKnown = leader && mStewards.contains(*leader);
  for (const auto& [host, link] : mStewards) {
    if (!isLeaderKnown || host == *leader) {
      link->Call(kEntryReportPath, body, mOptions.interval, [](const auto&) {});
    }
  }
  mTimer = mExecutor.RunAfter(mOptions.interval, [this] { Report(); });
}

} // namespace firefly

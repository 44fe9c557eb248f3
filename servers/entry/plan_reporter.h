#pragma once

// Tells the steward that leads the version of the plan that this entry acts on,
// and its running work: a planned change waits until each entry has told so.

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "servers/link/link_client.h"
#include "servers/settings/settings.h"
#include "servers/steward/entry_reports.h"

namespace firefly {

class PlanReporter
{
public:
  using MakeReport = std::function<EntryReport()>;
  // The host of the steward that leads; nothing if it is not known.
  using FindLeader = std::function<std::optional<HostId>()>;

  struct Options
  {
    const Settings* settings = nullptr;
    Duration interval = std::chrono::seconds(1);
  };

  // The executor must outlive the reporter.
  PlanReporter(const Options& aOptions,
               AsioExecutor& aExecutor,
               MakeReport aMakeReport,
               FindLeader aFindLeader);

  // Reports now, and then at each interval: to the holder alone, so that the
  // messages grow with the hosts and not with their square, or to all stewards
  // while the holder is not known.
  void Report();

private:
  Options mOptions;
  AsioExecutor& mExecutor;
  MakeReport mMakeReport;
  FindLeader mFindLeader;
  std::map<HostId, std::unique_ptr<LinkClient>> mStewards;
  Timer mTimer;
};

} // namespace firefly

#pragma once

// Reports the version of the plan that this entry acts on, and its running
// work, to the leading steward. A planned change waits for the reports of all
// entries.

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
  // Returns the host of the leading steward, or nothing if it is not known.
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

  // Reports now and then at each interval. The report goes to the leading
  // steward only, so that the number of messages grows linearly with the hosts
  // and not quadratically; while the leader is not known, it goes to all
  // stewards.
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

#pragma once

// Tells all stewards the version of the plan that this entry acts on, and its
// running work: a planned change waits until each entry has told so.

#include <functional>
#include <memory>
#include <vector>

#include "servers/link/link_client.h"
#include "servers/settings/settings.h"
#include "servers/steward/entry_reports.h"

namespace firefly {

class PlanReporter
{
public:
  using MakeReport = std::function<EntryReport()>;

  struct Options
  {
    const Settings* settings = nullptr;
    Duration interval = std::chrono::seconds(1);
  };

  // The executor must outlive the reporter.
  PlanReporter(const Options& aOptions,
               AsioExecutor& aExecutor,
               MakeReport aMakeReport);

  // Reports now, and then at each interval.
  void Report();

private:
  Options mOptions;
  AsioExecutor& mExecutor;
  MakeReport mMakeReport;
  std::vector<std::unique_ptr<LinkClient>> mStewards;
  Timer mTimer;
};

} // namespace firefly

#pragma once

// Logs when the confirmation of the routing table becomes older than the bound
// of the settings, and when it is recent enough again.

#include <functional>
#include <optional>

#include "core/executor.h"
#include "servers/log/log.h"

namespace firefly {

class StalenessMonitor
{
public:
  struct Options
  {
    // The maximum age of the confirmation; without a value, nothing is logged.
    std::optional<Duration> bound{};
    Duration checkInterval = std::chrono::milliseconds(100);
  };

  // Returns the time to which the table is confirmed; empty if there is no
  // table.
  using ConfirmedAt = std::function<std::optional<Instant>()>;

  StalenessMonitor(Options aOptions,
                   Executor& aExecutor,
                   ConfirmedAt aConfirmedAt);

  // Starts checking. Until the first table is loaded, the age counts from here.
  void Start();

  // Whether the bound was exceeded at the last check.
  [[nodiscard]] bool IsExceeded() const { return mIsExceeded; }

private:
  void Check();

  Options mOptions;
  Executor& mExecutor;
  ConfirmedAt mConfirmedAt;
  Log mLog{ "staleness" };
  Instant mStartedAt{};
  Instant mExceededAt{};
  bool mIsExceeded = false;
  Timer mTimer;
};

} // namespace firefly

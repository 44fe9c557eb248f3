#pragma once

// Holds decisions that need to know all changes of the backend servers up to an
// instant, until the log has been read since.
//
// The load it answers: thousands of streams that break at once are taken up
// within a second at all hosts. Each host waits for a short random time before
// it reads, so that many decisions share one read, and the progress of the
// first host that reads confirms the decisions of the others too.

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>

#include "core/executor.h"
#include "core/random.h"

namespace firefly {

class ConfirmationWaiter
{
public:
  struct Options
  {
    // A decision is due after this time, confirmed or not. Longer than a slow
    // log takes to answer; a caller whose host is cut off must have time left
    // for another host.
    Duration maxWait = std::chrono::seconds(1);
    Duration maxReadDelay = std::chrono::milliseconds(100);
    std::uint64_t seed = 1;
  };

  struct Parts
  {
    Executor* executor = nullptr;
    // Returns the instant up to which all changes are known.
    std::function<std::optional<Instant>()> confirmedAt;
    // Returns whether the log cannot be read.
    std::function<bool()> isLost;
    // Reads the log, unless a read is in progress.
    std::function<void()> read;
  };

  ConfirmationWaiter(Options aOptions, Parts aParts);
  ConfirmationWaiter(const ConfirmationWaiter&) = delete;
  ConfirmationWaiter& operator=(const ConfirmationWaiter&) = delete;

  // Calls aDone once, not within this call: when all changes up to aAsOf are
  // known, when the log cannot be read, or after the maximum wait. aAsOf must
  // not be earlier than that of the calls before.
  void Await(Instant aAsOf, std::function<void()> aDone);

  // The log was read, or a read failed.
  void OnRead();

  [[nodiscard]] std::size_t Waiting() const { return mEntries.size(); }

private:
  struct Entry
  {
    Instant asOf{};
    Instant dueAt{};
    std::function<void()> done;
  };

  // Calls those that are confirmed or due, and schedules a read for the others.
  void Check();

  Options mOptions;
  Parts mParts;
  std::deque<Entry> mEntries;
  Random mRandom;
  Timer mCheckTimer;
  Timer mReadTimer;
  Timer mDueTimer;
};

} // namespace firefly

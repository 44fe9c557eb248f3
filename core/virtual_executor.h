#pragma once

// An executor with a virtual clock. The order of its callbacks depends only on
// the calls made to it, not on the speed or load of the machine.

#include <cstdint>
#include <queue>
#include <vector>

#include "core/executor.h"

namespace firefly {

// Runs callbacks in the order of their due time. Callbacks that are due at the
// same time run in the order in which they were scheduled.
class VirtualExecutor : public Executor
{
public:
  [[nodiscard]] Instant Now() const override { return mNow; }
  [[nodiscard]] WallTime WallNow() const override;
  void Post(std::function<void()> aCallback) override;

  // Advances the clock to the next callback and runs it. Returns false if there
  // is none.
  bool RunOne();

  // Runs all callbacks that are due at or before the given time, then sets the
  // clock to it.
  void RunUntil(Instant aEnd);

  // Like RunUntil, for a span that begins now.
  void RunFor(Duration aSpan) { RunUntil(mNow + aSpan); }

protected:
  void Schedule(Duration aDelay, std::function<void()> aCallback) override;

private:
  struct ScheduledCallback
  {
    Instant due;
    std::uint64_t sequence;
    std::function<void()> callback;
  };
  struct IsDueLater
  {
    bool operator()(const ScheduledCallback& aLeft,
                    const ScheduledCallback& aRight) const;
  };

  Instant mNow{};
  std::uint64_t mSequence = 0;
  std::priority_queue<ScheduledCallback,
                      std::vector<ScheduledCallback>,
                      IsDueLater>
    mCallbacks;
};

} // namespace firefly

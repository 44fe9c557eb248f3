#pragma once

// An executor on a virtual clock: the same calls give the same order of
// callbacks, whatever the machine does meanwhile.

#include <cstdint>
#include <queue>
#include <vector>

#include "core/executor.h"

namespace firefly {

// Runs callbacks in the order of their due time, then of their making.
class VirtualExecutor : public Executor
{
public:
  [[nodiscard]] Instant Now() const override { return mNow; }
  [[nodiscard]] WallTime WallNow() const override;
  void Post(std::function<void()> aCallback) override;

  // Runs the next callback and moves the clock to it; false if there is none.
  bool RunOne();

  // Runs all that is due up to the time, then sets the clock to it.
  void RunUntil(Instant aEnd);

  // RunUntil, counted from now.
  void RunFor(Duration aSpan) { RunUntil(mNow + aSpan); }

protected:
  void Schedule(Duration aDelay, std::function<void()> aCallback) override;

private:
  struct Event
  {
    Instant due;
    std::uint64_t sequence;
    std::function<void()> callback;
  };
  struct Later
  {
    bool operator()(const Event& aLeft, const Event& aRight) const;
  };

  Instant mNow{};
  std::uint64_t mSequence = 0;
  std::priority_queue<Event, std::vector<Event>, Later> mEvents;
};

} // namespace firefly

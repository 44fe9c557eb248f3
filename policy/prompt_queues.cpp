#include "policy/prompt_queues.h"

#include <algorithm>

namespace firefly::policy {

namespace {

// Less work than this between two moments says nothing of the pace.
constexpr double kLeastSample = 0.005; // seconds
// The weight of one engine's new pace in the usual one.
constexpr double kUsualWeight = 0.05;

} // namespace

PromptQueues::PromptQueues(Options aOptions)
  : mOptions(aOptions)
{
}

PromptQueues::Place
PromptQueues::Add(BackendSlot aSlot, double aWork, Instant aNow)
{
  const double pace = PaceOf(aSlot);
  auto& queue = QueueAt(aSlot);
  if (queue.idleAt <= aNow) {
    queue.idleAt = aNow;
    queue.anchor = aNow;
    queue.anchorWork = queue.work;
  }
  queue.idleAt += FromSeconds(aWork * pace);
  queue.work += aWork;
  return { .workUntil = queue.work,
           .work = aWork,
           .readAt = queue.idleAt - queue.late };
}

void
PromptQueues::OnRead(BackendSlot aSlot, const Place& aPlace, Instant aNow)
{
  auto& queue = QueueAt(aSlot);
  Learn(queue, aPlace, aNow);
  const auto error = aNow - (aPlace.readAt + queue.late);
  queue.late += error;
  queue.idleAt += error;
}

void
PromptQueues::Learn(Queue& aQueue, const Place& aPlace, Instant aNow)
{
  const double work = aPlace.workUntil - aQueue.anchorWork;
  if (work < kLeastSample || aNow <= aQueue.anchor) {
    return;
  }
  const double sample = std::clamp(ToSeconds(aNow - aQueue.anchor) / work,
                                   mOptions.leastPace,
                                   mOptions.mostPace);
  const double before = aQueue.pace > 0 ? aQueue.pace : mUsualPace;
  const double weight = work / (work + mOptions.paceMemorySeconds);
  aQueue.pace = before + weight * (sample - before);
  mUsualPace += kUsualWeight * (aQueue.pace - mUsualPace);
  aQueue.anchor = aNow;
  aQueue.anchorWork = aPlace.workUntil;
}

void
PromptQueues::Remove(BackendSlot aSlot, const Place& aPlace, Instant aNow)
{
  auto& queue = QueueAt(aSlot);
  queue.work -= aPlace.work;
  queue.idleAt =
    std::max(aNow, queue.idleAt - FromSeconds(aPlace.work * PaceOf(aSlot)));
}

Duration
PromptQueues::WaitAt(BackendSlot aSlot, Instant aNow) const
{
  if (aSlot.Value() >= mQueues.size()) {
    return {};
  }
  return std::max(Duration::zero(), mQueues[aSlot.Value()].idleAt - aNow);
}

double
PromptQueues::PaceOf(BackendSlot aSlot) const
{
  if (aSlot.Value() >= mQueues.size() || mQueues[aSlot.Value()].pace <= 0) {
    return mUsualPace;
  }
  return mQueues[aSlot.Value()].pace;
}

PromptQueues::Queue&
PromptQueues::QueueAt(BackendSlot aSlot)
{
  if (mQueues.size() <= aSlot.Value()) {
    mQueues.resize(aSlot.Value() + 1);
  }
  return mQueues[aSlot.Value()];
}

} // namespace firefly::policy

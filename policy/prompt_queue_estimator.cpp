#include "policy/prompt_queue_estimator.h"

#include <algorithm>
#include <cmath>

namespace firefly::policy {

namespace {

// Samples with less work than this, at rated speed, are too short to measure
// the slowdown.
constexpr double kMinSampleSeconds = 0.005;
// Weight of an engine's new slowdown in the moving average over all engines.
constexpr double kAverageWeight = 0.05;

} // namespace

PromptQueueEstimator::PromptQueueEstimator(Options aOptions)
  : mOptions(aOptions)
{
}

PromptQueueEstimator::Ticket
PromptQueueEstimator::AddOwnPrompt(BackendSlot aSlot,
                                   EngineUrgency aUrgency,
                                   double aRatedSeconds,
                                   Instant aNow)
{
  const double slowdown = SlowdownOf(aSlot, aNow);
  auto& queue = QueueAt(aSlot);
  Advance(queue, slowdown, aNow);
  const Ticket ticket(++mLastTicket);
  Insert(queue,
         { .ticket = ticket,
           .urgency = aUrgency,
           .remainingSeconds = aRatedSeconds,
           .isOwn = true,
           .sentAt = aNow,
           .doneWhenSent = queue.doneSeconds });
  return ticket;
}

void
PromptQueueEstimator::AddPeerPrompt(BackendSlot aSlot,
                                    EngineUrgency aUrgency,
                                    double aRatedSeconds,
                                    Instant aNow)
{
  const double slowdown = SlowdownOf(aSlot, aNow);
  auto& queue = QueueAt(aSlot);
  Advance(queue, slowdown, aNow);
  Insert(queue,
         { .ticket = Ticket(++mLastTicket),
           .urgency = aUrgency,
           .remainingSeconds = aRatedSeconds });
}

void
PromptQueueEstimator::Insert(Queue& aQueue, Prompt aPrompt)
{
  // The prefill of the first prompt has started and is not interrupted.
  auto it = aQueue.prompts.begin();
  if (it != aQueue.prompts.end()) {
    ++it;
  }
  while (it != aQueue.prompts.end() && !(aPrompt.urgency < it->urgency)) {
    ++it;
  }
  aQueue.prompts.insert(it, aPrompt);
}

void
PromptQueueEstimator::Advance(Queue& aQueue,
                              double aSlowdown,
                              Instant aNow) const
{
  double budget =
    std::max(0.0, ToSeconds(aNow - aQueue.simulatedUntil)) / aSlowdown;
  aQueue.simulatedUntil = std::max(aQueue.simulatedUntil, aNow);
  while (!aQueue.prompts.empty() && budget > 0) {
    auto& first = aQueue.prompts.front();
    const double part = std::min(budget, first.remainingSeconds);
    first.remainingSeconds -= part;
    budget -= part;
    aQueue.doneSeconds += part;
    if (first.remainingSeconds > 0) {
      return;
    }
    // The prefill of an own prompt ends when its answer arrives. Until then,
    // the engine is slower than estimated and all prompts behind it wait.
    if (first.isOwn && aNow - first.sentAt < mOptions.maxStall) {
      return;
    }
    aQueue.prompts.pop_front();
  }
}

void
PromptQueueEstimator::OnPrefilled(BackendSlot aSlot,
                                  Ticket aTicket,
                                  Instant aNow)
{
  const double slowdown = SlowdownOf(aSlot, aNow);
  auto& queue = QueueAt(aSlot);
  Advance(queue, slowdown, aNow);
  const auto it = std::ranges::find(queue.prompts, aTicket, &Prompt::ticket);
  if (it == queue.prompts.end()) {
    return;
  }
  // The prompts of peers before it have been prefilled as well.
  for (auto before = queue.prompts.begin(); before != it; ++before) {
    if (!before->isOwn) {
      queue.doneSeconds += before->remainingSeconds;
    }
  }
  queue.doneSeconds += it->remainingSeconds;
  UpdateSlowdown(queue, *it, slowdown, aNow);
  std::erase_if(queue.prompts,
                [&, passed = false](const Prompt& aPrompt) mutable {
                  const bool gone = !passed && !aPrompt.isOwn;
                  passed = passed || aPrompt.ticket == aTicket;
                  return gone || aPrompt.ticket == aTicket;
                });
}

void
PromptQueueEstimator::UpdateSlowdown(Queue& aQueue,
                                     const Prompt& aPrompt,
                                     double aSlowdown,
                                     Instant aNow)
{
  const double work = aQueue.doneSeconds - aPrompt.doneWhenSent;
  if (work < kMinSampleSeconds || aNow <= aPrompt.sentAt) {
    return;
  }
  const double sample = std::clamp(ToSeconds(aNow - aPrompt.sentAt) / work,
                                   mOptions.minSlowdown,
                                   mOptions.maxSlowdown);
  const double weight = work / (work + mOptions.slowdownMemorySeconds);
  aQueue.slowdown = aSlowdown + weight * (sample - aSlowdown);
  aQueue.slowdownAt = aNow;
  mAverageSlowdown += kAverageWeight * (aQueue.slowdown - mAverageSlowdown);
}

void
PromptQueueEstimator::Cancel(BackendSlot aSlot, Ticket aTicket, Instant aNow)
{
  const double slowdown = SlowdownOf(aSlot, aNow);
  auto& queue = QueueAt(aSlot);
  Advance(queue, slowdown, aNow);
  std::erase_if(queue.prompts,
                [&](const auto& aPrompt) { return aPrompt.ticket == aTicket; });
}

Duration
PromptQueueEstimator::EstimateWait(BackendSlot aSlot,
                                   EngineUrgency aUrgency,
                                   Instant aNow)
{
  const double slowdown = SlowdownOf(aSlot, aNow);
  auto& queue = QueueAt(aSlot);
  Advance(queue, slowdown, aNow);
  double before = 0;
  bool first = true;
  for (const auto& it : queue.prompts) {
    if (!first && aUrgency < it.urgency) {
      break;
    }
    before += it.remainingSeconds;
    first = false;
  }
  return FromSeconds(before * slowdown);
}

double
PromptQueueEstimator::SlowdownOf(BackendSlot aSlot, Instant aNow) const
{
  if (aSlot.Value() >= mQueues.size() || mQueues[aSlot.Value()].slowdown <= 0) {
    return mAverageSlowdown;
  }
  const auto& queue = mQueues[aSlot.Value()];
  const Duration faded = aNow - queue.slowdownAt - mOptions.slowdownMemory;
  const double fading = std::exp(-std::max(0.0, ToSeconds(faded)) /
                                 ToSeconds(mOptions.slowdownMemory));
  return mAverageSlowdown + (queue.slowdown - mAverageSlowdown) * fading;
}

PromptQueueEstimator::Queue&
PromptQueueEstimator::QueueAt(BackendSlot aSlot)
{
  if (mQueues.size() <= aSlot.Value()) {
    mQueues.resize(aSlot.Value() + 1);
  }
  return mQueues[aSlot.Value()];
}

} // namespace firefly::policy

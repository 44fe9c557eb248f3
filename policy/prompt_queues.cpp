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

PromptQueues::Ticket
PromptQueues::Add(BackendSlot aSlot,
                  EngineUrgency aUrgency,
                  double aWork,
                  Instant aNow)
{
  const double pace = PaceOf(aSlot);
  auto& queue = QueueAt(aSlot);
  Advance(queue, pace, aNow);
  const Ticket ticket(++mTickets);
  Insert(queue,
         { .ticket = ticket,
           .urgency = aUrgency,
           .left = aWork,
           .own = true,
           .sent = aNow,
           .doneBefore = queue.done });
  return ticket;
}

void
PromptQueues::AddOfPeer(BackendSlot aSlot,
                        EngineUrgency aUrgency,
                        double aWork,
                        Instant aNow)
{
  const double pace = PaceOf(aSlot);
  auto& queue = QueueAt(aSlot);
  Advance(queue, pace, aNow);
  Insert(queue,
         { .ticket = Ticket(++mTickets), .urgency = aUrgency, .left = aWork });
}

void
PromptQueues::Insert(Queue& aQueue, Prompt aPrompt)
{
  // What is being read already is not interrupted.
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
PromptQueues::Advance(Queue& aQueue, double aPace, Instant aNow) const
{
  double budget = std::max(0.0, ToSeconds(aNow - aQueue.at)) / aPace;
  aQueue.at = std::max(aQueue.at, aNow);
  while (!aQueue.prompts.empty() && budget > 0) {
    auto& first = aQueue.prompts.front();
    const double part = std::min(budget, first.left);
    first.left -= part;
    budget -= part;
    aQueue.done += part;
    if (first.left > 0) {
      return;
    }
    // An own prompt is read when its answer comes: the engine is slower than
    // it was taken for, and all behind it wait.
    if (first.own && aNow - first.sent < mOptions.longestStall) {
      return;
    }
    aQueue.prompts.pop_front();
  }
}

void
PromptQueues::OnRead(BackendSlot aSlot, Ticket aTicket, Instant aNow)
{
  const double pace = PaceOf(aSlot);
  auto& queue = QueueAt(aSlot);
  Advance(queue, pace, aNow);
  const auto it = std::ranges::find(queue.prompts, aTicket, &Prompt::ticket);
  if (it == queue.prompts.end()) {
    return;
  }
  // Whatever stands before it has been read as well.
  for (auto before = queue.prompts.begin(); before != it; ++before) {
    if (!before->own) {
      queue.done += before->left;
    }
  }
  queue.done += it->left;
  Learn(queue, *it, aNow);
  std::erase_if(queue.prompts,
                [&, passed = false](const Prompt& aPrompt) mutable {
                  const bool gone = !passed && !aPrompt.own;
                  passed = passed || aPrompt.ticket == aTicket;
                  return gone || aPrompt.ticket == aTicket;
                });
}

void
PromptQueues::Learn(Queue& aQueue, const Prompt& aPrompt, Instant aNow)
{
  const double work = aQueue.done - aPrompt.doneBefore;
  if (work < kLeastSample || aNow <= aPrompt.sent) {
    return;
  }
  const double sample = std::clamp(ToSeconds(aNow - aPrompt.sent) / work,
                                   mOptions.leastPace,
                                   mOptions.mostPace);
  const double before = aQueue.pace > 0 ? aQueue.pace : mUsualPace;
  const double weight = work / (work + mOptions.paceMemorySeconds);
  aQueue.pace = before + weight * (sample - before);
  mUsualPace += kUsualWeight * (aQueue.pace - mUsualPace);
}

void
PromptQueues::Remove(BackendSlot aSlot, Ticket aTicket, Instant aNow)
{
  const double pace = PaceOf(aSlot);
  auto& queue = QueueAt(aSlot);
  Advance(queue, pace, aNow);
  std::erase_if(queue.prompts,
                [&](const auto& aPrompt) { return aPrompt.ticket == aTicket; });
}

Duration
PromptQueues::WaitAt(BackendSlot aSlot, EngineUrgency aUrgency, Instant aNow)
{
  const double pace = PaceOf(aSlot);
  auto& queue = QueueAt(aSlot);
  Advance(queue, pace, aNow);
  double before = 0;
  bool first = true;
  for (const auto& it : queue.prompts) {
    if (!first && aUrgency < it.urgency) {
      break;
    }
    before += it.left;
    first = false;
  }
  return FromSeconds(before * pace);
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

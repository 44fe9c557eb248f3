#pragma once

// When each engine will have read the prompts that were sent to it. Each
// engine's queue is simulated: the most urgent prompt first, and in order of
// arrival among equals. Answers loads where many processes send long prompts to
// the same engines: each tells the others of a prompt as it sends it, and
// learns each engine's pace from the prompts that it sees read.

#include <cstdint>
#include <list>
#include <vector>

#include "core/clock.h"
#include "policy/fleet_view.h"

namespace firefly::policy {

class PromptQueues
{
public:
  struct Options
  {
    // Work that must have been seen for a new pace to weigh as much as all
    // before it; a few prompts.
    double paceMemorySeconds = 0.5;
    // Bounds on how far an engine's pace may be from its rated one.
    double leastPace = 0.3;
    double mostPace = 8.0;
    // A prompt of this process that is so overdue says nothing of those behind
    // it any more.
    Duration longestStall = std::chrono::seconds(2);
  };

  // One prompt in the queue of one engine.
  using Ticket = StrongType<struct PromptTicketTag, std::uint64_t>;

  PromptQueues() = default;
  explicit PromptQueues(Options aOptions);

  // This process sent the engine a prompt that takes so many seconds at its
  // rated speed.
  Ticket Add(BackendSlot aSlot,
             EngineUrgency aUrgency,
             double aWork,
             Instant aNow);

  // A peer did.
  void AddOfPeer(BackendSlot aSlot,
                 EngineUrgency aUrgency,
                 double aWork,
                 Instant aNow);

  // The prompt was read, and so were those before it.
  void OnRead(BackendSlot aSlot, Ticket aTicket, Instant aNow);

  // The prompt will not be read.
  void Remove(BackendSlot aSlot, Ticket aTicket, Instant aNow);

  // What is before a prompt of that urgency that is sent now.
  [[nodiscard]] Duration WaitAt(BackendSlot aSlot,
                                EngineUrgency aUrgency,
                                Instant aNow);

  // Seconds that the engine takes for a second of rated work.
  [[nodiscard]] double PaceOf(BackendSlot aSlot) const;

private:
  struct Prompt
  {
    Ticket ticket;
    EngineUrgency urgency;
    double left = 0; // rated seconds
    bool own = false;
    // Of an own prompt: when it was sent, and what the engine had done then.
    Instant sent{};
    double doneBefore = 0;
  };
  struct Queue
  {
    // In the order of service; the first one is being read.
    std::list<Prompt> prompts;
    // Up to when the simulation went.
    Instant at{};
    // Rated seconds that the engine has done.
    double done = 0;
    double pace = 0; // 0 until it was learned
  };

  Queue& QueueAt(BackendSlot aSlot);
  void Advance(Queue& aQueue, double aPace, Instant aNow) const;
  void Insert(Queue& aQueue, Prompt aPrompt);
  void Learn(Queue& aQueue, const Prompt& aPrompt, Instant aNow);

  Options mOptions;
  std::vector<Queue> mQueues;
  std::uint64_t mTickets = 0;
  // Of all engines, for those that are new.
  double mUsualPace = 1;
};

} // namespace firefly::policy

#pragma once

// Estimates when each engine will have prefilled the prompts that were sent to
// it. Each engine's queue is simulated: the most urgent prompt first, and in
// order of arrival among equals. This serves workloads in which many processes
// send long prompts to the same engines: each process announces a prompt to the
// others when it sends it, and learns each engine's slowdown from its own
// prompts.

#include <cstdint>
#include <list>
#include <vector>

#include "core/clock.h"
#include "policy/fleet_view.h"

namespace firefly::policy {

class PromptQueueEstimator
{
public:
  struct Options
  {
    // Amount of observed work at which a new slowdown sample weighs as much as
    // the previous estimate; about the work of a few prompts.
    double slowdownMemorySeconds = 0.5;
    // How long the slowdown learned of one engine is kept without a new sample,
    // and the time in which it then fades to 1/e towards the average over all.
    Duration slowdownMemory = std::chrono::seconds(5);
    // Bounds of a slowdown sample; 1 is the rated speed.
    double minSlowdown = 0.3;
    double maxSlowdown = 8.0;
    // A prompt of this process that was sent longer ago than this no longer
    // blocks the prompts behind it.
    Duration maxStall = std::chrono::seconds(2);
  };

  // Identifies a prompt in the queue of an engine.
  using Ticket = StrongType<struct PromptTicketTag, std::uint64_t>;

  PromptQueueEstimator() = default;
  explicit PromptQueueEstimator(Options aOptions);

  // Adds a prompt that this process sent to the engine. At rated speed, its
  // prefill takes aRatedSeconds.
  Ticket AddOwnPrompt(BackendSlot aSlot,
                      EngineUrgency aUrgency,
                      double aRatedSeconds,
                      Instant aNow);

  // Adds a prompt that a peer sent to the engine.
  void AddPeerPrompt(BackendSlot aSlot,
                     EngineUrgency aUrgency,
                     double aRatedSeconds,
                     Instant aNow);

  // The engine has prefilled the prompt and the peers' prompts before it.
  void OnPrefilled(BackendSlot aSlot, Ticket aTicket, Instant aNow);

  // Removes a prompt that will not be prefilled.
  void Cancel(BackendSlot aSlot, Ticket aTicket, Instant aNow);

  // The time until the engine starts on a prompt of that urgency that is sent
  // now.
  [[nodiscard]] Duration EstimateWait(BackendSlot aSlot,
                                      EngineUrgency aUrgency,
                                      Instant aNow);

  // Seconds that the engine takes for one rated second of work. For an engine
  // without samples, the average of the others; what was learned of one fades
  // towards it, because an engine that is avoided gives no samples that could
  // correct it.
  [[nodiscard]] double SlowdownOf(BackendSlot aSlot, Instant aNow) const;

private:
  struct Prompt
  {
    Ticket ticket;
    EngineUrgency urgency;
    double remainingSeconds = 0; // at rated speed
    bool isOwn = false;
    // Of an own prompt: when it was sent, and Queue::doneSeconds at that time.
    Instant sentAt{};
    double doneWhenSent = 0;
  };
  struct Queue
  {
    // In the order of service; the first one is being prefilled.
    std::list<Prompt> prompts;
    Instant simulatedUntil{};
    // Work that the engine has done, in seconds at rated speed.
    double doneSeconds = 0;
    double slowdown = 0; // 0 until the first sample
    Instant slowdownAt{};
  };

  Queue& QueueAt(BackendSlot aSlot);
  void Advance(Queue& aQueue, double aSlowdown, Instant aNow) const;
  void Insert(Queue& aQueue, Prompt aPrompt);
  // aSlowdown is the previous estimate.
  void UpdateSlowdown(Queue& aQueue,
                      const Prompt& aPrompt,
                      double aSlowdown,
                      Instant aNow);

  Options mOptions;
  std::vector<Queue> mQueues;
  std::uint64_t mLastTicket = 0;
  // Moving average over all engines, used for engines without samples.
  double mAverageSlowdown = 1;
};

} // namespace firefly::policy

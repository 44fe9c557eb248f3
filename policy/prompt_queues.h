#pragma once

// When each engine will have read the prompts that were sent to it, estimated
// as a queue that is worked off in order. Answers loads where many processes
// send long prompts to the same engines: each tells the others of a prompt as
// it sends it, and learns each engine's pace from the prompts that it sees
// read.

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
  };

  // One prompt's place in an engine's queue.
  struct Place
  {
    // Rated work of the engine up to the end of this prompt, since ever.
    double workUntil = 0;
    // Its own part of that.
    double work = 0;
    // When it is expected to be read, before any later correction.
    Instant readAt{};
  };

  PromptQueues() = default;
  explicit PromptQueues(Options aOptions);

  // A prompt that takes so many seconds at the engine's rated speed was sent to
  // it.
  Place Add(BackendSlot aSlot, double aWork, Instant aNow);

  // The prompt was read. How late or early that is holds for those behind it as
  // well.
  void OnRead(BackendSlot aSlot, const Place& aPlace, Instant aNow);

  // The prompt will not be read.
  void Remove(BackendSlot aSlot, const Place& aPlace, Instant aNow);

  // What is before a prompt that is sent now.
  [[nodiscard]] Duration WaitAt(BackendSlot aSlot, Instant aNow) const;

  // Seconds that the engine takes for a second of rated work.
  [[nodiscard]] double PaceOf(BackendSlot aSlot) const;

private:
  struct Queue
  {
    // When it will be idle.
    Instant idleAt{};
    // How much later than estimated at first; all places share it.
    Duration late{};
    // Rated seconds of all work so far.
    double work = 0;
    double pace = 0; // 0 until it was learned
    // A moment of the running busy time and the work that was done until then.
    Instant anchor{};
    double anchorWork = 0;
  };

  Queue& QueueAt(BackendSlot aSlot);
  void Learn(Queue& aQueue, const Place& aPlace, Instant aNow);

  Options mOptions;
  std::vector<Queue> mQueues;
  // Of all engines, for those that are new.
  double mUsualPace = 1;
};

} // namespace firefly::policy
